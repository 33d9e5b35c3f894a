#!/usr/bin/env python3
"""Fault soak: real forwarders as processes on loopback, with a store, upstreams and clients that
misbehave by seed. Checks while it runs what callers and upstreams are promised.

    soak/soak.py --binary build/bin/damaskhall-forwarder --seed 7 --seconds 20

Exit status: 0 all promises held, 1 a promise was broken (printed with its time), 2 wrong usage.
Ends only the processes that it started. Addresses: 127.N.x.y with N from --network, all ports
below 10000.
"""
import argparse
import asyncio
import base64
import json
import random
import signal
import struct
import sys
import tempfile
import time
import zlib

from proxy import PacketLink, StreamProxy

PACKET_PORT = 7000
STATUS_PORT = 7001
PEER_PORT = 7002
RESTORE_PORT = 20000  # first port of the routes that are changed around restorations
UPSTREAM_PORT = 8000
STORE_PORT = 9000
LEAVING_LIMIT_S = 3.0
DECLARATION_LIMIT_S = 3.0
EVACUATION_LIMIT_S = 5.0
ZONES = ("east", "west")
STABILITY_S = 4.0  # a disturbed process or link is not judged for this long afterwards
CHECK_SLACK_S = 0.5  # the checks run in one process with everything else
HEARTBEAT_S = 1.2
SEQUENCE_MASK = 0xffffffff
MAX_FLOW_BYTES = 1 << 20  # that a client sends
USED_PORTS = range(1024, 1152)  # of a client that uses its ports again
RESET_WINDOW = 76800  # an open flow takes a reset whose number is this near to its last acknowledgment
KNOWN_RED = "flow by the cookie of a second upstream"  # listed in KNOWN-RED.txt
RECOVERY_SHARE = 0.9  # of the requests after the last fault must be served
SYN, ACK, FIN, RST = 64, 1, 128, 32
HEAD = struct.Struct("<IBBHHIIIIHI")  # sum flags pad dport sport src dst seq ack len echo


network = 81  # second part of all addresses; runs side by side need different ones


def ip(third, last):
    return f"127.{network}.{third}.{last}"


def number(address):
    return struct.unpack(">I", bytes(int(part) for part in address.split(".")))[0]


def send_signal(process, number):
    """Signals a process that may have ended, but has not been waited for by anyone else."""
    try:
        if process.returncode is None:
            process.send_signal(number)
    except ProcessLookupError:
        pass


class World:
    def __init__(self, options):
        self.random = random.Random(options.seed)
        # Of its own, so that the faults of a seed are the same with and without series.
        self.series_random = random.Random(f"series {options.seed}")
        # Used by the restorations alone, so that a seed fixes their times and losses.
        self.restore_random = random.Random(f"restore {options.seed}")
        self.reuse_random = random.Random(f"reuse {options.seed}")
        self.evacuate_random = random.Random(f"evacuate {options.seed}")
        self.evacuated_at = {}  # by zone: when the store acknowledged it
        self.restored_at = {}  # by zone: when the evacuation ended
        self.options = options
        self.violations = []
        self.counts = {}
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def violate(self, promise, detail):
        self.violations.append(f"{self.now():7.3f} s {promise}: {detail}")


