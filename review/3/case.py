"""Desired states add routes while the machines are stopped and started in turn."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins"))
from world import Client, Operator, World, main  # noqa: E402

BOARD, DESK = 8443, 8080
STORMS, STORM_S, STORM_GAP_S = 9, 4.0, 0.33
PAUSE_S = 0.5
USE_S = 0.4
ROLLS = 3
ROLL_GAP_S = 2.0
USERS_PER_S = 200


class CaseWorld(World):
    def __init__(self, folder, with_trouble):
        super().__init__(folder, with_trouble)
        self.host = self.ip(9, 1)
        self.operator = Operator(self, self.host)
        self.rolling = 0

    def is_planned_work_under_way(self):
        return self.rolling > 0


async def short_session(client, route):
    """A user that opens a flow to a route, sends a few requests on it and closes it."""
    flow = await client.open(route)
    for _ in range(12):
        if not flow["open"] or not await client.ask(flow, 1.5):
            break
        await asyncio.sleep(client.world.random.uniform(0.02, 0.08))
    client.close(flow)


async def use_route(world, route, seconds):
    """Users begin to use a route as soon as the store has acknowledged it."""
    end = world.now() + seconds
    while world.now() < end:
        world.spawn(short_session(world.random.choice(world.clients), route))
        await asyncio.sleep(world.random.expovariate(USERS_PER_S))


async def storm(world, first_port):
    """Adds a route with each desired state, in quick succession."""
    end = world.now() + STORM_S
    port = first_port
    while world.now() < end:
        before = dict(world.operator.routes)
        world.operator.set_route(port, "workshop-board", "safe")
        world.operator.put(before)
        world.spawn(use_route(world, port, USE_S))
        port += 1
        await asyncio.sleep(STORM_GAP_S)


async def roll(world):
    """Stops and starts all machines in turn, one at a time, several times."""
    world.rolling += 1
    steps = []
    for node in world.nodes * ROLLS:
        steps.append(world.spawn(node.restart()))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*steps)
    await asyncio.sleep(2)
    world.rolling -= 1


async def scenario(world):
    await world.store.start()
    operator = world.operator
    operator.set_route(BOARD, "workshop-board", "safe")
    operator.set_route(DESK, "pattern-desk", "upload")
    operator.put({})
    for zone, count in (("katugastota", 5), ("peradeniya", 5), ("ampitiya", 4)):
        for _ in range(count):
            await world.add_backend("workshop-board", zone)
    for zone, count in (("katugastota", 2), ("peradeniya", 1), ("ampitiya", 1)):
        for _ in range(count):
            await world.add_backend("pattern-desk", zone)
    await world.start_nodes()
    await world.wait_until_ready()
    for index, zone in enumerate(("katugastota", "peradeniya", "ampitiya") * 4, 1):
        client = Client(world, index, zone, world.host)
        await client.start()
        world.clients.append(client)
        for _ in range(3):
            world.spawn(client.long_user(BOARD, 0.5))
        world.spawn(client.short_user(DESK, 1.0))
    await asyncio.sleep(8)
    rolling = world.spawn(roll(world)) if world.with_trouble else None
    for index in range(STORMS):
        await storm(world, 10000 + 100 * index)
        await asyncio.sleep(PAUSE_S)
    if rolling:
        await rolling
    await asyncio.sleep(3)


if __name__ == "__main__":
    main(CaseWorld, scenario)
