"""Passes one attempt's stream on to its client, event by event."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp

from hoplane import log
from hoplane.core import events as ev
from hoplane.decision.interface import Status
from hoplane.net.chunk_framing import Part
from hoplane.net.endpoint_connection import MalformedResponseError
from hoplane.net.event_timer import EventTimer
from hoplane.net.interface import Sink
from hoplane.net.memory_budget import MemoryLease
from hoplane.net.pool import has_framing
from hoplane.net.relay_result import RelayResult, log_malformed

TAIL_BYTES = 2048  # of a stream's end that are stored, as they contain usage and the load report
MAX_SMALL_EVENT_BYTES = 16 * 1024  # a larger event takes from the memory for responses
MAX_PREAMBLE_BYTES = 16 * 1024  # of comments and blank lines before a stream's first event


class StreamRelay:
    """Passes one attempt's stream on; once an event was sent, a failure also breaks the client's stream.

    An event is sent only when it is complete, so that no part of a malformed one is passed on. What comes
    before the first event is kept until then, as the attempt belongs to the client from its first event on.
    """

    def __init__(
        self,
        effect: ev.Forward,
        sink: Sink,
        response: aiohttp.ClientResponse,
        start_response: Callable[[ev.Forward], bool],
        lease: MemoryLease,
    ) -> None:
        self.effect, self.sink, self.response, self.start_response = effect, sink, response, start_response
        self.lease = lease  # of what exceeds `MAX_SMALL_EVENT_BYTES`
        self.loop = asyncio.get_running_loop()
        self.timer = EventTimer(self.loop.time())
        self.began = False
        self.unsent = self.tail = b""
        self.taken_bytes = 0  # of the body
        # None if the body is complete already.
        self.connection = None if response.connection is None else response.connection.protocol
        self.wait: asyncio.Timeout | None = None

    async def run(self) -> RelayResult:
        """Pass the stream on to its end."""
        self.sink.reset()
        if not has_framing(self.response):
            raise MalformedResponseError("the stream has neither a length nor chunks")
        if self.connection is not None:
            self.connection.on_last_chunk = self.check_last_chunk
        ended = False
        while not ended:
            piece = await self.next_piece()
            ended = not piece
            if not await self.pass_on(self.take(piece)):
                return RelayResult(Status.CANCELLED)
        if not self.began:
            raise MalformedResponseError("the stream contains no event")
        await self.sink.finish()
        return RelayResult(Status.OK, self.tail)

    async def next_piece(self) -> bytes:
        """Wait for the next piece of the stream; empty at its end.

        Raises TimeoutError if a client of a stream that has begun would wait for too long."""
        while True:
            if self.ends_too_early:
                raise MalformedResponseError("the last chunk came before the final event")
            try:
                async with asyncio.timeout_at(self.deadline) as self.wait:
                    return await self.response.content.readany()
            except TimeoutError:
                if self.began and self.loop.time() >= self.deadline:
                    raise
            finally:
                self.wait = None

    @property
    def deadline(self) -> float | None:
        """When a stream that has begun is given up, on the event loop's clock."""
        if not self.began:
            return None
        if self.connection is not None and self.sink.is_advancing:
            self.timer.note_progress(self.connection.framing_progress_at)
        return self.timer.deadline

    @property
    def ends_too_early(self) -> bool:
        """Whether the last chunk has begun although the final event has not come."""
        if self.part is not Part.TRAILER or self.sink.final_event_seen:
            return False
        return self.response.content.total_bytes == self.taken_bytes

    def check_last_chunk(self) -> None:
        """End the wait for the next piece, if there is one, as none comes behind the last chunk."""
        if self.wait is not None and not self.wait.expired():
            self.wait.reschedule(self.loop.time())

    def take(self, piece: bytes) -> bytes:
        """Take a piece of the stream, or its end, and return what may be sent now."""
        events = self.sink.event_count
        self.taken_bytes += len(piece)
        if piece:
            data = self.sink.push(piece)
        else:
            framed = self.response.content.at_eof() and has_framing(self.response)
            data = self.sink.flush(has_framing=framed)
        if self.sink.event_count > events:
            self.timer.note_event(self.loop.time())
        elif self.sink.is_advancing:
            self.timer.note_progress(self.loop.time())
        self.hold_memory(self.sink.partial_bytes + len(data))
        return data

    def hold_memory(self, size: int) -> None:
        """Take memory for a large event that is kept until it is complete and its client has taken it."""
        excess = size - MAX_SMALL_EVENT_BYTES - self.lease.size
        if excess > 0 and not self.lease.extend(excess):
            log.write_event_limited("answer_too_large", read=size)
            raise ConnectionError("no memory for a large event")

    async def pass_on(self, data: bytes) -> bool:
        """Send data once the stream has an event; return False if the response is no longer wanted."""
        self.unsent += data
        if not self.began and self.sink.event_count == 0:
            if len(self.unsent) > MAX_PREAMBLE_BYTES:
                raise ValueError("too much before the first event")
            return True
        if not self.unsent:
            return True
        if not self.began:
            if not self.start_response(self.effect):
                return False
            self.began = True
            await self.sink.start()
        data, self.unsent = self.unsent, b""
        self.tail = (self.tail + data)[-TAIL_BYTES:]
        await self.sink.write(data)
        self.lease.shrink(max(0, self.sink.partial_bytes - MAX_SMALL_EVENT_BYTES))
        return True

    def abort(self) -> None:
        """Break the client's stream, if it has begun."""
        if self.began:
            self.sink.abort()

    @property
    def milliseconds_since_event(self) -> int:
        """How long ago the last event arrived."""
        return round((self.loop.time() - self.timer.last_event_at) * 1000)

    @property
    def awaited(self) -> str:
        """The part of the body's framing that came last, for the log."""
        return "the body's end" if self.part is None else self.part.value

    @property
    def part(self) -> Part | None:
        """The part of the body's framing that is next, or None if the body is not in chunks or has ended."""
        framing = None if self.connection is None else self.connection.framing
        return None if framing is None else framing.part

    def abandoned(self) -> None:
        """Break the stream of a client that has left, or whose attempt was given up, and log what it had."""
        self.abort()
        if self.began:
            log.write_event_limited(
                "stream_left",
                request=self.effect.id,
                endpoint=self.effect.endpoint.name,
                events=self.sink.event_count,
                last_event_ms=self.milliseconds_since_event,
                awaited=self.awaited,
            )

    def failed(self, error: Exception) -> RelayResult:
        """Log a failure and return its result."""
        if self.began:
            log.write_event_limited(
                "stream_cut",
                request=self.effect.id,
                endpoint=self.effect.endpoint.name,
                error=repr(error)[:200],
                last_event_ms=self.milliseconds_since_event,
                awaited=self.awaited,
            )
        if isinstance(error, MalformedResponseError | ValueError):
            return RelayResult(log_malformed(self.effect, error), self.tail)
        if not isinstance(error, aiohttp.ClientError | OSError | TimeoutError):
            log.write_event("relay_broke", error=repr(error))
        return RelayResult(Status.RESET, self.tail)
