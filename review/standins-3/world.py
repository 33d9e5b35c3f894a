"""Stand-ins for a small deployment on loopback: the platform's store and routers, backends and
clients. The forwarders are the project's own program, started as the deploy file says.

Everything runs in one asyncio loop on the real clock. Each machine has its own loopback address and
all of them use the same ports, as on the users' platform.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/bin/damaskhall-forwarder"
TEMPLATE = "platform/forwarder.ini.template"

PACKET_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT, STORE_PORT = 8172, 8167, 8166, 8080, 8169
ROUTE_ADDRESS = "198.18.0.1"
SYN, ACK, FIN, RST = 64, 1, 128, 32
HEAD = struct.Struct("<IBBHHIIIIHI")  # sum flags pad dport sport src dst seq ack len echo
MASK = 0xffffffff
RESET_WINDOW = 76_800
SYN_TIMES = (0.0, 0.2, 0.6)
SYN_LIMIT = 1.4
FIRST_RETRY, LONGEST_RETRY, SERVER_RETRIES = 0.2, 1.6, 8
PROBE_S, PROBE_MISSES = 0.5, 2
# A client that leaves out the echo of a backend that doesn't have its flow, against the page.
OWN_ECHO = os.environ.get("OWN_ECHO") == "1"
CLIENT_DELAY_S = 0.001  # from a backend to a client

# Figures of sites/kandy-tiles.toml.
STABILITY_S = 4.0
DRAIN_MS, CONFIG_MS, GRACE_S, FLOW_TTL_S = 3000, 3000, 6, 60
IDLE_TIMEOUT_S = 12.0


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


def checksum(data):
    """Stands for the keyed sum over all fields but echo and pad; never zero."""
    digest = hashlib.blake2b(data[4:5] + data[6:28] + data[32:], key=b"stand-in", digest_size=4)
    return int.from_bytes(digest.digest(), "little") or 1


def packet(flags, src, sport, dst, dport, seq, ack, data=b"", echo=0):
    head = HEAD.pack(0, flags, 0, dport, sport, src, dst, seq & MASK, ack & MASK, len(data), echo)
    return struct.pack("<I", checksum(head + data)) + head[4:] + data


class World:
    """Common clock, record and addresses."""

    def __init__(self, record, mode="w"):
        self.started = time.monotonic()
        self.record = open(record, mode, encoding="utf-8")
        self.violations = []
        self.is_over = False
        self.is_planned = False  # only planned work is done
        self.network = self.choose_network()
        self.forwarders, self.servers, self.clients = [], [], []
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        # By client address and port: server that sent the last reset for a packet, the address of
        # the forwarder that brought the packet, and when.
        self.reset_senders = {}

    used_networks = set()

    def choose_network(self):
        for _ in range(100):
            network = random.randrange(20, 250)
            if network not in World.used_networks and self.is_free(network):
                World.used_networks.add(network)
                return network
        raise OSError("no free addresses")

    @staticmethod
    def is_free(network):
        checks = ((socket.SOCK_DGRAM, "1.1", PACKET_PORT), (socket.SOCK_STREAM, "1.1", READY_PORT),
                  (socket.SOCK_DGRAM, "1.1", CONTROL_PORT), (socket.SOCK_STREAM, "5.1", STORE_PORT))
        for kind, host, port in checks:
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((f"127.{network}.{host}", port))
                except OSError:
                    return False
        return True

    def ip(self, kind, index):
        return f"127.{self.network}.{kind}.{index}"

    def now(self):
        return time.monotonic() - self.started

    def note(self, line):
        if not self.record.closed:
            self.record.write(f"{self.now():9.4f} {line}\n")

    def violate(self, rule, line):
        self.violations.append((rule, line))
        self.note(f"BROKEN {rule}: {line}")

    def forwarder_at(self, address):
        return next((each for each in self.forwarders if each.address == address), None)

    def server_at(self, address):
        return next((each for each in self.servers if each.address == address), None)

    def judge_stray_reset(self, client, flow, sender, seq):
        """MIXED: a packet that its sender didn't write so, other than a reset of the system's own. On an
        open flow the sequence number of such a reset is near the client's last acknowledgment."""
        self.violate("MIXED", f"client {client.address}:{flow['port']}, open at {flow['server']}, last ack "
                     f"{flow['ack']}: {sender} sends a reset with seq {seq}")

    def judge_reset(self, client, flow, sender):
        """FLOW (a): the client gets a reset that the flow's backend didn't send. Under planned work it
        counts whichever machines are in touch."""
        name = f"client {client.address}:{flow['port']}, open at {flow['server']}"
        if sender == flow["server"]:
            self.note(f"{name}: reset by its own backend")
            return
        taker = self.forwarder_at(sender)
        if taker is None:
            _, through, _ = self.reset_senders[(number(client.address), flow["port"])]
            taker = self.forwarder_at(through)
        now = self.now()
        excuses = []
        if not self.is_planned and not taker.is_in_touch(now):
            excuses.append(f"{taker.name} is not in touch")
        if now - flow["opened"] > FLOW_TTL_S:
            excuses.append("the flow is older than flow_ttl_s")
        if now - flow["last"] > IDLE_TIMEOUT_S:
            excuses.append("the flow was idle for longer than idle_timeout_ms")
        line = f"{name}: reset by {sender}, which is not its backend; its packet went through {taker.name}"
        if excuses:
            self.note(f"{line}; not counted: {', '.join(excuses)}")
        else:
            self.violate("FLOW", line)

    async def end(self):
        self.is_over = True
        for forwarder in self.forwarders:
            await forwarder.end()
        self.record.close()
        self.folder.cleanup()


