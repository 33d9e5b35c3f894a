"""The platform changes a bound in the settings files, tells the machines, and restarts some in turn."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from world import ZONES, Client, declare, run, start_deployment, wait_for  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.5  # before: 6
ROUTE_PORT = 8443
ROLLED, GAP_S = 3, 1.3  # a share of 0.45 of six machines, one at a time
OWN_ENDS = 3


async def case(world):
    declare(world.store, 7, {ROUTE_PORT: "board"})
    await start_deployment(world)
    if not await wait_for(lambda: all(node.in_rotation for node in world.nodes), 10):
        return 2
    clients = [Client(world, index + 1, zone) for index, zone in enumerate(ZONES)]
    for client in clients:
        await client.start()
    await asyncio.sleep(2)
    for node in world.nodes:
        if HAS_TROUBLE:
            node.changed_bounds = {"grace_s": GRACE_S}
        node.write_settings()
        node.signal(signal.SIGHUP)
    await asyncio.sleep(1)
    rolled = world.nodes[-ROLLED:]
    for node in rolled:
        node.signal(signal.SIGTERM)
        await wait_for(lambda: node.own_ends > 0 or not node.in_rotation, 8)
        await wait_for(lambda: node.own_ends > 0 or node.in_rotation, 12)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(5)
    answers = []
    for client in clients:
        flow = await client.open(2000, ROUTE_PORT)
        answers.append(await flow.ask(f"q-{client.index}"))
    failing = [node for node in world.nodes if node.own_ends >= OWN_ENDS]
    for node in failing:
        world.violate("Fault", f"{node} doesn't start: {node.own_ends} processes ended by themselves")
    ready = sum(node.in_rotation for node in world.nodes)
    print(f"{ready} of {len(world.nodes)} machines in rotation; own ends by machine: "
          f"{[node.own_ends for node in world.nodes]}; {sum(a is not None for a in answers)} of "
          f"{len(answers)} requests answered; {world.now():.1f} s")
    return 1 if len(failing) >= 2 else 0


run(FOLDER, case)
