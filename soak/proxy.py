"""Loopback proxy of the fault soak: delays, resets, cuts one way or silences what passes."""
import asyncio

CHUNK = 65536


class StreamProxy:
    """TCP proxy in front of one server. The fault holds for open and for new connections."""

    FAULTS = ("delayed", "reset", "requests_lost", "answers_lost", "silent")

    def __init__(self, random):
        self.random = random
        self.fault = "none"
        self.writers = set()

    async def serve(self, address, port, target):
        self.target = target
        await asyncio.start_server(self.accept, address, port)

    def begin(self, fault):
        self.fault = fault
        if fault == "reset":
            for writer in self.writers:
                writer.transport.abort()

    async def accept(self, reader, writer):
        if self.fault == "reset":
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, server_writer}
        await asyncio.gather(self.pump(reader, server_writer, "requests_lost"),
                             self.pump(server_reader, writer, "answers_lost"))
        self.writers -= {writer, server_writer}

    async def pump(self, reader, writer, loss):
        """Copies one direction. Bytes that a cut swallows are lost for good, as the connection is
        not usable afterwards: it stays silent."""
        is_lost = False
        try:
            while data := await reader.read(CHUNK):
                if self.fault == "delayed":
                    await asyncio.sleep(self.random.uniform(0.05, 0.8))
                is_lost = is_lost or self.fault in (loss, "silent")
                if not is_lost:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class PacketLink:
    """Passes datagrams on, late, not at all, or only some of them."""

    FAULTS = ("delayed", "lossy", "silent")

    def __init__(self, random):
        self.random = random
        self.fault = "none"

    def carry(self, deliver, *arguments):
        if self.fault == "silent" or (self.fault == "lossy" and self.random.random() < 0.4):
            return
        if self.fault == "delayed":
            late = self.random.uniform(0, 0.3)
            asyncio.get_running_loop().call_later(late, deliver, *arguments)
            return
        deliver(*arguments)
