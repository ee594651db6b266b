"""A minimal asyncio HTTP/1.1 server for the simulated services: JSON bodies, persistent connections."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Optional
from urllib.parse import parse_qs, urlsplit

import unknown_members
from http_messages import encode_message, read_body

Query = dict[str, str]
Handler = Callable[[str, str, str, Query, Any], Awaitable[Any]]

LISTEN_BACKLOG = 512
POLL_S = 0.05


class HttpError(Exception):
    """A response with a status other than 200."""

    def __init__(self, status: int, body: Optional[Any] = None) -> None:
        super().__init__(status)
        self.status = status
        self.body = body if body is not None else {"error": "refused"}


class NoResponse(Exception):
    """The connection is closed without a response."""


class AccessRules:
    """Per client address: whether requests are served, refused, delayed or left unanswered."""

    def __init__(self) -> None:
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.delays: dict[str, float] = {}

    def set(self, client: str, refused: bool = False, silent: bool = False, delay: float = 0.0) -> None:
        """Replaces the rules of a client; by default its requests are served at once."""
        for group, is_member in ((self.refused, refused), (self.silent, silent)):
            (group.add if is_member else group.discard)(client)
        if delay:
            self.delays[client] = delay
        else:
            self.delays.pop(client, None)

    def blocks(self, client: str) -> bool:
        """Whether the client's requests are currently refused or left unanswered."""
        return client in self.refused or client in self.silent

    async def admit(self, client: str) -> None:
        """Waits until a request of the client may be served; raises HttpError if it is refused."""
        while client in self.silent:
            await asyncio.sleep(POLL_S)
        if client in self.delays:
            await asyncio.sleep(self.delays[client])
        if client in self.refused:
            raise HttpError(503)


class HttpService:
    """Serves requests with `handler(client, method, path, query, body)`, a coroutine that returns the body of
    a response with status 200, or raises HttpError."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.rules = AccessRules()
        self.request_counts: dict[str, int] = {}  # by client
        self.servers: list[asyncio.AbstractServer] = []

    async def start(self, address: str, port: int, known_client: Optional[str] = None) -> None:
        """Starts to listen. `known_client` is the address of the only client of that port; by default the
        source address identifies the client."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve(known_client or writer.get_extra_info("peername")[0], reader, writer)

        self.servers.append(await asyncio.start_server(serve, address, port, backlog=LISTEN_BACKLOG))

    def stop(self) -> None:
        """Stops listening."""
        for server in self.servers:
            server.close()

    async def serve(self, client: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the requests of a connection until it is closed."""
        try:
            while await self.serve_request(client, reader, writer):
                pass
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
            NoResponse,
        ):
            pass
        finally:
            writer.close()

    async def serve_request(
        self, client: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns False if the client has closed the connection."""
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        status, answer = await self.respond(client, method, target, await read_body(reader))
        writer.write(encode_message(f"HTTP/1.1 {status} Status", unknown_members.encode(answer)))
        await writer.drain()
        return True

    async def respond(self, client: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Handles a request; returns status and body of the response."""
        self.request_counts[client] = self.request_counts.get(client, 0) + 1
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        try:
            await self.rules.admit(client)
            parsed = json.loads(body) if body else None
            return 200, await self.handler(client, method, parts.path, query, parsed)
        except HttpError as error:
            return error.status, error.body
        except (KeyError, TypeError, json.JSONDecodeError):
            return 400, {"error": "malformed"}
