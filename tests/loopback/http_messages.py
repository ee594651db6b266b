"""HTTP/1.1 messages with JSON bodies over asyncio streams, and a client's request."""

import asyncio
import json
from typing import Any, Optional

NO_ANSWER = 0


async def read_body(reader: asyncio.StreamReader) -> bytes:
    """Reads the headers of a message and, by Content-Length, its body."""
    length = 0
    while (header := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return await reader.readexactly(length)


def encode_message(first_line: str, body: bytes) -> bytes:
    """Encodes a message with this request line or status line."""
    return f"{first_line}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def exchange(address: str, port: int, method: str, path: str, body: Any) -> tuple[int, Any]:
    """Sends a request over a new connection; returns status and body of the response."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        text = json.dumps(body).encode() if body is not None else b""
        writer.write(encode_message(f"{method} {path} HTTP/1.1", text))
        status = int((await reader.readline()).split()[1])
        return status, json.loads(await read_body(reader))
    finally:
        writer.close()


async def request(
    address: str, port: int, method: str, path: str, body: Optional[Any] = None, timeout: float = 5
) -> tuple[int, Any]:
    """Sends a request; returns status and body of the response, or NO_ANSWER and None on a failure."""
    try:
        return await asyncio.wait_for(exchange(address, port, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return NO_ANSWER, None
