"""Stand-ins for the second review: the platform's store, backends, clients and routers on loopback
addresses, around forwarders that run as processes with the command of the deploy file.

They follow PROTOCOL.md and DEPLOY.md. Everything that is sent, answered and run is written to
record.txt beside the script that uses this module.
"""
import asyncio
import base64
import hashlib
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

SYN, ACK, FIN, RST = 64, 1, 128, 32
HEAD = struct.Struct("<IBBHHIIIIHI")  # sum flags pad dport sport src dst seq ack len echo
SUM_KEY = b"known to clients and backends only"
RESET_WINDOW = 76_800  # an open flow takes a reset whose seq is this near to the client's last ack

HEARTBEAT_S = 1.2
STABILITY_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
STORE_ANSWER_S = 0.004
RANGE_ITEMS, RANGE_BYTES = 500, 1_000_000
VALUE_BYTES = 1_048_576

ROUTE_HOST = "198.18.0.1"


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text_address(value):
    return socket.inet_ntoa(struct.pack(">I", value))


def keyed_sum(flags, dport, sport, src, dst, seq, ack, data):
    """Covers all fields but echo, pad and BOUNCED; never zero."""
    fields = struct.pack("<BHHIIIIH", flags & ~4, dport, sport, src, dst, seq, ack, len(data))
    return zlib.crc32(SUM_KEY + fields + data) or 1


def pack(flags, sport, dport, src, dst, seq, ack, data, echo):
    seq &= 0xFFFFFFFF
    ack &= 0xFFFFFFFF
    check = keyed_sum(flags, dport, sport, src, dst, seq, ack, data)
    return HEAD.pack(check, flags, 0, dport, sport, src, dst, seq, ack, len(data), echo) + data


class Packet:
    def __init__(self, datagram):
        (self.sum, self.flags, _, self.dport, self.sport, self.src, self.dst, self.seq, self.ack,
         length, self.echo) = HEAD.unpack(datagram[:HEAD.size])
        self.data = datagram[HEAD.size:]
        self.is_whole = length == len(self.data)

    def is_genuine(self):
        return self.is_whole and self.sum == keyed_sum(
            self.flags, self.dport, self.sport, self.src, self.dst, self.seq, self.ack, self.data)


