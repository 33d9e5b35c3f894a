"""A route is removed and added again for another service, while clients come back from the port that
they had before.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from world import (CONFIG_APPLY_S, ZONES, Backend, Client, declare, run, show_flow,  # noqa: E402
                   start_deployment, wait_for)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HAS_NEW_PORT = os.environ.get("NEW_PORT", "0") != "0"
ROUTE_PORT, OTHER_ROUTE, CLIENT_PORT = 8443, 8080, 40001
SERVICES = ("board", "desk")
SLACK_S = 0.5


async def case(world):
    declare(world.store, 7, {ROUTE_PORT: "board", OTHER_ROUTE: "desk"}, SERVICES)
    await start_deployment(world)
    for zone in ZONES:
        await Backend(world, len(world.backends) + 1, "desk", zone).start()
    if not await wait_for(lambda: all(node.in_rotation for node in world.nodes), 10):
        return 2
    await asyncio.sleep(4)
    clients = [Client(world, index + 1, zone) for index, zone in enumerate(list(ZONES) * 6)]
    for client in clients:
        await client.start()
    flows = await asyncio.gather(*[client.open(CLIENT_PORT, ROUTE_PORT) for client in clients])
    if None in await asyncio.gather(*[flow.ask(f"a-{flow.client.index}") for flow in flows]):
        return 2

    expected = "board"
    changed_at = world.now()
    if HAS_TROUBLE:
        declare(world.store, 8, {OTHER_ROUTE: "desk"}, SERVICES)
        world.record("version 8, which lacks the route, is acknowledged")
        await asyncio.sleep(1)
        changed_at = declare(world.store, 9, {ROUTE_PORT: "desk", OTHER_ROUTE: "desk"}, SERVICES)
        world.record("version 9, which sends the route to desk, is acknowledged")
        expected = "desk"
    await asyncio.sleep(changed_at + CONFIG_APPLY_S + SLACK_S - world.now())

    for backend in world.backends:
        backend.closes_next = True

    async def come_back(flow):
        """Ends the flow, at the server first, and opens another one."""
        await flow.ask(f"b-{flow.client.index}")
        await flow.close()
        after = world.now() - changed_at
        again = await flow.client.open(CLIENT_PORT + HAS_NEW_PORT, ROUTE_PORT)
        answer = await again.ask(f"c-{flow.client.index}")
        return again, after, answer

    wrong = 0
    for flow, after, _ in await asyncio.gather(*[come_back(flow) for flow in flows]):
        backend = next((each for each in world.backends if each.address == flow.backend), None)
        if backend and backend.service != expected:
            wrong += 1
            world.violate("CONFIG", f"{show_flow(flow.key())} was opened {after:.2f} s after the ack "
                          f"of version 9 and is run by {backend.name()} of {backend.service}")
    print(f"{wrong} of {len(clients)} flows opened at a service that only an older version allows; "
          f"{world.now():.1f} s")
    return 1 if world.violations else 0


run(FOLDER, case)