class Store:
    """The platform's metadata store. Linearizable; keeps all history."""

    def __init__(self, world):
        self.world = world
        self.items, self.events, self.revision = {}, [], 10
        self.changed = asyncio.Event()
        self.channels = []  # of each open one: when it was last used, and whether it has gone silent
        self.address = world.ip(5, 1)

    async def start(self):
        await asyncio.start_server(self.connection, self.address, STORE_PORT)

    def write(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            event = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                     "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = event
        self.events.append(event)
        self.world.note(f"store acknowledged {key} at revision {self.revision}: {json.dumps(value)[:200]}")
        self.changed.set()
        self.changed = asyncio.Event()

    def lose_idle_channels(self, idle_s):
        """Channels without traffic for that long go silent for good; new ones work."""
        for channel in self.channels:
            if time.monotonic() - channel["used"] >= idle_s and not channel["silent"]:
                channel["silent"] = True
                self.world.note(f"the channel of {channel['peer']} to the store has gone silent")

    async def connection(self, reader, writer):
        channel = {"used": time.monotonic(), "silent": False, "peer": writer.get_extra_info("peername")[0]}
        self.channels.append(channel)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                while channel["silent"]:
                    await asyncio.sleep(1)
                channel["used"] = time.monotonic()
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                await self.reply(head, body, writer)
                channel["used"] = time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.remove(channel)
            writer.close()

    async def reply(self, head, body, writer):
        status, answer = await self.answer(head.split(b" ")[1].decode(), body)
        await asyncio.sleep(0.004)
        data = json.dumps(answer).encode()
        writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/v1/kv-key":
            item = self.items.get(fields["key"])
            return (200, dict(item, as_of=self.revision)) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(fields.get("prefix", "")) and key > fields.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys], "truncated": False,
                         "as_of": self.revision}
        if path == "/v1/kv-txn":
            return 200, {"revision": self.revision}
        if path == "/v1/kv-watch":
            after, end = int(fields["after"]), time.monotonic() + int(fields["wait_ms"]) / 1000
            while self.revision <= after and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, {"events": [e for e in self.events if e["revision"] > after],
                         "as_of": self.revision}
        return 404, {}


