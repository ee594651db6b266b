"""Loopback links that can be cut in one direction or both: every process listens behind a relay of its own, which
knows by the source address who connects. What is sent over a cut link is held back, and delivered after the cut."""

import asyncio


class Network:
    def __init__(self):
        self.cuts = set()  # (from address, to address)
        self.carried = {}  # (from address, to address) -> bytes

    def cut(self, sources, destinations):
        self.cuts |= {(source, destination) for source in sources for destination in destinations}

    def split(self, one, other):
        """Cuts both directions between two groups of addresses."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self):
        self.cuts.clear()

    async def relay(self, address, public_port, real_port):
        """Listens at the public port for a process that listens at the real one of the same address."""

        async def serve(reader, writer):
            client = writer.get_extra_info("peername")[0]
            await self.wait_for(client, address)
            try:
                onward_reader, onward_writer = await asyncio.open_connection(address, real_port)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(self.carry(client, address, reader, onward_writer),
                                 self.carry(address, client, onward_reader, writer))

        return await asyncio.start_server(serve, address, public_port, backlog=512)

    async def wait_for(self, source, destination):
        while (source, destination) in self.cuts:
            await asyncio.sleep(0.02)

    async def carry(self, source, destination, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.wait_for(source, destination)
                self.carried[(source, destination)] = self.carried.get((source, destination), 0) + len(data)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
