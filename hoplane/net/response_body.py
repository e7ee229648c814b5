"""Reads the bodies of responses within a limit, as a peer may send one without end."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import aiohttp

MAX_SHORT_RESPONSE_BYTES = 64 * 1024  # of a response that is read as a whole


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int, silence_timeout: timedelta | None = None
) -> bytes | None:
    """Read a response's body to its end; one over the limit closes its connection and returns None.

    Raises TimeoutError if no byte comes for `silence_timeout`."""
    seconds = silence_timeout and silence_timeout.total_seconds()
    data = bytearray()
    while True:
        async with asyncio.timeout(seconds):
            piece = await response.content.readany()
        if not piece:
            return bytes(data)
        data += piece
        if len(data) > max_bytes:
            response.close()
            return None