def distance(a, b):
    return (b - a + 0x80000000) % 0x100000000 - 0x80000000


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class World:
    """Addresses, the record and the times of one run."""

    def __init__(self, folder):
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.network = 16 + os.getpid() % 200
        self.packet_port, self.status_port, self.peer_port, self.backend_port, self.store_port = (
            free_port() for _ in range(5))
        self.temporary = tempfile.TemporaryDirectory(prefix="damaskhall-review-")
        self.logs = os.environ.get("LOGS")  # a folder that keeps the settings and logs
        self.violations = []
        self.nodes = []
        self.backends = []
        self.store = Store(self)
        self.fabric = Fabric(self)

    def ip(self, third, last):
        return f"127.{self.network}.{third}.{last}"

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.record_file.write(f"{self.now():8.3f} {text}\n")

    def violate(self, rule, detail):
        self.violations.append((rule, detail))
        self.record(f"BROKEN {rule}: {detail}")

    async def end(self):
        """Ends all processes that this run started."""
        self.fabric.is_over = True
        for node in self.nodes:
            await node.end()
        self.record_file.close()
        if self.logs:
            shutil.copytree(self.temporary.name, self.logs, dirs_exist_ok=True)
        self.temporary.cleanup()


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes."""

    def find(path, scopes):
        for scope in scopes:
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(show(part) for part in value)
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    def fill(text, scopes, current=None, key=None, is_last=True):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            kind, name, body = match.groups()
            value = find(name, scopes)
            if kind == "^":
                return fill(body, scopes) if value in (None, False) else ""
            if value in (None, False):
                return ""
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(body, scopes, value, None, True)
            return "".join(
                fill(body, ([entry] if isinstance(entry, dict) else []) + scopes, entry, index,
                     position == len(entries) - 1)
                for position, (index, entry) in enumerate(entries))

        def placeholder(match):
            name = match.group(1)
            if name == "@":
                return show(key)
            if name == ",":
                return "" if is_last else ","
            if name == ".":
                return show(current)
            return show(find(name, scopes))

        return re.sub(r"\{\{([\w.@,]+)\}\}", placeholder, section.sub(expand, text))

    return fill(template, [fields])


class Store:
    """The platform's metadata store: one revision counter, linearizable answers."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.events = []
        self.revision = 10
        self.first_kept = 10
        self.changed = asyncio.Event()
        self.answered = 0  # watches
        self.servers = []

    async def start(self):
        address = self.world.ip(9, 1)
        self.servers.append(await asyncio.start_server(
            self.serve, address, self.world.store_port, limit=1 << 24))

    def write(self, key, value):
        """Writes bytes, or removes the key if there are none. Returns the time of the ack."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            created = self.items[key]["created"] if key in self.items else self.revision
            event = {"key": key, "value": base64.b64encode(value).decode(),
                     "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = event
        self.events.append(json.dumps(event))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.world.now()

    def write_json(self, key, value):
        return self.write(key, json.dumps(value).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = re.search(r"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(length.group(1))) if length else b""
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = await self.answer(method, target, body)
                answer = answer.encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
                self.answered += "/v1/kv-watch" in target
                self.world.record(f"store {method} {target[:60]} -> {status}, {len(answer)} bytes")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"])
            return (200, json.dumps(dict(item, as_of=self.revision))) if item else (404, "{}")
        if path == "/v1/kv-range":
            return 200, self.page(fields.get("prefix", ""), fields.get("after", ""))
        if path == "/v1/kv-watch":
            return await self.watch(fields.get("prefix", ""), int(fields["after"]),
                                    int(fields["wait_ms"]))
        if path == "/v1/kv-txn" and method == "POST":
            for put in json.loads(body)["puts"]:
                self.write(put["key"], base64.b64decode(put["value"]))
            return 200, json.dumps({"revision": self.revision})
        return 404, "{}"

    def page(self, prefix, after):
        items, size, is_truncated = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            item = self.items[key]
            if items and (len(items) >= RANGE_ITEMS or size + len(item["value"]) > RANGE_BYTES):
                is_truncated = True
                break
            items.append(item)
            size += len(item["value"])
        return json.dumps({"items": items, "truncated": is_truncated, "as_of": self.revision})

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.first_kept:
                return 410, "{}"
            changed = self.changed
            start = len(self.events) - (self.revision - after)
            if start < len(self.events) or time.monotonic() >= end:
                break
            try:
                await asyncio.wait_for(changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
        # The forwarder watches all keys, so that no event has to be left out.
        assert prefix == ""
        return 200, '{"events":[' + ",".join(self.events[start:]) + f'],"as_of":{self.revision}}}'

    def forget_before(self, revision):
        """Discards the history up to that revision."""
        dropped = max(0, len(self.events) - (self.revision - revision))
        self.events = self.events[dropped:]
        self.first_kept = max(self.first_kept, revision)


class StoreLink:
    """TCP proxy between one node and the store, which can lose track of open connections: those
    carry nothing any more, without a reset, while new ones work."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.address = world.ip(8, index)
        self.opened = 0
        self.used_at = {}  # by connection: when it last carried something
        self.lost = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.address, self.world.store_port)

    def lose_idle(self, idle_s):
        """Loses track of the connections that have carried nothing for that long."""
        now = self.world.now()
        for connection, used_at in self.used_at.items():
            if connection not in self.lost and now - used_at >= idle_s:
                self.lost.add(connection)
                self.world.record(f"store link {self.index}: connection {connection} goes silent")

    async def accept(self, reader, writer):
        self.opened += 1
        connection = self.opened
        self.used_at[connection] = self.world.now()
        self.world.record(f"store link {self.index}: connection {connection} opened")
        try:
            store = await asyncio.open_connection(self.world.ip(9, 1), self.world.store_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(connection, reader, store[1]),
                             self.pump(connection, store[0], writer))
        self.used_at.pop(connection, None)

    async def pump(self, connection, reader, writer):
        try:
            while data := await reader.read(65536):
                if connection in self.lost:
                    self.world.record(f"store link {self.index}: connection {connection} "
                                      f"swallows {len(data)} bytes")
                    continue
                self.used_at[connection] = self.world.now()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Backend(asyncio.DatagramProtocol):
    """Registers itself, accepts flows, answers HTTP requests on them."""

    on_opening = None  # called with the backend, the flow and the node that sent the SYN on
    on_foreign_packet = None  # called with the backend and a packet that is meant for another one
    on_packet = None  # called with the backend and each other packet

    def __init__(self, world, index, service, zone, work_s=0.03):
        self.world, self.index, self.service, self.zone = world, index, service, zone
        self.work_s = work_s
        self.address = world.ip(3, index)
        self.identity = 0x7F3A9000 + index
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.flows = {}
        self.draining_since = None
        self.is_alive = True
        self.closes_next = False
        world.backends.append(self)

    def name(self):
        return f"i-{self.identity:08x}"

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.backend_port))
        self.listener = await asyncio.start_server(
            self.serve_health, self.address, self.world.backend_port)
        self.heartbeat = asyncio.create_task(self.beat())

    async def serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def register(self):
        self.sequence += 1
        return self.world.store.write_json(f"servers/{self.name()}", {
            "service": self.service, "addr": f"{self.address}:{self.world.backend_port}",
            "zone": self.zone, "version": "v1", "concurrency": 2, "state": self.state,
            "warmup_left_ms": 0, "seq": self.sequence, "born": self.born})

    async def beat(self):
        while self.is_alive:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        self.state = "draining"
        self.draining_since = self.register()
        self.world.record(f"backend {self.name()} is draining, acknowledged")

    def datagram_received(self, datagram, source):
        packet = Packet(datagram[8:])
        if struct.unpack(">Q", datagram[:8])[0] not in (0, self.identity):
            self.world.record(f"backend {self.name()} got a packet for another backend")
            if self.on_foreign_packet:
                self.on_foreign_packet(self, packet)
            return
        if not packet.is_genuine():
            self.world.violate("UNASKED", f"{self.name()} got a packet that its sender didn't write")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        node = self.world.fabric.node_at(source[0])
        if self.on_packet:
            self.on_packet(self, packet)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.accept(key, packet, node)
        elif flow is None:
            self.reset(key, packet, node)
        elif packet.flags & RST:
            del self.flows[key]
        else:
            flow.receive(packet, node)

    def accept(self, key, packet, node):
        is_new = key not in self.flows
        if is_new:
            self.flows[key] = BackendFlow(self, key, packet.seq)
        flow = self.flows[key]
        self.world.record(f"backend {self.name()} got SYN {show_flow(key)} copy {packet.ack} "
                          f"through {node}")
        if self.on_opening:
            self.on_opening(self, key, node)
        flow.echo = packet.echo
        flow.send(SYN | ACK, flow.first_seq, b"")

    def reset(self, key, packet, node):
        """A packet of a flow that this backend does not hold."""
        if packet.flags & RST:
            return
        if packet.flags & FIN and not packet.data:
            self.send(key, ACK, packet.ack, packet.seq + 1, b"", packet.echo)
            return
        self.world.record(f"backend {self.name()} holds no flow {show_flow(key)}: RST "
                          f"(packet came through {node})")
        self.send(key, RST, packet.ack, packet.seq + len(packet.data), b"", packet.echo)

    def send(self, key, flags, seq, ack, data, echo):
        src, sport, dst, dport = key
        datagram = pack(flags, dport, sport, dst, src, seq, ack, data, echo)
        self.transport.sendto(datagram, (text_address(src), self.world.packet_port))