def run(main):
    """Runs a case and ends the process with its status; 2 if it could not run."""
    async def main_until_stopped():
        # SIGTERM ends the processes that the case has started, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await main()

    try:
        status = asyncio.run(main_until_stopped())
    except (Exception, asyncio.CancelledError):  # must not look like a broken rule
        traceback.print_exc()
        status = 2
    sys.exit(status)


def declare(world, store, version, routes, services):
    """Writes the desired state. @p routes: name, port, kind and service of each."""
    store.write("op/config", {
        "version": version,
        "routes": [{"name": name, "host": ROUTE_ADDRESS, "prefix": f"/{port}/", "kind": kind,
                    "timeout_ms": 1500, "target_latency_ms": 150, "priority": 1, "service": service,
                    "max_attempts": 2} for name, port, kind, service in routes],
        "services": [{"name": service, "health_path": "/healthz", "max_flows": 2000,
                      "protocol": "h1", "tls": False} for service in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": int(IDLE_TIMEOUT_S * 1000)}})


class Forwarder:
    """The project's program on a machine of its own address."""

    def __init__(self, world, store, index, zone, zones):
        self.world, self.index, self.zone = world, index, zone
        self.name = f"frontend-{zone}-{index}"
        self.address = world.ip(1, index)
        self.settings = os.path.join(world.folder.name, f"{self.name}.ini")
        self.process = None
        self.disturbed_until = 0.0  # world time; infinity while the disturbance lasts
        self.is_removed = False  # for good, without a replacement
        self.is_in_rotation, self.misses = False, PROBE_MISSES
        self.fields = {
            "node_id": self.name, "zone": zone, "region": "central-hills", "zones": zones,
            "listen": {"datagram_addr": f"{self.address}:{PACKET_PORT}",
                       "readiness": f"{self.address}:{READY_PORT}",
                       "control_plane": f"{self.address}:{CONTROL_PORT}"},
            "seeds": [f"{world.ip(1, i)}:{CONTROL_PORT}" for i in (1, 2, 3)],
            "platform": {"addr": f"{store.address}:{STORE_PORT}"},
            "limits": {"link_mbps": 1000.0},
            "bounds": {"drain_ms": DRAIN_MS, "config_apply_ms": CONFIG_MS, "flow_ttl_s": FLOW_TTL_S,
                       "grace_s": GRACE_S},
            "invariants": ["base", "drain", "config", "cost", "recover", "flows", "platform"]}

    def render(self):
        with open(os.path.join(ROOT, TEMPLATE), encoding="utf-8") as stream:
            template = stream.read()

        def section(match):
            value = lookup(self.fields, match[1])
            if isinstance(value, dict):
                return ",".join(value) if "{{@}}" in match[2] else ""
            return match[2].replace("{{.}}", str(value)) if value else ""

        def field(match):
            value = lookup(self.fields, match[1])
            if value is None:
                return ""
            return ",".join(map(str, value)) if isinstance(value, list) else str(value)

        template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
        return re.sub(r"\{\{([\w.]+)\}\}", field, template)

    async def start(self):
        with open(self.settings, "w", encoding="utf-8") as stream:
            stream.write(self.render())
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DAMASKHALL_BOOT"] = self.settings
        self.log = open(os.path.join(self.world.folder.name, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.world.note(f"{self.name} started at {self.address}")
        asyncio.create_task(self.supervise(self.process))
        if not hasattr(self, "prober"):
            self.prober = asyncio.create_task(self.probe_regularly())

    async def supervise(self, process):
        status = await process.wait()
        if self.world.is_over:
            return
        self.world.note(f"{self.name} ended with {status}")
        self.disturbed_until = max(self.disturbed_until, self.world.now())
        await asyncio.sleep(0.3)
        if not self.world.is_over and not self.is_removed:
            await self.start()
            self.disturbed_until = max(self.disturbed_until, self.world.now())

    async def probe_regularly(self):
        while not self.world.is_over:
            begun = time.monotonic()
            try:
                is_ready = await asyncio.wait_for(self.probe(), PROBE_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                is_ready = False
            self.misses = 0 if is_ready else self.misses + 1
            was = self.is_in_rotation
            self.is_in_rotation = self.misses < PROBE_MISSES and (was or is_ready)
            if was != self.is_in_rotation:
                self.world.note(f"{self.name} is {'in' if self.is_in_rotation else 'out of'} rotation")
            await asyncio.sleep(max(0.0, begun + PROBE_S - time.monotonic()))

    async def read_metric(self, name):
        """Returns the value of a line of the program's own metrics."""
        reader, writer = await asyncio.open_connection(self.address, READY_PORT)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        lines = (await reader.read()).decode().splitlines()
        writer.close()
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))

    async def probe(self):
        reader, writer = await asyncio.open_connection(self.address, READY_PORT)
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def signal(self, which):
        self.world.note(f"{self.name} gets {which.name}")
        if self.process.returncode is None:
            self.process.send_signal(which)
        self.disturbed_until = max(self.disturbed_until, self.world.now())

    async def freeze(self, seconds):
        self.signal(signal.SIGSTOP)
        self.disturbed_until = float("inf")
        await asyncio.sleep(seconds)
        self.disturbed_until = self.world.now()
        self.signal(signal.SIGCONT)

    def is_in_touch(self, at):
        return at - self.disturbed_until >= STABILITY_S

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


class Server(asyncio.DatagramProtocol):
    """A backend: accepts flows, answers requests, registers in the store."""

    def __init__(self, world, store, index, service, zone, work_s=(0.01, 0.05), loss=0.0):
        """@p loss: share of the flows whose first SYN+ACK the network loses."""
        self.world, self.store, self.service, self.zone = world, store, service, zone
        self.loss = loss
        self.identity = 0x5a000000 + index
        self.name = f"i-{self.identity:x}"
        self.address = world.ip(3, index)
        self.born = int(time.time() * 1000)
        self.work_s = work_s
        self.flows = {}
        self.answers = 0

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, SERVER_PORT))
        self.health = await asyncio.start_server(self.answer_health, self.address, SERVER_PORT)
        self.register("ready")

    async def answer_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def register(self, state):
        """The entry changes only when more than its sequence number does."""
        self.store.write(f"servers/{self.name}", {
            "service": self.service, "addr": f"{self.address}:{SERVER_PORT}", "zone": self.zone,
            "version": "v1", "concurrency": 2, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": self.born})

    def datagram_received(self, data, address):
        if len(data) < 40 or self.world.is_over:
            return
        intended = struct.unpack(">Q", data[:8])[0]
        if intended not in (0, self.identity):
            return
        _, flags, _, dport, sport, src, dst, seq, ack, length, echo = HEAD.unpack(data[8:40])
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        if flags & SYN:
            self.handle_opening(key, flow, seq, echo, address[0])
        elif flow is None or (not flow["open"] and ack != (flow["seq"] + 1) & MASK):
            if not flags & RST:
                self.world.note(f"{self.name} resets {text(src)}:{sport}: it does not hold the flow; "
                                f"packet seq={seq} ack={ack} came through {address[0]}")
                self.world.reset_senders[(src, sport)] = (self, address[0], self.world.now())
                self.send(key, RST, ack, seq + length, echo=echo)
        else:
            self.handle_packet(key, flow, flags, seq, ack, data[40:40 + length], echo, address[0])

    def handle_opening(self, key, flow, seq, echo, through):
        if flow is None or flow["client_seq"] != (seq + 1) & MASK:
            flow = {"seq": random.getrandbits(32), "client_seq": (seq + 1) & MASK, "open": False,
                    "echo": echo, "sent": 0, "unacked": 0}
            self.flows[key] = flow
            self.world.note(f"{self.name} got SYN of {text(key[0])}:{key[1]} through {through}")
            asyncio.create_task(self.repeat_opening(key, flow))
            if random.random() < self.loss:
                self.world.note(f"the network loses the SYN+ACK of {self.name} to {text(key[0])}:{key[1]}")
                flow["echo"] = echo
                return
        flow["echo"] = echo
        self.send_opening(key, flow)

    def send_opening(self, key, flow):
        self.send(key, SYN | ACK, flow["seq"], flow["client_seq"], echo=flow["echo"])

    async def repeat_opening(self, key, flow):
        interval = FIRST_RETRY
        for _ in range(SERVER_RETRIES):
            await asyncio.sleep(interval)
            interval = min(2 * interval, LONGEST_RETRY)
            if flow["open"] or self.flows.get(key) is not flow or self.world.is_over:
                return
            self.send_opening(key, flow)
        if not flow["open"] and self.flows.get(key) is flow:
            del self.flows[key]

    def handle_packet(self, key, flow, flags, seq, ack, data, echo, through):
        flow["echo"] = echo
        if not flow["open"]:
            flow["open"] = True
            self.world.note(f"{self.name} has the open flow {text(key[0])}:{key[1]}, end of the "
                            f"handshake through {through}")
        if flags & RST:
            del self.flows[key]
            return
        if data:
            if seq == flow["client_seq"]:
                flow["client_seq"] = (seq + len(data)) & MASK
                self.world.note(f"{self.name} runs {data.decode()}")
                asyncio.create_task(self.work(key, flow, data))
            else:
                # A copy: the acknowledgment or the answer was lost.
                self.send(key, ACK, flow["seq"] + 1 + flow["sent"], flow["client_seq"], echo=echo)
                if flow.get("answer") and seq + len(data) == flow["client_seq"]:
                    self.send(key, ACK, flow["answer"][0], flow["client_seq"], flow["answer"][1], echo)
        if flags & FIN:
            self.send(key, ACK | FIN, flow["seq"] + 1 + flow["sent"], seq + len(data) + 1, echo=echo)
            del self.flows[key]

    async def work(self, key, flow, data):
        await asyncio.sleep(random.uniform(*self.work_s))
        if self.flows.get(key) is flow and not self.world.is_over:
            body = b"answer to " + data + b" " * 400
            start = flow["seq"] + 1 + flow["sent"]
            flow["answer"] = (start, body)
            flow["sent"] += len(body)
            self.send(key, ACK, start, flow["client_seq"], body, flow["echo"])

    def send(self, key, flags, seq, ack, data=b"", echo=0):
        src, sport, dst, dport = key
        asyncio.get_running_loop().call_later(
            CLIENT_DELAY_S, self.transport.sendto,
            packet(flags, dst, dport, src, sport, seq, ack, data, echo), (text(src), PACKET_PORT))


class Client(asyncio.DatagramProtocol):
    """Opens flows through the routers and sends requests on them."""

    def __init__(self, world, index):
        self.world = world
        self.address = world.ip(2, index)
        self.flows, self.port = {}, 20_000

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, PACKET_PORT))

    def route(self, port, dport):
        """Rendezvous hash over the nodes in rotation: only the flows of a node move."""
        nodes = [node for node in self.world.forwarders
                 if not node.is_removed or node.misses < PROBE_MISSES]
        rotation = [node for node in nodes if node.is_in_rotation]
        if 2 * len(rotation) < len(nodes):
            rotation = nodes
        key = f"{self.address}:{port}:{dport}:"
        return max(rotation, key=lambda node: hashlib.md5((key + node.name).encode()).digest())

    def datagram_received(self, data, address):
        if len(data) < 32 or self.world.is_over:
            return
        total, flags, _, dport, _, _, _, seq, ack, length, echo = HEAD.unpack(data[:32])
        flow = self.flows.get(dport)
        if flow is None:
            return
        if flags & RST:
            self.handle_reset(flow, total, seq, address[0])
            return
        if not OWN_ECHO or flow["server"] in (None, address[0]):
            flow["echo"] = echo  # the last that was received on the flow
        if flags & SYN:
            self.handle_opened(flow, seq, address[0])
        elif flow["server"] == address[0] and length:
            if seq == flow["ack"]:
                flow["ack"] = (seq + length) & MASK
                flow["answer"] = data[32:32 + length]
            self.send(flow, ACK, flow["seq"], flow["ack"])
            flow["event"].set()

    def handle_opened(self, flow, seq, server):
        if flow["server"] is None:
            flow.update(server=server, ack=(seq + 1) & MASK, opened=self.world.now())
            self.world.note(f"client {self.address}:{flow['port']} takes the SYN+ACK of {server}")
            self.send(flow, ACK, flow["seq"], flow["ack"])
            flow["event"].set()
        elif flow["server"] != server:
            self.world.note(f"client {self.address}:{flow['port']} gets a SYN+ACK of {server}; "
                            f"its flow is open at {flow['server']}")
        else:
            self.send(flow, ACK, flow["seq"], flow["ack"])

    def handle_reset(self, flow, total, seq, sender):
        if total == 0 and flow["server"] is not None:
            distance = (seq - flow["ack"] + 2 ** 31) % 2 ** 32 - 2 ** 31
            if abs(distance) > RESET_WINDOW:
                self.world.judge_stray_reset(self, flow, sender, seq)
                return
        flow["reset"] = True
        flow["event"].set()
        if flow["server"] is not None:
            self.world.judge_reset(self, flow, sender)

    def send(self, flow, flags, seq, ack, data=b""):
        node = self.route(flow["port"], flow["dport"])
        flow["node"] = node
        self.transport.sendto(
            packet(flags, number(self.address), flow["port"], number(ROUTE_ADDRESS), flow["dport"],
                   seq, ack, data, 0 if flags & SYN else flow["echo"]), (node.address, PACKET_PORT))

    async def open(self, dport):
        self.port += 1
        first = random.getrandbits(32)
        flow = {"port": self.port, "dport": dport, "first": first, "seq": (first + 1) & MASK,
                "ack": 0, "echo": 0, "server": None, "opened": None, "reset": False, "answer": None,
                "event": asyncio.Event(), "last": self.world.now()}
        self.flows[self.port] = flow
        begun = self.world.now()
        for copy, at in enumerate(SYN_TIMES):
            await self.wait(flow, begun + at)
            if flow["server"] or flow["reset"]:
                break
            self.send(flow, SYN, first, copy)
            self.world.note(f"client {self.address}:{flow['port']} sends SYN {copy} through {flow['node'].name}")
        await self.wait(flow, begun + SYN_LIMIT)
        return flow

    async def wait(self, flow, until):
        while not (flow["server"] or flow["reset"]) and self.world.now() < until:
            flow["event"].clear()
            try:
                await asyncio.wait_for(flow["event"].wait(), max(0.001, until - self.world.now()))
            except asyncio.TimeoutError:
                pass

    async def ask(self, flow, name, limit):
        """Sends a request until its answer arrives. Returns whether it did."""
        data = name.encode()
        flow["answer"], end, interval = None, self.world.now() + limit, FIRST_RETRY
        start = flow["seq"]
        flow["seq"] = (start + len(data)) & MASK
        while self.world.now() < end and not flow["reset"] and flow["answer"] is None:
            self.send(flow, ACK, start, flow["ack"], data)
            self.world.note(f"client sends {name} through {flow['node'].name}")
            retry = min(end, self.world.now() + interval)
            interval = min(2 * interval, LONGEST_RETRY)
            while flow["answer"] is None and not flow["reset"] and self.world.now() < retry:
                flow["event"].clear()
                try:
                    await asyncio.wait_for(flow["event"].wait(), max(0.001, retry - self.world.now()))
                except asyncio.TimeoutError:
                    pass
        flow["last"] = self.world.now()
        result = "answered" if flow["answer"] else "reset" if flow["reset"] else "not answered"
        if flow["answer"] and not flow["answer"].startswith(b"answer to " + data):
            result = "answered wrongly"
            self.world.violate("MIXED", f"{name} got {flow['answer'][:60]}")
        self.world.note(f"{name} is {result}")
        return result

    def close(self, flow):
        if flow["server"] and not flow["reset"]:
            self.send(flow, ACK | FIN, flow["seq"], flow["ack"])
        self.flows.pop(flow["port"], None)
