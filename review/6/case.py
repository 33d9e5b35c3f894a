"""A machine is added and restarted while clients come back from the port that they had before.

Each client has one flow at a time, from a port of its own, and pauses between requests. The routers
prefer the added machine for all of them, so that their flows go to it, and back to where they were
before when it is restarted. NEW_PORT=1 lets the clients take a new port instead, for comparison.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from world import (ROUTE_HOST, Client, Node, declare, run, show_flow, start_deployment,  # noqa: E402
                   wait_for)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HAS_NEW_PORT = os.environ.get("NEW_PORT", "0") != "0"
ZONE = "peradeniya"
ROUTE_PORT, CLIENT_PORT, CLIENTS = 8443, 40001, 30


async def case(world):
    declare(world.store, 7, {ROUTE_PORT: "board"})
    await start_deployment(world)
    if not await wait_for(lambda: all(node.in_rotation for node in world.nodes), 10):
        return 2
    await asyncio.sleep(4)
    added = Node(world, len(world.nodes) + 1, ZONE)
    clients = []
    for index in range(1, 250):
        client = Client(world, index, ZONE)
        if world.fabric.ranked(ZONE, client.address, CLIENT_PORT, ROUTE_HOST,
                               ROUTE_PORT)[0] is added and len(clients) < CLIENTS:
            await client.start()
            clients.append(client)

    async def first(client):
        flow = await client.open(CLIENT_PORT, ROUTE_PORT)
        return flow, await flow.ask(f"a-{client.index}")

    world.record("each client opens a flow and asks")
    began = world.now()
    first_flows, answers = zip(*await asyncio.gather(*[first(client) for client in clients]))
    if None in answers:
        return 2

    if HAS_TROUBLE:
        world.record("a machine is added")
        await added.start()
        world.fabric.watch(added)
        if not await wait_for(lambda: added.in_rotation, 5):
            return 2
    await asyncio.sleep(max(began + 2 - world.now(), 0))

    # Each backend ends its flows after the next response, as HTTP/1.1 servers do after a number of
    # requests. It closes first, so that the port is free at the client at once.
    for backend in world.backends:
        backend.closes_next = True

    async def last(flow):
        answer = await flow.ask(f"b-{flow.client.index}")
        await flow.close()
        return answer

    answers = await asyncio.gather(*[last(flow) for flow in first_flows])
    for backend in world.backends:
        backend.closes_next = False
    if None in answers:
        return 2
    await asyncio.sleep(max(began + 5.7 - world.now(), 0))

    async def second(client):
        flow = await client.open(CLIENT_PORT + HAS_NEW_PORT, ROUTE_PORT)
        return flow, await flow.ask(f"c-{client.index}")

    world.record("each client opens a new flow and asks")
    second_flows, answers = zip(*await asyncio.gather(*[second(client) for client in clients]))
    if None in answers:
        return 2

    if HAS_TROUBLE:
        added.signal(signal.SIGTERM)
        if not await wait_for(lambda: not added.in_rotation, 5):
            return 2
    await asyncio.sleep(max(began + 7.7 - world.now(), 0))

    world.record(f"each client asks again, {world.now() - began:.1f} s after its first request")
    answers = await asyncio.gather(
        *[flow.ask(f"d-{flow.client.index}") for flow in second_flows])
    for flow in second_flows:
        if flow.state == "reset" and flow.reset_by != flow.backend:
            world.violate("FLOW", f"{show_flow(flow.key())} is open at the backend at "
                          f"{flow.backend}, which lives, and was reset by {flow.reset_by}")
    elsewhere = sum(a.backend != b.backend for a, b in zip(first_flows, second_flows))
    print(f"{len(clients)} flows, {elsewhere} of them at another backend than the flow before; "
          f"{sum(a is not None for a in answers)} answered at last, "
          f"{len(world.violations)} rules broken; {world.now():.1f} s")
    return 1 if world.violations else 0


run(FOLDER, case)
