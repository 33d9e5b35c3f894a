"""Backends go down and up by turns and start again under the ids that they had."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins"))
from world import GROWN, Client, Operator, World, main  # noqa: E402

BOARD, CLAIM = 8443, 8081
LONG_USERS = 480
PAUSE_S = (5.5, 9.0)
FLAPS = 3
FLAPPING = 5
FLAP_S, FLAP_GAP_S = 5.6, 1.4


class CaseWorld(World):
    bounds = GROWN

    def __init__(self, folder, with_trouble):
        super().__init__(folder, with_trouble)
        self.host = self.ip(9, 1)
        self.operator = Operator(self, self.host)


async def quiet_user(client):
    """Keeps a flow open for a few requests, with pauses between them."""
    world = client.world
    await asyncio.sleep(world.random.uniform(0, PAUSE_S[1]))
    while not world.is_over:
        flow = await client.open(BOARD)
        for _ in range(2):
            if not flow["open"] or not await client.ask(flow, 1.5):
                break
            await asyncio.sleep(world.random.uniform(*PAUSE_S))
        client.close(flow)


async def flap(world, backend, index):
    await asyncio.sleep(index * FLAP_GAP_S / FLAPPING)
    end = world.now() + FLAP_S
    while world.now() < end:
        await backend.crash_and_start(FLAP_GAP_S / 2, keeps_id=True)
        await asyncio.sleep(FLAP_GAP_S / 2)


async def scenario(world):
    await world.store.start()
    operator = world.operator
    operator.set_route(BOARD, "workshop-board", "safe")
    operator.set_route(CLAIM, "workshop-board", "unsafe")
    operator.put({})
    for zone, count in (("katugastota", 12), ("peradeniya", 12), ("ampitiya", 12)):
        for _ in range(count):
            await world.add_backend("workshop-board", zone)
    await world.start_nodes()
    await world.wait_until_ready()
    for index, zone in enumerate(("katugastota", "peradeniya", "ampitiya") * 4, 1):
        client = Client(world, index, zone, world.host)
        await client.start()
        world.clients.append(client)
        for _ in range(LONG_USERS // 12):
            world.spawn(quiet_user(client))
        world.spawn(client.short_user(CLAIM, 1.0))
    await asyncio.sleep(10)
    for series in range(FLAPS):
        if world.with_trouble:
            await asyncio.gather(*(flap(world, b, index) for index, b in
                                   enumerate(world.backends[series * FLAPPING:][:FLAPPING])))
        else:
            await asyncio.sleep(FLAP_S)
        await asyncio.sleep(2)
    await asyncio.sleep(10)


if __name__ == "__main__":
    main(CaseWorld, scenario)
