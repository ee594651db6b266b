"""Loopback links that can be cut in one direction or both.

Each listening process is reached through its own relay, which identifies clients by source address. Data sent
over a cut link is held back and delivered after the link is healed.
"""

import asyncio
from collections.abc import Iterable
from typing import Optional

LISTEN_BACKLOG = 512
POLL_S = 0.02
CHUNK_BYTES = 65536

Link = tuple[str, str]  # address of the sender, address of the receiver


class Network:
    """The links between all addresses of a cluster."""

    def __init__(self) -> None:
        self.cuts: set[Link] = set()
        self.bytes_sent: dict[Link, int] = {}
        self.relays: list[asyncio.AbstractServer] = []

    def cut(self, sources: Iterable[str], destinations: Iterable[str]) -> None:
        """Cuts the links from the sources to the destinations, but not the reverse links."""
        receivers = list(destinations)
        self.cuts |= {(source, destination) for source in sources for destination in receivers}

    def partition(self, first: list[str], second: list[str]) -> None:
        """Cuts both directions between two groups of addresses."""
        self.cut(first, second)
        self.cut(second, first)

    def heal(self) -> None:
        """Restores all links."""
        self.cuts.clear()

    async def relay(
        self, address: str, public_port: int, real_port: int, known_client: Optional[str] = None
    ) -> None:
        """Relays connections from the public port of an address to the real port of its process.
        `known_client` is the address of the only client of that port; by default the source address
        identifies the client."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            client = known_client or writer.get_extra_info("peername")[0]
            await self.wait_until_open((client, address))
            try:
                upstream_reader, upstream_writer = await asyncio.open_connection(address, real_port)
            except OSError:
                writer.transport.abort()
                return
            try:
                await asyncio.gather(
                    self.forward((client, address), reader, upstream_writer),
                    self.forward((address, client), upstream_reader, writer),
                )
            except asyncio.CancelledError:
                upstream_writer.transport.abort()
                writer.transport.abort()

        server = await asyncio.start_server(serve, address, public_port, backlog=LISTEN_BACKLOG)
        self.relays.append(server)

    def stop(self) -> None:
        """Closes the listening sockets of all relays."""
        for server in self.relays:
            server.close()

    async def wait_until_open(self, link: Link) -> None:
        """Waits until the link is not cut."""
        while link in self.cuts:
            await asyncio.sleep(POLL_S)

    async def forward(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copies data sent over the link until end of file."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.wait_until_open(link)
                self.bytes_sent[link] = self.bytes_sent.get(link, 0) + len(data)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