class Store:
    """Keys with revisions; each forwarder reaches it through a listener with a fault of its own. May
    return from an older copy of itself, which lacks the last changes and assigns their revisions
    again."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.events = []
        self.revision = 10
        self.first_kept = 10
        self.era = 1
        self.copies = []  # time, revision and items at each change
        self.is_away = False
        self.away_fault = "none"
        # What was written since the first time may not be known everywhere before the second.
        self.unsettled_from, self.settled_at = 0.0, 0.0
        self.faults = {}
        self.changed = asyncio.Event()

    def write(self, key, value):
        """Acknowledges a change. While the store is away nothing is written: whoever wrote it does so
        again when the store has returned."""
        if self.is_away:
            return False
        self.copies.append((self.world.now(), self.revision, dict(self.items)))
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
            event = {"key": key, "value": encoded, "revision": self.revision, "created": 1, "lease": 0}
            self.items[key] = event
        self.events.append(event)
        self.notify()
        return True

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def go_away(self, fault):
        if self.world.now() >= self.settled_at:
            self.unsettled_from = self.world.now()
        self.settled_at = float("inf")
        self.is_away, self.away_fault = True, fault
        self.notify()  # waiting watches end with the fault

    def restore(self, at):
        """Returns from the copy of that time."""
        while len(self.copies) > 1 and self.copies[-1][0] > at:
            _, self.revision, self.items = self.copies.pop()
        self.first_kept = min(self.first_kept, self.revision)
        self.events = [event for event in self.events if event["revision"] <= self.revision]
        self.era += 1
        self.is_away = False
        self.notify()

    def value(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"]))

    def forget_history(self):
        self.first_kept = self.revision
        self.events = []

    async def serve(self, index):
        self.faults[index] = "none"
        await asyncio.start_server(lambda r, w: self.connection(index, r, w), ip(4, index), STORE_PORT)

    async def connection(self, index, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                status, body = await self.answer(target)
                era = self.era
                fault = self.away_fault if self.is_away else self.faults[index]
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "slow":
                    await asyncio.sleep(self.world.random.uniform(0.1, 0.6))
                if fault in ("busy", "many"):
                    status, body = ("503" if fault == "busy" else "429"), {}
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nStore-Era: {era}\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&"))
        if path.endswith("kv-key"):
            item = self.items.get(fields["key"])
            return ("200", dict(item, as_of=self.revision)) if item else ("404", {})
        if path.endswith("kv-range"):
            return "200", {"items": list(self.items.values()), "truncated": False, "as_of": self.revision}
        after, era = int(fields["after"]), self.era
        if after < self.first_kept or after > self.revision:
            return "410", {}
        end = time.monotonic() + int(fields["wait_ms"]) / 1000
        while self.revision <= after and self.era == era and not self.is_away and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        if after > self.revision:
            return "410", {}
        events = [event for event in self.events if event["revision"] > after]
        return "200", {"events": events, "as_of": self.revision}


class Upstream(asyncio.DatagramProtocol):
    """Accepts flows, answers requests, registers in the store."""

    def __init__(self, world, store, index, service):
        self.world, self.store, self.index, self.service = world, store, index, service
        self.address = ip(3, index)
        self.zone = ZONES[index % 2] if world.options.evacuate else ZONES[0]
        self.identity = 0x1000 + index
        self.born = 1_800_000_000_000 + index
        self.flows = {}
        self.openings = {}  # by flow: number of its opening packet
        self.state = "ready"
        self.leaving_since = None
        self.is_alive = True
        self.disturbed_at = -STABILITY_S
        self.sequence = 0
        self.link = PacketLink(world.random)

    async def harm_link(self, fault, seconds):
        self.link.fault = fault
        end = self.world.now() + seconds
        while self.world.now() < end:
            self.disturbed_at = self.world.now()
            await asyncio.sleep(0.2)
        self.link.fault = "none"
        self.disturbed_at = self.world.now()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, UPSTREAM_PORT))
        self.listener = await asyncio.start_server(lambda r, w: w.close(), self.address, UPSTREAM_PORT)
        asyncio.create_task(self.beat())

    def key(self):
        return f"servers/i-{self.identity:x}"

    def register(self):
        self.sequence += 1
        return self.store.write(self.key(), {
            "service": self.service, "addr": f"{self.address}:{UPSTREAM_PORT}", "zone": self.zone,
            "version": "1", "concurrency": 2, "state": self.state, "warmup_left_ms": 0,
            "seq": self.sequence, "born": self.born})

    async def beat(self):
        born = self.born
        while self.is_alive and self.born == born:
            self.register()
            await asyncio.sleep(HEARTBEAT_S * self.world.random.uniform(0.9, 1.1))

    async def leave(self):
        """Announces its leaving, serves on for the limit and a little longer, and ends."""
        self.state = "draining"
        while not self.register():
            await asyncio.sleep(0.1)
        self.leaving_since = self.world.now()
        # With restorations long enough for one that loses a sign of leaving that was known everywhere.
        await asyncio.sleep(LEAVING_LIMIT_S + (10 if self.world.options.restore else 2))
        self.end()
        self.state = "gone"
        self.store.write(self.key(), None)

    async def crash(self):
        self.disturbed_at = self.world.now()
        self.end()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.state = "gone"
        self.store.write(self.key(), None)

    async def write_again(self, limit):
        """Writes what a restored store may lack."""
        await asyncio.sleep(self.world.restore_random.uniform(0, limit))
        if self.is_alive:
            self.register()
        elif self.state == "gone" and self.key() in self.store.items:
            self.store.write(self.key(), None)

    async def restart(self, down_s):
        """Ends without a sign and starts again under its id; holds nothing of before."""
        self.disturbed_at = self.world.now()
        self.end()
        self.flows.clear()
        await asyncio.sleep(down_s)
        self.born += 1000
        self.sequence = 0
        self.is_alive = True
        self.disturbed_at = self.world.now()
        await self.start()

    def end(self):
        self.is_alive = False
        self.transport.close()
        self.listener.close()

    def datagram_received(self, data, address):
        if self.is_alive:
            self.link.carry(self.receive, data, address)

    def receive(self, data, address):
        if not self.is_alive:
            return
        meant = struct.unpack(">Q", data[:8])[0]
        _, flags, _, dport, sport, src, dst, seq, ack, length, echo = HEAD.unpack(data[8:40])
        if meant != self.identity:
            self.world.count("packets for another upstream")
            return
        flow = (src, sport, dst, dport)
        forwarder = self.world.forwarders_by_address.get(address[0])
        if flags & SYN:
            self.check_opening(flow, forwarder)
            if flow not in self.flows or self.openings.get(flow) != seq:
                self.openings[flow] = seq
                self.flows[flow] = zlib.crc32(repr((flow, self.born, seq)).encode()) >> 1
            self.send(flow, SYN | ACK, self.flows[flow], (seq + 1) & SEQUENCE_MASK, b"", echo)
        elif flow not in self.flows:
            if self.world.options.reuse:
                self.check_stray(flow, forwarder, seq)
            self.send(flow, RST, 0, seq, b"", echo, checksum=1)
        elif flags & (FIN | RST):
            self.flows.pop(flow, None)
        elif length > 0:
            body = data[40:40 + length]
            asyncio.get_running_loop().call_later(
                self.world.random.uniform(0.01, 0.04), self.reply, flow, (seq + length) & SEQUENCE_MASK,
                body, echo)

    def reply(self, flow, acknowledged, body, echo):
        if self.is_alive and flow in self.flows:
            self.send(flow, ACK, self.flows[flow] + 1, acknowledged, b"answer to " + body, echo)

    def send(self, flow, flags, seq, ack, body, echo, checksum=1):
        self.link.carry(self.send_now, flow, flags, seq, ack, body, echo, checksum)

    def send_now(self, flow, flags, seq, ack, body, echo, checksum):
        if not self.is_alive:
            return
        src, sport, dst, dport = flow
        head = HEAD.pack(checksum, flags, 0, sport, dport, dst, src, seq, ack, len(body), echo)
        client = ".".join(str(part) for part in struct.pack(">I", src))
        self.transport.sendto(head + body, (client, PACKET_PORT))

    def check_stray(self, flow, forwarder, seq):
        """A packet of an open flow must not reach an upstream that resets it in place of its own."""
        world, now = self.world, self.world.now()
        opened = next((client.flows.get(flow[1]) for client in world.clients
                       if number(client.address) == flow[0]), None)
        if not opened or not opened["open"] or opened["route"] != flow[3] or forwarder is None or \
                opened["upstream"] == self.address or (seq - opened["first"]) & SEQUENCE_MASK > MAX_FLOW_BYTES:
            return
        holder = world.upstreams_by_address[opened["upstream"]]
        if holder.is_alive and now - holder.disturbed_at > STABILITY_S and \
                flow[3] not in world.removed_at and forwarder.is_in_touch(now, opened["opened"]):
            # A second upstream may have answered a copy of the opening packet, and its cookie came last.
            promise = "flow" if opened["echo"] == opened["own_echo"] else KNOWN_RED
            world.violate(promise, f"{forwarder.name} sent a flow of {holder.key()} to {self.key()}, which resets it")

    def check_opening(self, flow, forwarder):
        world = self.world
        now = world.now()
        if self.service not in world.services_ever(flow[2], flow[3]):
            world.violate("route", f"{self.key()} of {self.service} got a flow to port {flow[3]}")
        if forwarder is None:
            return
        removed = world.removed_at.get(flow[3])
        if removed is not None and now - removed > DECLARATION_LIMIT_S + CHECK_SLACK_S and \
                forwarder.is_in_touch(now, removed):
            world.violate("declaration", f"{forwarder.name} used port {flow[3]} {now - removed:.2f} s after its removal")
        if self.leaving_since is not None and now - self.leaving_since > LEAVING_LIMIT_S + CHECK_SLACK_S and \
                forwarder.is_in_touch(now, self.leaving_since):
            world.violate("leaving", f"{forwarder.name} opened a flow {now - self.leaving_since:.2f} s later")
        evacuated = world.evacuated_at.get(self.zone)
        if evacuated is not None and now - evacuated > EVACUATION_LIMIT_S + CHECK_SLACK_S and \
                forwarder.is_in_touch(now, evacuated):
            world.violate("evacuation", f"{forwarder.name} opened a flow in {self.zone} {now - evacuated:.2f} s later")


class Forwarder:
    """A real process and the faults of its surroundings."""

    def __init__(self, world, store, index, folder):
        self.world, self.store, self.index = world, store, index
        self.name = f"front-{index}"
        self.address = ip(1, index)
        self.settings = f"{folder}/{self.name}.ini"
        self.log = open(f"{folder}/{self.name}.log", "ab")
        self.disturbed_at = 0.0
        self.is_disturbed = False
        self.is_ready = False
        self.misses = 2
        self.proxy = StreamProxy(world.random)
        seeds = ",".join(f"{ip(1, i)}:{PEER_PORT}" for i in (1, 2))
        with open(self.settings, "w", encoding="ascii") as stream:
            stream.write(
                f"[forwarder]\nname = {self.name}\ndata_centre = east\nregion = all\n"
                f"listen = {self.address}:{PACKET_PORT}\nstatus_listen = {self.address}:{STATUS_PORT}\n"
                f"peer_listen = {self.address}:{PEER_PORT}\nseeds = {seeds}\n"
                f"store = {ip(5, index)}:{STORE_PORT}\nleaving_limit = 3 s\ndeclaration_limit = 3 s\n"
                f"flow_lifetime = 60 s\nstop_limit = 6 s\nconfirmation = 2 s\n" +
                ("data_centres = east,west\nevacuation_limit = 5 s\n" if world.options.evacuate else ""))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.world.options.binary, "--settings", self.settings, stdout=self.log, stderr=self.log)
        asyncio.create_task(self.supervise())
        if not hasattr(self, "check"):
            self.check = asyncio.create_task(self.check_ready())

    async def supervise(self):
        """A process that ends is started again after a short delay, as on the platform."""
        await self.process.wait()
        self.disturb()
        if not self.world.is_over:
            await asyncio.sleep(self.world.random.uniform(0.1, 0.5))
            await self.start()

    async def check_ready(self):
        while not self.world.is_over:
            self.misses = 0 if await self.probe() else self.misses + 1
            self.is_ready = self.misses < 2
            await asyncio.sleep(0.5)

    async def probe(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, STATUS_PORT), 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def disturb(self):
        self.disturbed_at = self.world.now()

    def is_in_touch(self, now, since):
        """Whether it must act on what was written at that time. What was known before the store went
        away stays known while the store returns from a copy that lacks it."""
        if now < self.store.settled_at:
            now = self.store.unsettled_from
            if now - since <= STABILITY_S:
                return False
        return not self.is_disturbed and now - self.disturbed_at > STABILITY_S

    def signal(self, number):
        self.disturb()
        send_signal(self.process, number)

    async def pause(self, seconds):
        self.is_disturbed = True
        process = self.process
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        send_signal(process, signal.SIGCONT)
        self.is_disturbed = False
        self.disturb()

    async def lose_store(self, fault, seconds):
        self.is_disturbed = True
        self.store.faults[self.index] = fault
        await asyncio.sleep(seconds)
        self.store.faults[self.index] = "none"
        self.is_disturbed = False
        self.disturb()

    async def harm_store_link(self, fault, seconds):
        self.is_disturbed = True
        self.proxy.begin(fault)
        await asyncio.sleep(seconds)
        self.proxy.begin("none")
        self.is_disturbed = False
        self.disturb()


class Client(asyncio.DatagramProtocol):
    """Users at one address: long flows and flows of one request."""

    def __init__(self, world, index):
        self.world = world
        self.address = ip(2, index)
        self.flows = {}
        self.port = 1024

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, PACKET_PORT))

    def datagram_received(self, data, address):
        checksum, flags, _, dport, _, _, _, seq, ack, length, echo = HEAD.unpack(data[:32])
        flow = self.flows.get(dport)
        if flow is None:
            return
        if flags & RST:
            if checksum == 0:
                if flow["open"] and abs(seq - flow["ack"]) > RESET_WINDOW:
                    self.world.count("resets out of the window")
                    return
                self.check_reset(flow, self.world.forwarders_by_address[address[0]])
            elif (ack - flow["first"]) & SEQUENCE_MASK > MAX_FLOW_BYTES:
                return  # for a packet of the flow before
            flow["reset"] = True
            flow["event"].set()
            return
        is_own = ack == (flow["first"] + 1) & SEQUENCE_MASK if flags & SYN else flow["upstream"] == address[0]
        if not is_own:
            return  # of the flow before from this port
        flow["echo"] = echo
        if flow["upstream"] in (None, address[0]):
            flow["own_echo"] = echo
        if flags & SYN:
            if not flow["open"]:
                flow.update(open=True, ack=seq + 1, upstream=address[0], opened=self.world.now())
                self.send(flow, ACK, b"")
        elif length and ack == flow["expected"]:
            # An answer to an earlier request, repeated for a late copy of it, has a lower number.
            flow["ack"] = seq + length
            flow["answer"] = data[32:32 + length]
            self.send(flow, ACK, b"")
        flow["event"].set()

    def check_reset(self, flow, forwarder):
        """The system may reset an open flow only if its upstream cannot hold it any more."""
        world, now = self.world, self.world.now()
        upstream = world.upstreams_by_address.get(flow["upstream"])
        if not flow["open"]:
            removed = world.removed_at.get(flow["route"])
            added = world.added_at.get(flow["route"], 0.0)
            if removed is None and now - added > DECLARATION_LIMIT_S + CHECK_SLACK_S and \
                    forwarder.is_in_touch(now, added) and world.has_upstream(flow["route"]):
                world.violate("declaration", f"reset of an opening to port {flow['route']}")
            return
        if upstream and upstream.is_alive and now - upstream.disturbed_at > STABILITY_S and \
                flow["route"] not in world.removed_at and forwarder.is_in_touch(now, flow["opened"]):
            world.violate("flow", f"reset of an open flow at {upstream.key()} by {forwarder.name}")

    def send(self, flow, flags, body):
        forwarder = self.world.route(self.address, flow["port"])
        if forwarder is None:
            return
        copy = flow["copy"] if flags & SYN else flow["ack"]
        head = HEAD.pack(1, flags, 0, flow["route"], flow["port"], number(self.address),
                         number("198.18.0.1"), flow["seq"], copy, len(body),
                         0 if flags & SYN else flow["echo"])
        self.transport.sendto(head + body, (forwarder.address, PACKET_PORT))

    async def open(self, route):
        first = 1000
        if self.world.options.reuse:
            self.port = self.world.reuse_random.choice([port for port in USED_PORTS if port not in self.flows])
            first = self.world.reuse_random.getrandbits(32)
        else:
            self.port = 1024 + (self.port - 1023) % 60000
        flow = {"port": self.port, "route": route, "first": first, "seq": first, "own_echo": 0, "ack": 0, "echo": 0, "copy": 0,
                "open": False, "reset": False, "answer": None, "expected": None, "event": asyncio.Event(),
                "upstream": None, "opened": 0.0}
        self.flows[flow["port"]] = flow
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            flow["copy"] = copy
            self.send(flow, SYN, b"")
            await self.wait(flow, wait)
            if flow["open"] or flow["reset"]:
                break
        flow["seq"] = (first + 1) & SEQUENCE_MASK
        return flow

    async def wait(self, flow, seconds):
        flow["event"].clear()
        try:
            await asyncio.wait_for(flow["event"].wait(), seconds)
        except asyncio.TimeoutError:
            pass

    async def ask(self, flow, limit=1.5):
        body = f"{self.address}:{flow['port']} {self.world.random.random()}".encode()
        flow["answer"] = None
        flow["expected"] = (flow["seq"] + len(body)) & SEQUENCE_MASK
        end, interval = self.world.now() + limit, 0.2
        while self.world.now() < end and not flow["reset"]:
            self.send(flow, ACK, body)
            resend = self.world.now() + interval
            while flow["answer"] is None and not flow["reset"] and self.world.now() < min(resend, end):
                await self.wait(flow, min(resend, end) - self.world.now())
            if flow["answer"] is not None:
                flow["seq"] = flow["expected"]
                if flow["answer"] != b"answer to " + body:
                    self.world.violate("answer", "an answer of another request")
                return True
            interval *= 2
        return False

    def close(self, flow):
        if flow["open"]:
            self.send(flow, ACK | FIN, b"")
        self.flows.pop(flow["port"], None)

    async def long_user(self, route):
        flow = None
        while not self.world.is_over:
            await asyncio.sleep(self.world.random.expovariate(1.5))
            if flow is None or flow["reset"]:
                flow = await self.open(route)
            served = flow["open"] and await self.ask(flow)
            self.world.served(served, route)
            if not served:
                self.close(flow)
                flow = None

    async def quiet_user(self, route):
        """Pauses between two requests for longer than an upstream counts as disturbed."""
        while not self.world.is_over:
            flow = await self.open(route)
            while flow["open"] and not self.world.is_over:
                await asyncio.sleep(self.world.series_random.uniform(STABILITY_S + 0.5, 9))
                if flow["reset"] or not await self.ask(flow):
                    break
            self.close(flow)
            await asyncio.sleep(0.1)

    async def visit(self, route):
        """Opens a flow to a route that was just added and sends requests for about a second."""
        flow = await self.open(route)
        for _ in range(12):
            if not flow["open"] or not await self.ask(flow):
                break
            await asyncio.sleep(self.world.series_random.uniform(0.05, 0.12))
        self.close(flow)

    async def route_user(self):
        """Opens flows to routes that are changed around restorations, also to those removed since."""
        while not self.world.is_over:
            await asyncio.sleep(self.world.series_random.expovariate(4))
            ports = [port for port in self.world.all_routes if port >= RESTORE_PORT]
            if ports:
                await self.visit(self.world.series_random.choice(ports[-8:]))

    async def short_user(self, route):
        while not self.world.is_over:
            await asyncio.sleep(self.world.random.expovariate(4))
            flow = await self.open(route)
            self.world.served(flow["open"] and await self.ask(flow, 2.0), route)
            self.close(flow)


class Soak(World):
    def __init__(self, options, folder):
        super().__init__(options)
        self.is_over = False
        self.last_fault = 0.0
        self.results = []
        self.store = Store(self)
        self.routes = {443: "board", 8443: "desk"}
        if options.restore:
            self.routes |= {RESTORE_PORT + i: "board" for i in range(4)}
        self.all_routes = {port: {service} for port, service in self.routes.items()}
        self.removed_at, self.added_at, self.version = {}, {}, 1
        self.forwarders = [Forwarder(self, self.store, i + 1, folder) for i in range(options.forwarders)]
        self.upstreams = []
        self.forwarders_by_address = {f.address: f for f in self.forwarders}
        self.upstreams_by_address = {}

    def services_ever(self, destination, port):
        return self.all_routes.get(port, set()) if destination == number("198.18.0.1") else set()

    def has_upstream(self, route):
        now = self.now()
        return any(u.is_alive and u.state == "ready" and u.service == self.routes.get(route) and
                   u.zone not in self.evacuated_at and
                   now - self.restored_at.get(u.zone, -EVACUATION_LIMIT_S) > EVACUATION_LIMIT_S and
                   now - u.disturbed_at > STABILITY_S for u in self.upstreams)

    def route(self, address, port):
        rotation = [f for f in self.forwarders if f.is_ready] or self.forwarders
        return max(rotation, key=lambda f: hash((address, port, f.index)))

    def served(self, is_served, route):
        if route in self.routes:
            self.results.append((self.now(), is_served))

    def declare(self):
        self.version += self.random.randrange(1, 4)
        self.write_declaration()

    def write_declaration(self):
        self.store.write("op/config", {
            "version": self.version, "services": [{"name": "board"}, {"name": "desk"}],
            "limits": {"idle_timeout_ms": 15000},
            "routes": [{"name": f"r{port}", "host": "198.18.0.1", "prefix": f"/{port}/", "kind": "safe",
                        "timeout_ms": 1500, "target_latency_ms": 150, "priority": 1, "service": service}
                       for port, service in self.routes.items()]})

    async def add_upstream(self, service):
        upstream = Upstream(self, self.store, len(self.upstreams) + 1, service)
        self.upstreams.append(upstream)
        self.upstreams_by_address[upstream.address] = upstream
        await upstream.start()

    async def one_fault(self):
        kind = self.random.choice(("kill", "kill", "term", "hup", "pause", "store", "store", "history",
                                   "leave", "crash", "declare", "herd", "foreign", "store link",
                                   "store link", "upstream link"))
        self.count("fault " + kind)
        forwarder = self.random.choice(self.forwarders)
        ready = [u for u in self.upstreams if u.is_alive and u.state == "ready"]
        spare = [u for u in ready if sum(o.service == u.service for o in ready) > 2]
        if kind == "kill":
            forwarder.signal(signal.SIGKILL)
        elif kind == "herd":
            for each in self.forwarders:
                each.signal(signal.SIGKILL)
        elif kind == "term":
            forwarder.signal(signal.SIGTERM)
        elif kind == "hup":
            send_signal(forwarder.process, signal.SIGHUP)
        elif kind == "pause":
            asyncio.create_task(forwarder.pause(self.random.uniform(0.3, 3)))
        elif kind == "store":
            fault = self.random.choice(("silent", "reset", "slow", "busy", "many"))
            share = self.random.choice((1, len(self.forwarders)))
            for each in self.random.sample(self.forwarders, share):
                asyncio.create_task(each.lose_store(fault, self.random.uniform(0.5, 4)))
        elif kind == "store link":
            fault = self.random.choice(StreamProxy.FAULTS)
            share = self.random.choice((1, 2, len(self.forwarders)))
            for each in self.random.sample(self.forwarders, min(share, len(self.forwarders))):
                asyncio.create_task(each.harm_store_link(fault, self.random.uniform(0.3, 4)))
        elif kind == "upstream link":
            if ready:
                fault = self.random.choice(PacketLink.FAULTS)
                victim = self.random.choice(ready)
                asyncio.create_task(victim.harm_link(fault, self.random.uniform(0.5, 4)))
        elif kind == "history":
            self.store.forget_history()
        elif kind == "foreign":
            self.store.write(f"servers/i-{self.random.randrange(1, 9):x}ff", {"service": 7})
        elif kind == "declare":
            port = self.random.randrange(9000, 9999)
            if self.store.is_away:
                self.count("changes not acknowledged")
            elif port not in self.all_routes:
                self.routes[port] = "board"
                self.all_routes[port] = {"board"}
                self.declare()
                self.added_at[port] = self.now()
            elif port in self.routes:
                del self.routes[port]
                self.declare()
                self.removed_at[port] = self.now()
        elif spare:
            victim = self.random.choice(spare)
            asyncio.create_task(victim.leave() if kind == "leave" else victim.crash())
            await self.add_upstream(victim.service)

    async def series(self):
        """Planned work and restarts in series, beside the single faults and beside each other."""
        while not self.is_over:
            await asyncio.sleep(self.series_random.expovariate(1))
            kind = self.series_random.choice(("roll", "restart upstreams", "add routes"))
            self.count("series " + kind)
            asyncio.create_task(self.one_series(kind))

    async def one_series(self, kind):
        draw = self.series_random
        if kind == "roll":
            for forwarder in draw.sample(self.forwarders, len(self.forwarders)):
                forwarder.signal(signal.SIGTERM)
                await asyncio.sleep(draw.uniform(0.3, 2))
        elif kind == "restart upstreams":
            ready = [u for u in self.upstreams if u.is_alive and u.state == "ready"]
            for _ in range(draw.randrange(2, 6)):
                victim = draw.choice(ready)
                if victim.is_alive and victim.state == "ready":
                    await victim.restart(draw.uniform(0.1, 0.8))
                await asyncio.sleep(draw.uniform(0, 0.7))
        else:
            for _ in range(draw.randrange(3, 13)):
                port = 10000 + len(self.all_routes)
                self.routes[port] = "board"
                self.all_routes[port] = {"board"}
                self.declare()
                self.added_at[port] = self.now()
                for _ in range(20):
                    asyncio.create_task(draw.choice(self.clients).visit(port))
                await asyncio.sleep(0.33)

    async def restorations(self, end):
        """The store is away for a moment and returns from a copy, again and again."""
        while True:
            await asyncio.sleep(self.restore_random.uniform(0.5, 7))
            if self.now() > end:
                return
            await self.one_restoration()

    def change_routes(self):
        """A change that the copy lacks or whose revision was assigned before. Upstreams repeat theirs in
        each heartbeat; this one is written again only if the store has lost it."""
        ports = [port for port in self.routes if port >= RESTORE_PORT]
        if ports and self.restore_random.random() < 0.7:
            port = self.restore_random.choice(ports)
            del self.routes[port]
            self.declare()
            self.removed_at[port] = self.now()
        else:
            port = RESTORE_PORT + len(self.all_routes)
            self.routes[port] = "board"
            self.all_routes[port] = {"board"}
            self.declare()
            self.added_at[port] = self.now()

    async def one_restoration(self):
        draw = self.restore_random
        self.count("restorations")
        is_changed_before = draw.random() < 0.5
        if is_changed_before:
            self.change_routes()
            await asyncio.sleep(draw.uniform(0, 0.5))
        # After a short loss that is written again at once, the store may have passed the revisions that
        # the forwarders know before they read it again.
        copy_at = self.now() - draw.uniform(0.05, draw.choice((1, 8)))
        limit = draw.choice((0.05, 1))
        self.store.go_away(draw.choice(("silent", "reset", "busy")))
        await asyncio.sleep(draw.choice((0, 0.3, 1, 3)) * draw.random())
        self.store.restore(copy_at)
        again = [asyncio.create_task(upstream.write_again(limit)) for upstream in self.upstreams]
        await asyncio.sleep(draw.uniform(0, limit))
        if not is_changed_before:
            self.change_routes()
        elif self.store.value("op/config")["version"] != self.version:
            self.write_declaration()
        for zone in ZONES if self.options.evacuate else ():
            if (f"op/evacuate/{zone}" in self.store.items) != (zone in self.evacuated_at):
                self.write_evacuation(zone)
        await asyncio.gather(*again)
        self.store.settled_at = self.now() + STABILITY_S

    def write_evacuation(self, zone):
        return self.store.write(f"op/evacuate/{zone}", {} if zone in self.evacuated_at else None)

    async def evacuations(self, end):
        """An operator empties a zone and fills it again, also both at once and with damaged keys."""
        draw = self.evacuate_random
        while self.now() < end:
            await asyncio.sleep(draw.uniform(0.5, 4))
            zone = draw.choice(ZONES)
            if zone in self.evacuated_at:
                del self.evacuated_at[zone]
                self.restored_at[zone] = self.now()
            else:
                self.evacuated_at[zone] = float("inf")
                self.count("evacuations")
            while not self.write_evacuation(zone):
                await asyncio.sleep(0.1)
            if zone in self.evacuated_at:
                self.evacuated_at[zone] = self.now()
                self.store.write(f"op/evacuate/{draw.choice(('', 'north', 'a/b'))}", {})
                await asyncio.sleep(draw.uniform(3, 10))
        for zone in ZONES:
            if self.evacuated_at.pop(zone, None):
                self.restored_at[zone] = self.now()
            while not self.write_evacuation(zone):
                await asyncio.sleep(0.1)

    async def end(self):
        """Ends the processes of this run, also after a failure of the soak itself: one that stays
        would join the next run with its addresses."""
        self.is_over = True
        for forwarder in self.forwarders:
            if hasattr(forwarder, "process"):
                send_signal(forwarder.process, signal.SIGKILL)
                await forwarder.process.wait()

    async def run(self):
        for forwarder in self.forwarders:
            await self.store.serve(forwarder.index)
            await forwarder.proxy.serve(ip(5, forwarder.index), STORE_PORT,
                                        (ip(4, forwarder.index), STORE_PORT))
        self.declare()
        for service, count in (("board", self.options.upstreams), ("desk", 3)):
            for _ in range(count):
                await self.add_upstream(service)
        self.clients = [Client(self, i + 1) for i in range(4)]
        for forwarder in self.forwarders:
            await forwarder.start()
        for client in self.clients:
            await client.start()
        await asyncio.sleep(2)
        users = []
        for client in self.clients:
            users += [client.long_user(443) for _ in range(6)] + [client.short_user(8443) for _ in range(2)]
            users += [client.short_user(443)]
        if self.options.restore:
            users += [client.route_user() for client in self.clients for _ in range(2)]
        if self.options.series:
            users += [client.quiet_user(443) for client in self.clients for _ in range(20)]
        tasks = [asyncio.create_task(user) for user in users]
        end = self.now() + self.options.seconds
        series = asyncio.create_task(self.series()) if self.options.series else None
        restorations = asyncio.create_task(self.restorations(end)) if self.options.restore else None
        evacuations = asyncio.create_task(self.evacuations(end)) if self.options.evacuate else None
        while self.options.gap and self.now() < end:
            await asyncio.sleep(self.random.expovariate(1 / self.options.gap))
            await self.one_fault()
            self.last_fault = self.now()
        await asyncio.sleep(end - self.now())
        if series:
            series.cancel()
        if evacuations:
            await evacuations
        await asyncio.sleep(8)
        recovered = self.now()
        await asyncio.sleep(4)
        if restorations:
            await restorations
        self.is_over = True
        await asyncio.sleep(2.5)
        for task in tasks:
            task.cancel()
        await self.end()
        after = [ok for at, ok in self.results if at > recovered]
        if sum(after) < RECOVERY_SHARE * len(after) or not after:
            self.violate("recovery", f"{sum(after)} of {len(after)} requests served after the faults")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="time with faults")
    parser.add_argument("--gap", type=float, default=0.8, help="mean time between faults in seconds; 0: none")
    parser.add_argument("--forwarders", type=int, default=5)
    parser.add_argument("--upstreams", type=int, default=4, help="of the service with most traffic")
    parser.add_argument("--series", action="store_true",
                        help="also restarts, rolls and new routes in series, which overlap")
    parser.add_argument("--restore", action="store_true",
                        help="also a store that returns from older copies of itself")
    parser.add_argument("--evacuate", action="store_true",
                        help="also two data centres that an operator empties and fills again")
    parser.add_argument("--reuse", action="store_true",
                        help="also clients that use a port again for their next flow")
    parser.add_argument("--known-red", action="store_true",
                        help="do not fail because of the promise that KNOWN-RED.txt lists; print it")
    parser.add_argument("--network", type=int, default=81, help="second part of all addresses")
    options = parser.parse_args()
    global network
    network = options.network
    folder = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    soak = None

    async def start():
        nonlocal soak
        soak = Soak(options, folder)
        try:
            await soak.run()
        finally:
            await soak.end()

    asyncio.run(start())
    ok = sum(served for _, served in soak.results)
    print(f"seed {options.seed}: {ok} of {len(soak.results)} requests served; "
          f"{', '.join(f'{k} {v}' for k, v in sorted(soak.counts.items()))}; logs in {folder}")
    known = [each for each in soak.violations if options.known_red and f" s {KNOWN_RED}: " in each]
    for violation in soak.violations[:20]:
        print("known red:" if violation in known else "broken promise:", violation)
    return 1 if len(soak.violations) > len(known) else 0


if __name__ == "__main__":
    sys.exit(main())
