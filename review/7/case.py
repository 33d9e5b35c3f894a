"""Another writer leaves entries that can't be read among those of the backends; then a backend
drains and a route is removed.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from world import (CONFIG_APPLY_S, DRAIN_S, VALUE_BYTES, ZONES, Client, declare, run,  # noqa: E402
                   show_flow, start_deployment, wait_for)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = int(os.environ.get("ENTRIES", "16"))
KEPT_ROUTE, REMOVED_ROUTE = 8443, 8080
SLACK_S = 0.25  # of the stand-ins, which share one process
HISTORY_S = 20.0
END_S = 14.0


async def case(world):
    declare(world.store, 7, {KEPT_ROUTE: "board", REMOVED_ROUTE: "board"})
    await start_deployment(world)
    if not await wait_for(lambda: all(node.in_rotation for node in world.nodes), 10):
        return 2
    clients = [Client(world, index + 1, zone) for index, zone in enumerate(list(ZONES) * 5)]
    for client in clients:
        await client.start()
    await asyncio.sleep(5)

    if HAS_TROUBLE:
        first = world.store.revision
        for index in range(ENTRIES):
            world.store.write(f"servers/i-5b0000{index:02x}", os.urandom(VALUE_BYTES))
        world.record(f"another writer has left {ENTRIES} entries at once, of {VALUE_BYTES} bytes")

        async def forget():
            await asyncio.sleep(HISTORY_S)
            world.store.forget_before(first + ENTRIES)

        asyncio.create_task(forget())
    await asyncio.sleep(0.3)

    leaving = next(backend for backend in world.backends if backend.zone == "peradeniya")
    sent_at, late = {}, {"DRAIN": [], "CONFIG": []}
    leaving.drain()
    removed_at = declare(world.store, 8, {KEPT_ROUTE: "board"})
    world.record("version 8, which lacks a route, is acknowledged")

    def check(backend, key, node):
        now, sent = world.now(), sent_at.get(key)
        if sent is None or node is None or not node.is_in_touch():
            return
        if backend is leaving and sent - leaving.draining_since > DRAIN_S + SLACK_S:
            late["DRAIN"].append(now - leaving.draining_since)
            world.violate("DRAIN", f"{backend.name()} got SYN {show_flow(key)} through {node} "
                          f"{now - leaving.draining_since:.2f} s after the ack")
        if key[3] == REMOVED_ROUTE and sent - removed_at > CONFIG_APPLY_S + SLACK_S:
            late["CONFIG"].append(now - removed_at)
            world.violate("CONFIG", f"{backend.name()} got SYN {show_flow(key)} of the removed "
                          f"route through {node} {now - removed_at:.2f} s after the ack")

    for backend in world.backends:
        backend.on_opening = check

    counts = {"asked": 0, "answered": 0}

    async def ask(client, port, route):
        counts["asked"] += route == KEPT_ROUTE
        flow = client.open(port, route)
        key = (int.from_bytes(bytes(map(int, client.address.split("."))), "big"), port,
               0xC6120001, route)
        sent_at[key] = world.now()
        flow = await flow
        if await flow.ask(f"q-{client.index}-{port}-{route}"):
            counts["answered"] += route == KEPT_ROUTE
        await flow.close()

    tasks = []
    port = 10_000
    while world.now() - removed_at < END_S:
        port += 1
        client = clients[port % len(clients)]
        tasks.append(asyncio.create_task(ask(client, port, KEPT_ROUTE)))
        if port % 5 == 0:
            tasks.append(asyncio.create_task(ask(client, port + 20_000, REMOVED_ROUTE)))
        await asyncio.sleep(0.012)
    await asyncio.gather(*tasks)
    is_alive = all(node.process.returncode is None for node in world.nodes)
    for rule, times in late.items():
        print(f"{rule}: {len(times)} late openings" +
              (f", the last one {max(times):.1f} s after the ack" if times else ""))
    print(f"{counts['answered']} of {counts['asked']} requests answered; all machines "
          f"{'run' if is_alive else 'do not run'}; {world.now():.1f} s")
    return 1 if world.violations else 0


run(FOLDER, case)
