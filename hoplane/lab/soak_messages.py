"""HTTP/1.1 messages of a soak test's clients, endpoints and discovery."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

now = time.monotonic


async def read_message(
    reader: asyncio.StreamReader,
    on_first_byte: Callable[[], None] = lambda: None,
    on_chunk: Callable[[bytes], None] = lambda chunk: None,
    before_body: Callable[[], Awaitable[None]] | None = None,
) -> tuple[str, dict[str, str], bytes, bool] | None:
    """Read an HTTP/1.1 message: start line, headers, body, and whether the body is complete; None at EOF."""
    first_byte = await reader.read(1)
    if not first_byte:
        return None
    on_first_byte()
    head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if before_body is not None:
        await before_body()
    if headers.get("transfer-encoding") != "chunked":
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))), True
    body = b""
    try:
        while size := int(await reader.readline(), 16):
            chunk = (await reader.readexactly(size + 2))[:-2]
            on_chunk(chunk)
            body += chunk
        await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head[0], headers, body, False
    return head[0], headers, body, True


def encode_message(start_line: str, body: bytes = b"", **headers: object) -> bytes:
    """Encode an HTTP/1.1 message with a Content-Length."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([start_line, *lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
