"""Passes complete responses on to clients, within the memory for responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from aiohttp import web

from hoplane.fronts.inference_message import is_complete_response
from hoplane.net.memory_budget import MemoryLease

WRITE_PIECE_BYTES = 16 * 1024  # handed to the system at once; it copies what the client has not taken yet
# Errors of the request itself, which any other endpoint would return too, except for the transient ones.
REQUEST_ERROR_STATUSES = range(400, 500)


class BufferedResponse(web.StreamResponse):
    """A response that is written in pieces, each once the client has taken most of the one before."""

    def __init__(
        self, status: int, headers: Mapping[str, str], body: bytes, release_memory: Callable[[], None]
    ) -> None:
        super().__init__(status=status, headers=headers)
        self.content_length = len(body)
        self.body, self.release_memory = body, release_memory

    async def write_eof(self, data: bytes = b"") -> None:
        for start in range(0, len(self.body), WRITE_PIECE_BYTES):
            await self.write(memoryview(self.body)[start : start + WRITE_PIECE_BYTES])
            await self._payload_writer.drain()
        await super().write_eof()


class BufferedSink:
    """Sink that passes a response on once it is complete."""

    buffered = True

    def __init__(self, broken_response: web.Response) -> None:
        self.broken_response = broken_response  # for a client whose answer broke off
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()
        self.status, self.headers, self.data = 200, {}, b""
        self.lease: MemoryLease | None = None

    def is_complete(self, data: bytes, framed: bool) -> bool:
        """Return whether a response is complete.

        One that HTTP does not frame ends with its connection, so it may be truncated. An error that is framed
        need not have a body of the protocol."""
        if framed and self.status in REQUEST_ERROR_STATUSES:
            return True
        return is_complete_response(self.headers, data, framed=framed)

    def hold_memory(self, lease: MemoryLease) -> None:
        """Keep the memory of the response until it is sent or its client has left."""
        self.lease = lease

    def release_memory(self) -> None:
        """Give the memory of the response back, as its client has left."""
        if self.lease is not None:
            self.lease.release()

    async def start(self) -> None:
        pass

    async def write(self, data: bytes) -> None:
        self.data = data

    async def finish(self) -> None:
        self.set_response(BufferedResponse(self.status, self.headers, self.data, self.release_memory))

    def abort(self) -> None:
        self.set_response(self.broken_response)

    def set_response(self, response: web.StreamResponse) -> None:
        if not self.done.done():
            self.done.set_result(response)
