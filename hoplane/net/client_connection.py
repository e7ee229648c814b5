"""Client connections: subclasses of aiohttp's server classes with the limits its settings do not offer.

aiohttp is pinned, and `tests/test_aiohttp_internals.py` fails where a release changes what is used here.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from hoplane import log
from hoplane.core import permits
from hoplane.core.permits import Denial
from hoplane.net.arrival_clock import ArrivalClock
from hoplane.net.socket_state import peek_unread, peer_closed, receive_unread

if TYPE_CHECKING:
    from hoplane.net.http_server import HttpServer

# Closes a client connection without a complete request head; clients expect an error or a close within 3 s.
CLIENT_IDLE_TIMEOUT = timedelta(seconds=2.2)
LINGER_TIMEOUT = timedelta(seconds=5)  # for a client to read an error and to stop sending
# A new connection's first request may still be on its way for this long.
NEW_CONNECTION_GRACE = timedelta(seconds=0.3)
# Bytes taken from a connection at once; the size of a piece also limits how long the loop parses it.
READ_BYTES = 8 * 1024
BODY_READ_BYTES = 64 * 1024  # of a body with a length, whose memory is reserved and which is quickly parsed
MAX_HEAD_BYTES = 8 * 1024  # of a request line and all its fields
MAX_HEAD_FIELDS = 64
MAX_QUEUED_REQUESTS = 1  # parsed ahead of the current one, with what came in the same piece
MAX_BACKLOG_BYTES = 1024 * 1024  # received behind these and not parsed yet
BODY_BUFFER_BYTES = 64 * 1024  # of a body that its handler has not taken yet
# Of chunk sizes, extensions and trailers of one body: so many bytes, and one for so many bytes of data.
MAX_BODY_FRAMING_BYTES, DATA_PER_FRAMING_BYTE = 8 * 1024, 4
FIRST_PIECE_BYTES = 1024  # parsed at once of new input, before it is known whether a body comes in chunks
MAX_READS_AHEAD = MAX_BACKLOG_BYTES // READ_BYTES
WRITE_BUFFER_BYTES = 16 * 1024  # of an answer that the system has not taken yet, before writing pauses
WRITE_STALL_TIMEOUT = timedelta(seconds=10)  # for a client that takes nothing of its answer
MAX_ERROR_TEXT = 200  # characters of a parser's message, which quotes what it has read
REQUEST_HEADER_FIELDS_TOO_LARGE = 431


class ClientConnection(RequestHandler):
    """A client's connection; a malformed request is answered once, and what follows it is discarded.

    A client that is still sending when the connection closes gets a reset and never reads the answer. So the
    connection stays half-closed until the client closes its side, and its input is discarded unread.
    """

    __slots__ = (
        "__weakref__",
        "idle_since",
        "discards_input",
        "served",
        "request_body",
        "partial_head_since",
        "head_bytes",
        "body_bytes",
        "backlog",
        "holds_input",
        "overflowed",
        "chunked_body",
        "deferred",
        "stall_timer",
        "backlog_budget",
        "backlog_scheduled",
        "client_transport",
        "arrivals",
    )

    def __init__(self, manager: HttpServer, **settings: object) -> None:
        super().__init__(manager, **settings)
        self.idle_since = self._loop.time()
        self.discards_input = self.served = False
        self.request_body: aiohttp.StreamReader | None = None  # of the request whose head arrived last
        # When the first bytes of an incomplete head arrived, 0 if there is none.
        self.partial_head_since = 0.0
        self.head_bytes = self.body_bytes = 0  # received of an incomplete head, and of the latest body
        self._max_msg_queue_size, self._msg_queue_resume_size = MAX_QUEUED_REQUESTS, MAX_QUEUED_REQUESTS - 1
        self.backlog = bytearray()
        # Whether input goes to the backlog, and whether some of it did not fit there.
        self.holds_input = self.overflowed = False
        self.backlog_budget, self.backlog_scheduled = manager.backlog_budget, False
        self.chunked_body = False  # the latest request's
        self.deferred = b""  # input that waits for its turn to be parsed
        self.stall_timer: asyncio.TimerHandle | None = None
        self.client_transport: asyncio.Transport | None = None  # kept after aiohttp has forgotten it
        self.arrivals = ArrivalClock(self._loop)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._manager.unconnected.discard(self)
        self.client_transport = transport
        transport.max_size = READ_BYTES  # asyncio's attribute for the size of a read
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, error: BaseException | None) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.client_transport = None
        self.drop_backlog()
        super().connection_lost(error)

    @property
    def idle(self) -> bool:
        """Whether it waits for the next request, with no recent partial head; a slow head does not count.

        aiohttp takes a request out of its queue one pass of the loop before it records it as current, and
        forgets it before the answer is written; a connection between these two steps is not idle.
        """
        waiting = self._waiter is not None and not self._waiter.done() and not self.deferred
        return waiting and self.partial_head_since < self._loop.time() - NEW_CONNECTION_GRACE.total_seconds()

    @property
    def closable(self) -> bool:
        """Whether it is idle and may be closed: no head is unread or on its way.

        A connection that was just accepted is not closable, as its first request follows a moment later.
        """
        return self.close_denial() is None

    def close_denial(self) -> Denial | None:
        """Return why the connection may not be closed, or None if it may."""
        # The system call comes last, because a flood of new connections makes this run for many of them.
        return self.check_close(unread_bytes=False) or self.check_close(
            unread_bytes=bool(peek_unread(self.transport))
        )

    def check_close(self, unread_bytes: bool) -> Denial | None:
        """Return why the connection may not be closed, given whether unread bytes are pending."""
        return permits.may_close(
            request_in_progress=not self.idle,
            unread_bytes=unread_bytes,
            age=self._loop.time() - self.idle_since,
            served=self.served,
            initial_grace=NEW_CONNECTION_GRACE.total_seconds(),
        )

    @property
    def has_pending_request(self) -> bool:
        """Whether a request was read from it that has no answer yet."""
        return self._current_request is not None or bool(self._messages)

    @property
    def disconnected(self) -> bool:
        """Whether the client has closed it, even if bytes before that are unread."""
        self.read_ahead()
        transport = self.transport
        return transport is None or transport.is_closing() or peer_closed(transport)

    def read_ahead(self) -> None:
        """Read what has arrived: a close shows only once the bytes before it fit the system's buffer."""
        for _ in range(MAX_READS_AHEAD):
            transport = self.transport
            if transport is None or not transport.is_reading():
                return
            data = receive_unread(transport, READ_BYTES)
            if not data:
                return
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        if self.discards_input:
            return
        if data:
            self.arrivals.note_read(self.transport)
        self.take_input(data)

    def take_input(self, data: bytes) -> None:
        """Parse input, or keep it until the requests before it are answered."""
        if data and (self.holds_input or self.backlog or self.overflowed):
            self.hold(data)
        else:
            self.parse_in_turn(data)

    @property
    def reads_chunked_body(self) -> bool:
        """Whether the rest of a body that comes in chunks is next."""
        return self.chunked_body and self.request_body is not None and not self.request_body.is_eof()

    def parse_in_turn(self, data: bytes) -> None:
        """Parse input if this pass of the loop has time for it; else nothing more is read until its turn."""
        if data and (self.deferred or self.reads_chunked_body or not self._manager.parse_turns.has_time()):
            if not self.deferred:
                self._manager.parse_turns.request(self)
            self.deferred += data
            super()._pause_transport_reading()
        else:
            self.parse_new(data)

    def parse_new(self, data: bytes) -> None:
        """Parse input; of what may be the head of a request, first a small piece, as chunks may follow it."""
        if self.request_body is not None and not self.request_body.is_eof():
            self.parse(data)
        else:
            self.parse(data[:FIRST_PIECE_BYTES])
            if (rest := data[FIRST_PIECE_BYTES:]) and not self.discards_input:
                self.take_input(rest)

    def read_large_pieces(self, body: aiohttp.StreamReader) -> None:
        """Read the rest of a body in large pieces: its length is known, and its memory is reserved."""
        if self.transport is not None and body is self.request_body and not body.is_eof():
            self.transport.max_size = BODY_READ_BYTES

    def take_turn(self) -> None:
        """Parse the input that has waited, and read on; then a piece of what was held back."""
        data, self.deferred = self.deferred, b""
        if self._manager is None or self.discards_input:
            return
        if data:
            if not (self._reading_paused or self._buffer_paused):
                super()._resume_transport_reading()
            self.parse_new(data)
        if self.backlog_scheduled:
            self.backlog_scheduled = False
            self.parse_backlog()

    def parse(self, data: bytes) -> None:
        """Parse input; empty data continues with what the parser has kept."""
        between_requests = self.request_body is None or self.request_body.is_eof()
        queued = len(self._messages)
        super().data_received(data)
        if self.client_transport is not None and self.request_body is not None and self.request_body.is_eof():
            self.client_transport.max_size = READ_BYTES
        if len(self._messages) > queued:
            message, self.request_body = self._messages[-1]
            self.chunked_body = getattr(message, "chunked", False)
            self.partial_head_since, self.head_bytes, self.body_bytes = 0.0, 0, 0
        elif between_requests:
            self.note_partial_head(len(data))
        else:
            self.note_partial_body(len(data))
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            self.discards_input = True  # so that each further piece does not count as one more bad request
            self.drop_backlog()
            self.shorten_error()

    def note_partial_head(self, size: int) -> None:
        """Count bytes of an incomplete head, and answer one that is too long with an error."""
        if not size:
            return
        self.partial_head_since = self.partial_head_since or self._loop.time()
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            text = f"the head exceeds {MAX_HEAD_BYTES} bytes"
            self._messages.append(
                (_ErrInfo(REQUEST_HEADER_FIELDS_TOO_LARGE, ValueError(text), text), EMPTY_PAYLOAD)
            )
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)

    def note_partial_body(self, size: int) -> None:
        """Count bytes of a body, and fail one whose framing takes too many of them."""
        self.body_bytes += size
        received = self.request_body.total_bytes
        if self.body_bytes - received > MAX_BODY_FRAMING_BYTES + received // DATA_PER_FRAMING_BYTE:
            self.discards_input = True
            self.request_body.set_exception(
                web.RequestPayloadError("the chunks of the body are too small, or their framing is too long")
            )

    def shorten_error(self) -> None:
        """Replace a parser's error, which quotes all that it has read, as it is kept while this lingers."""
        error, payload = self._messages.pop()
        text = error.message[:MAX_ERROR_TEXT]
        self._messages.append((_ErrInfo(error.status, ValueError(text), text), payload))

    def _pause_transport_reading(self) -> None:
        """Hold input back without parsing it, but read on, as the client's close comes behind it.

        Reading stops only for the handler of the current request that takes its body, and reads on soon.
        """
        current = self._current_request
        if current is not None and not self._messages and not current.content.is_eof():
            super()._pause_transport_reading()
        else:
            self.holds_input = True

    def _resume_transport_reading(self) -> None:
        self.holds_input = False
        super()._resume_transport_reading()
        self.schedule_backlog()  # not parsed here, as the parser itself calls this at the end of a body

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if a body had filled its buffer; aiohttp calls this for each piece that is taken of it."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def schedule_backlog(self) -> None:
        """Parse the input that was held back, a piece in each of this connection's turns."""
        if self.backlog and not self.backlog_scheduled and self._manager is not None:
            self.backlog_scheduled = True
            self._manager.parse_turns.request(self)

    def parse_backlog(self) -> None:
        """Parse a piece of the input that was held back, and the next one in another turn."""
        if self.discards_input:
            self.drop_backlog()
        if not self.backlog or self.holds_input or self._reading_paused or self._buffer_paused:
            return
        piece = bytes(self.backlog[:READ_BYTES])
        del self.backlog[:READ_BYTES]
        self.backlog_budget.release(len(piece))
        self.parse(piece)
        self.schedule_backlog()

    def hold(self, data: bytes) -> None:
        """Keep input until the requests before it are answered; without memory for it, discard the rest."""
        fits = len(self.backlog) + len(data) <= MAX_BACKLOG_BYTES
        if not self.overflowed and fits and self.backlog_budget.reserve(len(data)):
            self.backlog += data
        else:
            self.overflowed = True

    def drop_backlog(self) -> None:
        """Discard the input that is held back."""
        self.backlog_budget.release(len(self.backlog))
        self.backlog.clear()

    def pause_writing(self) -> None:
        super().pause_writing()
        self.watch_stall()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.stall_timer is not None:
            self.stall_timer.cancel()

    def watch_stall(self) -> None:
        """End the connection unless its client takes something of its answer within the time limit."""
        if self.client_transport is not None:
            self.stall_timer = self._loop.call_later(
                WRITE_STALL_TIMEOUT.total_seconds(),
                self.check_stall,
                self.client_transport.get_write_buffer_size(),
            )

    def check_stall(self, unsent_before: int) -> None:
        """End the connection if as much of the answer is unsent as before; else wait again."""
        transport = self.client_transport
        if transport is None:
            return
        if transport.get_write_buffer_size() < unsent_before:
            self.watch_stall()
            return
        log.write_event_limited("client_closed", reason="the client takes nothing of its answer")
        transport.abort()

    def _process_keepalive(self) -> None:
        """Close the connection after a long idle time, unless a request has arrived or is arriving."""
        now = self._loop.time()
        if self.served and self.partial_head_since:
            self._next_keepalive_close_time = self.partial_head_since + CLIENT_IDLE_TIMEOUT.total_seconds()
        elif self.deferred or peek_unread(self.transport):
            self._next_keepalive_close_time = now + NEW_CONNECTION_GRACE.total_seconds()
        elif self.partial_head_since and now >= self._next_keepalive_close_time:
            log.write_event_limited("client_closed", reason="the head is not complete")
        super()._process_keepalive()

    def stop_reading(self) -> bool:
        """Stop reading so that the connection can close after the current answer; False if more was read.

        A request that is read while the connection closes would never be answered, whereas the client retries
        one that the close finds unread.
        """
        if self._messages or self.partial_head_since or self.backlog or self.deferred:
            return False
        RequestHandler._pause_transport_reading(self)
        return True

    def handle_error(self, request, status=500, exc=None, message=None) -> web.StreamResponse:
        """Return an error in the front's format, without one log line per error."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        log.write_event_limited("bad_request", text=(message or repr(exc)).split("\n")[0][:200])
        return self._manager.error_response(status, "the request cannot be read", close=True)

    async def finish_response(self, request, resp, start_time):
        discards = self.discards_input or (self.overflowed and not self.backlog)
        if discards and not self._messages:
            resp.force_close()
        try:
            resp, reset = await super().finish_response(request, resp, start_time)
        finally:
            if release_memory := getattr(resp, "release_memory", None):
                release_memory()
        self.idle_since, self.served = self._loop.time(), True
        unread = discards or not request.content.is_eof() or resp.status >= 400
        if not reset and not resp.keep_alive and unread and self.transport is not None and self._manager:
            await self.linger()
        return resp, reset

    async def linger(self) -> None:
        """Half-close the connection and wait for the client to close; losing the connection ends the wait."""
        self.discards_input = True
        server = self._manager  # aiohttp clears it when the connection is lost
        server.lingering[self] = None
        try:
            self._resume_transport_reading()
            with suppress(OSError, RuntimeError):
                self.transport.write_eof()
            await asyncio.sleep(LINGER_TIMEOUT.total_seconds())
        finally:
            server.lingering.pop(self, None)
