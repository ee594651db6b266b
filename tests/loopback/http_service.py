"""A small HTTP/1.1 server over asyncio for the stand-ins: JSON bodies, connections that stay open."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit


class Fault(Exception):
    """An answer other than 200."""

    def __init__(self, status, body=None):
        super().__init__(status)
        self.status = status
        self.body = body if body is not None else {"error": "refused"}


class LinkRules:
    """What happens to the requests of a client, by its address: served, refused, delayed or left unanswered."""

    def __init__(self):
        self.refused = set()
        self.silent = set()
        self.delays = {}

    async def admit(self, client):
        """Returns once the request may be served; raises Fault for a refusal."""
        while client in self.silent:
            await asyncio.sleep(0.05)
        if client in self.delays:
            await asyncio.sleep(self.delays[client])
        if client in self.refused:
            raise Fault(503)


class HttpService:
    """Serves `handle(client, method, path, query, body)`, a coroutine that returns the body of a 200."""

    def __init__(self, handle):
        self.handle = handle
        self.rules = LinkRules()
        self.requests = {}  # client -> number of its requests
        self.server = None

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port, backlog=512)

    async def serve(self, reader, writer):
        client = writer.get_extra_info("peername")[0]
        try:
            while await self.serve_one(client, reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_one(self, client, reader, writer):
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        length = 0
        while (header := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode().partition(":")
            if name.lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
        status, answer = await self.answer(client, method, target, body)
        text = json.dumps(answer).encode()
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(text)}\r\n\r\n".encode()
        writer.write(head + text)
        await writer.drain()
        return True

    async def answer(self, client, method, target, body):
        self.requests[client] = self.requests.get(client, 0) + 1
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        try:
            await self.rules.admit(client)
            parsed = json.loads(body) if body else None
            return 200, await self.handle(client, method, parts.path, query, parsed)
        except Fault as fault:
            return fault.status, fault.body
        except (KeyError, TypeError, json.JSONDecodeError):
            return 400, {"error": "malformed"}
