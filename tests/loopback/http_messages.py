"""HTTP/1.1 messages with JSON bodies over asyncio streams, and a client's request."""

import asyncio
import json
from typing import Any, Optional

import unknown_members

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


async def exchange(
    address: str, port: int, method: str, path: str, body: Any, source: Optional[str]
) -> tuple[int, Any]:
    """Sends a request over a new connection; returns status and body of the response."""
    local_address = (source, 0) if source is not None else None
    reader, writer = await asyncio.open_connection(address, port, local_addr=local_address)
    try:
        text = unknown_members.encode(body) if body is not None else b""
        writer.write(encode_message(f"{method} {path} HTTP/1.1", text))
        status = int((await reader.readline()).split()[1])
        return status, json.loads(await read_body(reader))
    finally:
        writer.close()


async def request(
    address: str,
    port: int,
    method: str,
    path: str,
    body: Optional[Any] = None,
    timeout: float = 5,
    source: Optional[str] = None,
) -> tuple[int, Any]:
    """Sends a request from the `source` address; returns status and body of the response, or NO_ANSWER and
    None on a failure."""
    try:
        return await asyncio.wait_for(exchange(address, port, method, path, body, source), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return NO_ANSWER, None