class BackendFlow:
    def __init__(self, backend, key, client_seq):
        self.backend, self.key = backend, key
        self.first_seq = int.from_bytes(os.urandom(4), "big")
        self.seq = self.first_seq + 1
        self.expected = (client_seq + 1) & 0xFFFFFFFF
        self.acked = self.seq
        self.echo = 0
        self.is_open = False
        self.has_closed = False
        self.is_busy = False

    def send(self, flags, seq, data):
        self.backend.send(self.key, flags, seq, self.expected, data, self.echo)

    def receive(self, packet, node):
        self.echo = packet.echo
        world = self.backend.world
        if not self.is_open:
            if packet.ack != (self.first_seq + 1) & 0xFFFFFFFF:
                self.backend.reset(self.key, packet, node)
                return
            self.is_open = True
            world.record(f"backend {self.backend.name()} opened {show_flow(self.key)}")
        if distance(self.acked, packet.ack) > 0:
            self.acked = packet.ack
        if packet.data and packet.seq == self.expected:
            self.expected = (self.expected + len(packet.data)) & 0xFFFFFFFF
            if not self.is_busy:
                self.is_busy = True
                asyncio.create_task(self.work(packet.data, node))
        elif packet.data:
            self.send(ACK, self.seq, b"")
        if packet.flags & FIN and packet.seq + len(packet.data) & 0xFFFFFFFF == self.expected:
            self.expected = (self.expected + 1) & 0xFFFFFFFF
            self.send(ACK, self.seq, b"")
            if not self.has_closed:
                self.has_closed = True
                self.send(ACK | FIN, self.seq, b"")
            world.record(f"backend {self.backend.name()} closed {show_flow(self.key)}")
            self.backend.flows.pop(self.key, None)

    async def work(self, data, node):
        backend, world = self.backend, self.backend.world
        request = re.search(rb"X-Damaskhall-Request-Id: (\S+)", data).group(1).decode()
        world.record(f"backend {backend.name()} runs {request} (through {node})")
        await asyncio.sleep(backend.work_s)
        self.is_busy = False
        closes = backend.closes_next or backend.state == "draining"
        body = f"{request} ran at {backend.name()}".encode()
        answer = (f"HTTP/1.1 200 OK\r\nX-Damaskhall-Backend-Stamp: {backend.name()}\r\n" +
                  ("Connection: close\r\n" if closes else "") +
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        seq, end = self.seq, (self.seq + len(answer)) & 0xFFFFFFFF
        self.seq = end + (1 if closes else 0)
        interval = 0.2
        for _ in range(9):
            if backend.flows.get(self.key) is not self or not backend.is_alive:
                return
            self.send(ACK, seq, answer)
            if closes:
                # The server ends the connection after its response and sends its FIN first.
                self.has_closed = True
                self.send(ACK | FIN, end, b"")
            await asyncio.sleep(interval)
            if distance(self.acked, end) <= 0:
                return
            interval = min(2 * interval, 1.6)


def show_flow(key):
    src, sport, dst, dport = key
    return f"{text_address(src)}:{sport}>{text_address(dst)}:{dport}"


class Node:
    """A forwarder as a process, and the settings that the platform fills in."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.address = world.ip(1, index)
        self.label = f"frontend-{zone}-{index}"
        self.in_rotation = False
        self.misses = 2
        self.disturbed_at = 0.0
        self.is_stopped = False
        self.is_ended = False
        self.process = None
        self.changed_bounds = {}
        self.own_ends = 0  # of processes that nobody signalled
        self.is_ending = False
        self.store_address = world.ip(9, 1)
        world.nodes.append(self)

    def __str__(self):
        return self.label

    def fields(self):
        """The settings of this machine, as DEPLOY.md lists them."""
        world = self.world
        zones = sorted({node.zone for node in world.nodes})
        seeds = [f"{node.address}:{world.peer_port}" for node in world.nodes[:3]]
        return {
            "node_id": self.label, "role": "forwarder", "machine_class": "frontend",
            "serves": ["frontend", "control_plane"], "ip": self.address, "zone": self.zone,
            "region": "central-hills", "zones": {zone: "central-hills" for zone in zones},
            "listen": {"datagram_addr": f"{self.address}:{world.packet_port}",
                       "readiness": f"{self.address}:{world.status_port}",
                       "control_plane": f"{self.address}:{world.peer_port}"},
            "seeds": seeds, "bootstrap": True, "failure_counted": False,
            "limits": {"cpu_share": 0.055, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "discovery": "platform", "entry": "anycast", "heartbeat_ms": 1200,
            "invariants": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "stability_ms": 4000, "ack_ms": 5000,
                       "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
                       "config_apply_ms": 3000, "rollback_slack_ms": 250,
                       "max_stretch_ms": 12000, "recovery_s": 12, "reorder_ms": 2000,
                       "flow_ttl_s": 60, **self.changed_bounds},
            "hash": "steady", "forwarding_mode": "echo",
            "platform": {"addr": f"{self.store_address}:{world.store_port}", "forwarding_mode": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": VALUE_BYTES, "ttl_min_ms": 1000}}

    def write_settings(self):
        """Places the settings file; returns its path and the deploy file's role."""
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as stream:
            role = next(iter(tomllib.load(stream)["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as stream:
            template = stream.read()
        settings = os.path.join(self.world.temporary.name, f"{self.label}.settings")
        with open(settings, "w", encoding="utf-8") as stream:
            stream.write(render(template, self.fields()))
        return settings, role

    async def start(self):
        world = self.world
        settings, role = self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["DAMASKHALL_BOOT"] = settings
        self.log = open(os.path.join(world.temporary.name, f"{self.label}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *[os.path.join(ROOT, word) if i == 0 else word
              for i, word in enumerate(role["run"].split())],
            cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.world.record(f"{self} started, process {self.process.pid}")
        asyncio.create_task(self.supervise(self.process))

    async def supervise(self, process):
        status = await process.wait()
        self.world.record(f"{self} ended with status {status}")
        if not self.is_ending and not self.is_ended:
            self.own_ends += 1
        self.is_ending = False
        self.disturbed_at = self.world.now()
        if not self.is_ended:
            await asyncio.sleep(0.3)
            if not self.is_ended:
                await self.start()

    def signal(self, which):
        self.world.record(f"{self} gets {signal.Signals(which).name}")
        self.disturbed_at = self.world.now()
        if which == signal.SIGSTOP:
            self.is_stopped = True
        elif which == signal.SIGCONT:
            self.is_stopped = False
        elif which in (signal.SIGTERM, signal.SIGKILL):
            self.is_ending = True
        self.process.send_signal(which)

    def is_in_touch(self):
        return not self.is_stopped and self.world.now() - self.disturbed_at > STABILITY_S

    async def end(self):
        self.is_ended = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Fabric:
    """The platform's routers: readiness checks and the steady hash over the nodes in rotation."""

    def __init__(self, world):
        self.world = world
        self.is_over = False
        with open(os.path.join(ROOT, "deploy/wire.toml"), "rb") as stream:
            calls = tomllib.load(stream).get("calls", {})
        self.ready_path = calls.get("GET /v1/readyz", "GET /v1/readyz").split(" ")[1]

    def start(self):
        for node in self.world.nodes:
            self.watch(node)

    def watch(self, node):
        """Begins the readiness checks of a node."""
        asyncio.create_task(self.check(node))

    async def check(self, node):
        due = time.monotonic()
        while not self.is_over:
            due = max(due + 0.5, time.monotonic())
            if await self.is_ready(node):
                node.misses = 0
            else:
                node.misses += 1
            was = node.in_rotation
            node.in_rotation = node.misses < 2
            if was != node.in_rotation:
                self.world.record(f"{node} is {'in' if node.in_rotation else 'out of'} rotation")
            await asyncio.sleep(max(due - time.monotonic(), 0))

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node.address, self.world.status_port), 0.4)
            try:
                writer.write(f"GET {self.ready_path} HTTP/1.1\r\nHost: x\r\n"
                             "Connection: close\r\n\r\n".encode())
                line = await asyncio.wait_for(reader.readline(), 0.4)
                return b" 200 " in line
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return False

    def node_at(self, address):
        for node in self.world.nodes:
            if node.address == address:
                return node
        return None

    @staticmethod
    def weight(node, client, port, route, route_port):
        text = f"{node.address} {client} {port} {route} {route_port}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def ranked(self, zone, client, port, route, route_port):
        """All nodes of the zone, the preferred one first."""
        nodes = [node for node in self.world.nodes if node.zone == zone]
        return sorted(nodes, reverse=True,
                      key=lambda node: self.weight(node, client, port, route, route_port))

    def route(self, zone, client, port, route, route_port):
        ranked = self.ranked(zone, client, port, route, route_port)
        used = [node for node in ranked if node.in_rotation]
        if len(used) * 2 < len(ranked):
            used = ranked
        return used[0]


class Client(asyncio.DatagramProtocol):
    """A client address. Its flows are told apart by their ports."""

    def __init__(self, world, index, zone):
        self.world, self.index, self.zone = world, index, zone
        self.address = world.ip(2, index)
        self.flows = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.packet_port))

    def datagram_received(self, datagram, source):
        packet = Packet(datagram)
        flow = self.flows.get(packet.dport)
        if flow:
            flow.receive(packet, source[0])

    async def open(self, port, route_port):
        flow = ClientFlow(self, port, route_port)
        self.flows[port] = flow
        await flow.open()
        return flow


class ClientFlow:
    def __init__(self, client, port, route_port):
        self.client, self.port, self.route_port = client, port, route_port
        self.world = client.world
        self.seq = int.from_bytes(os.urandom(4), "big")
        self.ack = 0
        self.echo = 0
        self.copy = 0
        self.state = "opening"  # then open, closed, reset or unopened
        self.backend = None
        self.opened_at = None
        self.reset_by = None
        self.buffer = b""
        self.acked = self.seq
        self.has_fin = False
        self.event = asyncio.Event()
        self.sent_through = []

    def key(self):
        return (number(self.client.address), self.port, number(ROUTE_HOST), self.route_port)

    def send(self, flags, seq, data):
        client = self.client
        node = self.world.fabric.route(client.zone, client.address, self.port, ROUTE_HOST,
                                       self.route_port)
        ack = self.copy if flags & SYN else self.ack
        datagram = pack(flags, self.port, self.route_port, number(client.address),
                        number(ROUTE_HOST), seq, ack, data, 0 if flags & SYN else self.echo)
        client.transport.sendto(datagram, (node.address, self.world.packet_port))
        self.sent_through.append((self.world.now(), node))
        return node

    def receive(self, packet, source):
        if packet.flags & RST:
            self.take_reset(packet, source)
            return
        if not packet.is_genuine():
            self.world.violate("MIXED", f"{show_flow(self.key())} got a packet that its sender "
                               "didn't write")
            return
        if packet.flags & SYN:
            if self.state == "opening":
                self.echo = packet.echo
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.state = "open"
                self.opened_at = self.world.now()
                self.backend = source
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.acked = self.seq
                self.send(ACK, self.seq, b"")
                self.event.set()
            return
        if self.state not in ("open", "closed"):
            return
        self.echo = packet.echo
        if distance(self.acked, packet.ack) > 0:
            self.acked = packet.ack
        if packet.data:
            if packet.seq == self.ack:
                self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
                self.buffer += packet.data
            self.send(ACK, self.seq, b"")
        if packet.flags & FIN and (packet.seq + len(packet.data)) & 0xFFFFFFFF == self.ack:
            self.ack = (self.ack + 1) & 0xFFFFFFFF
            self.has_fin = True
            self.send(ACK, self.seq, b"")
        self.event.set()

    def take_reset(self, packet, source):
        node = self.world.fabric.node_at(source)
        sender = str(node) if node else f"the backend at {source}"
        near = abs(distance(self.ack, packet.seq)) <= RESET_WINDOW
        if self.state == "open" and not near:
            self.world.record(f"client {show_flow(self.key())} ignores a reset of {sender}")
            return
        if self.state in ("opening", "open"):
            self.world.record(f"client {show_flow(self.key())} is reset by {sender}")
            self.reset_by = source
            self.was_open = self.state == "open"
            self.state = "reset"
            self.reset_at = self.world.now()
            self.event.set()

    async def wait(self, seconds):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(), max(seconds, 0))
        except asyncio.TimeoutError:
            pass

    async def open(self):
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.copy = copy
            node = self.send(SYN, self.seq, b"")
            if copy == 0:
                self.world.record(f"client {show_flow(self.key())} opens through {node}")
            end = self.world.now() + pause
            while self.state == "opening" and self.world.now() < end:
                await self.wait(end - self.world.now())
            if self.state != "opening":
                return
        self.state = "unopened"

    async def ask(self, request, limit=1.5):
        """Sends a request and returns the whole response, or None."""
        if self.state != "open":
            return None
        data = (f"GET /queue HTTP/1.1\r\nHost: board\r\n"
                f"X-Damaskhall-Request-Id: {request}\r\n\r\n").encode()
        self.buffer = b""
        seq = self.seq
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        end, interval = self.world.now() + limit, 0.2
        first = True
        while self.world.now() < end and self.state == "open":
            if distance(self.acked, self.seq) > 0:
                node = self.send(ACK, seq, data)
                if first:
                    self.world.record(f"client {show_flow(self.key())} sends {request} "
                                      f"through {node}")
                    first = False
            resend = min(self.world.now() + interval, end)
            while self.state == "open" and self.world.now() < resend:
                answer = self.whole_answer()
                if answer is not None:
                    self.check(request, answer)
                    return answer
                await self.wait(resend - self.world.now())
            interval = min(2 * interval, 1.6)
        self.world.record(f"client {show_flow(self.key())} has no answer to {request} "
                          f"({self.state})")
        return None

    def whole_answer(self):
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return None
        length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
        return (head, body) if len(body) >= length else None

    def check(self, request, answer):
        head, body = answer
        self.world.record(f"client {show_flow(self.key())} is answered: {body.decode()}")
        if not body.startswith(request.encode() + b" ") or b"Backend-Stamp" not in head:
            self.world.violate("MIXED", f"{request} got another answer")

    async def close(self):
        """Ends the flow in both directions."""
        if self.state != "open":
            return
        seq = self.seq
        self.seq = (self.seq + 1) & 0xFFFFFFFF
        for pause in (0.2, 0.4, 0.8):
            self.send(ACK | FIN, seq, b"")
            end = self.world.now() + pause
            while self.world.now() < end and not (
                    self.has_fin and distance(self.acked, self.seq) <= 0):
                await self.wait(end - self.world.now())
            if self.has_fin and distance(self.acked, self.seq) <= 0:
                break
        self.state = "closed"
        self.world.record(f"client {show_flow(self.key())} closed")


