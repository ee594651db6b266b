"""HTTP/1.1 with JSON bodies over asyncio: a server for the stand-ins, and a client's single request."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

LINE_LIMIT = 1 << 20


class Refused(Exception):
    """A response with a status other than 200."""

    def __init__(self, status, body=None):
        super().__init__(status)
        self.status = status
        self.body = {} if body is None else body


class NoAnswer(Exception):
    """The connection is closed without a response."""


async def read_message(reader):
    """Reads one message; returns its first line and body, or None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    length = 0
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return first.decode().split(), await reader.readexactly(length)


async def serve(host, port, handler):
    """Serves `handler(method, path, query, body)`, which returns the body of a response with status 200."""

    async def connection(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, _), body = message
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                try:
                    parsed = json.loads(body) if body else None
                    status, answer = 200, await handler(method, parts.path, query, parsed)
                except Refused as refused:
                    status, answer = refused.status, refused.body
                text = json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                writer.write(head + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, NoAnswer):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=LINE_LIMIT, backlog=512)


async def exchange(endpoint, method, path, body):
    """Sends a request over a new connection; returns the status and the parsed body."""
    host, port = endpoint.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=LINE_LIMIT)
    try:
        text = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\nContent-Length: {len(text)}\r\n\r\n"
        writer.write(head.encode() + text)
        message = await read_message(reader)
        if message is None:
            return 0, None
        (_, status, *_), answer = message
        return int(status), json.loads(answer) if answer else None
    finally:
        writer.close()


async def request(endpoint, method, path, body=None, timeout=5.0):
    """Sends a request; returns status 0 and None if no response comes in time."""
    try:
        return await asyncio.wait_for(exchange(endpoint, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None
