"""Passes an endpoint's stream on to a client of the platform's protocol, event by event."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from aiohttp import web

from hoplane.fronts.event_stream import EventStream


class AbortableResponse(web.StreamResponse):
    """A streamed response to a client; if aborted, it never sends the last chunk."""

    aborted = False

    def abort(self, request: web.BaseRequest) -> None:
        """Close the client's connection in the middle of the response."""
        self.aborted = True
        self.force_close()
        if request.transport is not None:
            request.transport.close()

    async def write(self, data: bytes) -> None:
        """Write data, and wait until the client has taken most of it: aiohttp waits after 64 KiB only."""
        await super().write(data)
        await self._payload_writer.drain()

    async def write_eof(self, data: bytes = b"") -> None:
        if not self.aborted:
            await super().write_eof(data)


class StreamSink:
    """Passes a response's events on to an HTTP/1.1 client, each once it is complete."""

    buffered = False

    def __init__(self, request: web.BaseRequest, response: AbortableResponse, done: asyncio.Future) -> None:
        self.request, self.response, self.done = request, response, done
        self.stream = EventStream()

    def reset(self) -> None:
        """Start an attempt's stream and discard what is left of an earlier malformed one."""
        self.stream = EventStream()

    @property
    def event_count(self) -> int:
        return self.stream.event_count

    @property
    def partial_bytes(self) -> int:
        return self.stream.partial_bytes

    @property
    def is_advancing(self) -> bool:
        return self.stream.is_advancing

    @property
    def final_event_seen(self) -> bool:
        return self.stream.final_event_seen

    def push(self, data: bytes) -> bytes:
        return self.stream.push(data)

    def flush(self, has_framing: bool) -> bytes:
        return self.stream.flush(has_framing)

    async def start(self) -> None:
        await self.ignore_disconnect(self.response.prepare(self.request))

    async def write(self, data: bytes) -> None:
        await self.ignore_disconnect(self.response.write(data))

    async def finish(self) -> None:
        await self.ignore_disconnect(self.response.write_eof())
        if not self.done.done():
            self.done.set_result(self.response)

    def abort(self) -> None:
        self.response.abort(self.request)
        if not self.done.done():
            self.done.set_result(self.response)

    @staticmethod
    async def ignore_disconnect(operation: Awaitable) -> None:
        """Ignore write errors: a client's disconnect ends its handler and is no fault of the endpoint."""
        try:
            await operation
        except (ConnectionError, OSError):
            return