ZONES = {"katugastota": 2, "peradeniya": 3, "ampitiya": 1}  # machines, as in kandy-tiles


async def start_deployment(world, backends=(5, 5, 4), service="board"):
    """Starts the store, the backends and the machines of a small deployment."""
    await world.store.start()
    for zone, count in zip(ZONES, backends):
        for _ in range(count):
            await Backend(world, len(world.backends) + 1, service, zone).start()
    for zone, count in ZONES.items():
        for _ in range(count):
            Node(world, len(world.nodes) + 1, zone)
    for node in world.nodes:
        await node.start()
    world.fabric.start()


async def wait_for(condition, seconds):
    """Returns whether the condition came true within that time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return condition()


def run(folder, case):
    """Runs a case: a coroutine function of a World that returns the exit status. Ends the started
    processes in any event."""

    async def whole():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 115)
        except Exception:  # whatever went wrong, the rule was not seen to break
            traceback.print_exc()
            print("the case couldn't run")
            return 2
        finally:
            await world.end()

    sys.exit(asyncio.run(whole()))


def declare(store, version, routes, services=("board",), idle_timeout_ms=15000):
    """Writes a desired state; returns the time of its ack. routes: port to service."""
    return store.write_json("op/config", {
        "version": version,
        "routes": [{"name": f"r-{port}", "host": ROUTE_HOST, "prefix": f"/{port}/",
                    "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
                    "service": service, "max_attempts": 2} for port, service in routes.items()],
        "services": [{"name": name, "health_path": "/healthz", "max_flows": 2000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms}})
