"""Connections to endpoints: subclasses of aiohttp's client classes with the limits its settings do not offer.

aiohttp is pinned, and `tests/test_aiohttp_internals.py` fails where a release changes what is used here.
"""

from __future__ import annotations

import asyncio
import functools
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from hoplane import log
from hoplane.net.chunk_framing import ChunkedFraming, FramingError, Part
from hoplane.net.socket_state import peek_unread

MAX_HEAD_BYTES = 8 * 1024  # for a response's head and all interim responses before it
MAX_HEAD_FIELDS = 64
READ_BYTES = 8 * 1024  # taken from a connection at once
HEAD_SILENCE_TIMEOUT = timedelta(seconds=1)  # without a byte of a head that has begun
END_OF_HEAD = re.compile(rb"\n\r?\n")
END_OF_HEAD_BYTES = 3
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
# Keep-alive is paused when STALE_LIMIT reused connections have broken within STALE_WINDOW_S seconds.
STALE_LIMIT, STALE_WINDOW_S = 2, 5.0
# An unsolicited second response may arrive some milliseconds after the first.
REUSE_DELAY = timedelta(milliseconds=20)
KEEPALIVE_PAUSE_S, MAX_KEEPALIVE_PAUSE_S = 10.0, 80.0  # time without keep-alive after breaks


class MalformedResponseError(aiohttp.ClientPayloadError):
    """A malformed response. Its request may have run, and its connection cannot be reused."""


CONNECTION_ERRORS = (ConnectionError, aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)


class StaleConnectionError(aiohttp.ClientOSError):
    """A keep-alive connection broke under the next request, before any byte of a response.

    The endpoint may be healthy, as servers close idle connections. The request may have run.
    """


@dataclass(slots=True, frozen=True)
class ResponseLimits:
    """What the response to one call may state and take.

    `max_body_bytes`: the most data of its body, or None if there is no limit.
    `head_silence`: how long a head that has begun may bring nothing, or None until the call is given up.
    """

    max_body_bytes: int | None = None
    head_silence: timedelta | None = HEAD_SILENCE_TIMEOUT


class EndpointConnection(ResponseHandler):
    """A connection to an endpoint; data that is not part of the awaited response closes it.

    Rejects responses that aiohttp would accept or wait for without limit: heads of any length, bodies that
    state more than they may have, a malformed chunk (whose error never reaches the reader of the body), and
    bytes after a response, which would be taken for the response to the next request on the connection.
    """

    __slots__ = (
        "response_body",
        "interim_count",
        "head_bytes",
        "head_timer",
        "last_received",
        "idle_time",
        "on_stale",
        "limits",
        "head_end",
        "framing",
        "framing_progress_at",
        "on_last_chunk",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, on_stale: Callable[[float], None]) -> None:
        super().__init__(loop)
        self.on_stale = on_stale  # called with the idle time of a reused connection that broke
        # Time of the last received byte, and its age when the request started.
        self.last_received = self.idle_time = 0.0
        # Body of the awaited response, once its head is complete.
        self.response_body: aiohttp.StreamReader | None = None
        self.interim_count = self.head_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None
        self.limits = ResponseLimits()  # of the awaited response; set by the connector for each call
        self.reset_response()

    def reset_response(self) -> None:
        """Forget the previous response."""
        self.response_body, self.interim_count, self.head_bytes = None, 0, 0
        self.head_end = b""  # the last bytes of an incomplete head
        # The framing of a body in chunks, when it last came closer to its end, and what to call when its
        # last chunk has begun.
        self.framing: ChunkedFraming | None = None
        self.framing_progress_at = 0.0
        self.on_last_chunk: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.Transport) -> None:
        transport.max_size = READ_BYTES  # asyncio's attribute for the size of a read
        super().connection_made(transport)

    def set_response_params(self, **params: object) -> None:
        """Start waiting for a response; bytes received before this point do not belong to it."""
        self.reset_response()
        self._payload = None
        self.idle_time = self._loop.time() - self.last_received if self.last_received else 0.0
        super().set_response_params(**{**params, "max_headers": MAX_HEAD_FIELDS})

    def data_received(self, data: bytes) -> None:
        if not data:
            super().data_received(data)  # aiohttp continues with what its parser has kept
            return
        self.last_received = self._loop.time()
        while data and not self.closing:
            if self._parser is None or (self.response_body is not None and self.response_body.is_eof()):
                self.fail("unsolicited data")
            elif self.response_body is None:
                data = self.receive_head(data)
            else:
                data = self.receive_body(data)

    @property
    def closing(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self.transport is None or self.transport.is_closing()

    def receive_head(self, data: bytes) -> bytes:
        """Parse data up to the end of a head, and return what comes behind it."""
        end = END_OF_HEAD.search(self.head_end + data)
        size = end.end() - len(self.head_end) if end else len(data)
        self.head_end = b"" if end else (self.head_end + data)[-END_OF_HEAD_BYTES:]
        super().data_received(data[:size])
        if self.response_body is None and not self.closing:
            self.head_bytes += size
            if self.head_bytes > MAX_HEAD_BYTES or self.interim_count > MAX_INTERIM_RESPONSES:
                self.fail("the response head is too long")
            else:
                self.watch_head(complete=end is not None)
        return data[size:]

    def watch_head(self, complete: bool) -> None:
        """Fail a head that has begun and brings nothing for too long; none is due after an interim one."""
        self.cancel_head_timer()
        if not complete and self.limits.head_silence is not None:
            self.head_timer = self._loop.call_later(
                self.limits.head_silence.total_seconds(), self.fail, "the response head does not go on"
            )

    def receive_body(self, data: bytes) -> bytes:
        """Check the framing of data of a body and parse it; return what comes behind the body."""
        if self.framing is None:
            super().data_received(data)
            return b""
        progress = self.framing.progress
        try:
            body = self.framing.feed(data)
        except FramingError as error:
            self.fail(str(error))
            return b""
        if self.framing.progress != progress:
            self.framing_progress_at = self._loop.time()
        if body:
            super().data_received(body)
        if self.framing.part is Part.TRAILER:
            self.on_last_chunk()
        return data[self.framing.taken_bytes :]

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Accept a head from the parser; drop interim ones, and close the connection at a second response."""
        message, payload = data
        if self.response_body is not None:
            self.fail("a second response")
        elif 100 <= message.code < 200 and message.code != 101:
            self.interim_count += 1
        else:
            self.cancel_head_timer()
            self.response_body = payload
            super().feed_data(data, size)
            self.check_stated_size(message)

    def check_stated_size(self, message: RawResponseMessage) -> None:
        """Fail a response whose length exceeds what its body may have, and begin to check one in chunks."""
        if self.response_body.is_eof():
            return
        max_bytes = self.limits.max_body_bytes
        if message.chunked:
            self.framing = ChunkedFraming(max_bytes)
        elif max_bytes is not None and int(message.headers.get("Content-Length", 0)) > max_bytes:
            self.fail(f"the length exceeds the {max_bytes} bytes that the body may have")

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Pass an error to all readers, also the reader of the body, which aiohttp would leave waiting."""
        self.cancel_head_timer()
        if isinstance(exc, aiohttp.http_exceptions.HttpProcessingError):
            exc = MalformedResponseError(f"malformed response: {exc.message}")
        elif (
            self.idle_time
            and self.response_body is None
            and not self.head_bytes
            and isinstance(exc, CONNECTION_ERRORS)
        ):
            self.on_stale(self.idle_time)
            exc, self.idle_time = StaleConnectionError(f"idle for {self.idle_time:.3f} s"), 0.0
        super().set_exception(exc, *cause)
        if (
            self.response_body is not None
            and not self.response_body.is_eof()
            and self.response_body.exception() is None
        ):
            reported = (
                exc if isinstance(exc, aiohttp.ClientError) else aiohttp.ClientConnectionError(repr(exc))
            )
            self.response_body.set_exception(reported)

    def fail(self, reason: str) -> None:
        """Close the connection and fail the awaited response."""
        self.set_exception(MalformedResponseError(reason))
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection from our side, which does not count as a stale connection.

        aiohttp reports such a close as a lost connection too. The connection is reset, because asyncio would
        otherwise first write what is still buffered of an abandoned request, however late the endpoint reads
        it, and keep the connection open until then.
        """
        self.idle_time = 0.0
        if self.transport is not None:
            self.transport.abort()
        super().close()

    def cancel_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def connection_lost(self, exc: BaseException | None) -> None:
        self.cancel_head_timer()
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """aiohttp's connector for `EndpointConnection`, with control over idle connections."""

    def __init__(self, **settings: object) -> None:
        super().__init__(**settings)
        self._factory = functools.partial(EndpointConnection, loop=self._loop, on_stale=self.note_stale)
        self.default_keepalive_timeout = self._keepalive_timeout
        # Address of an agent on this machine, whose connections are reused without delay.
        self.immediate_reuse_address = ""
        self.stale_times: deque[float] = deque(maxlen=STALE_LIMIT)  # when reused connections broke recently
        # When keep-alive resumes, and how long it is paused.
        self.keepalive_resumes_at, self.keepalive_pause = 0.0, KEEPALIVE_PAUSE_S

    def note_stale(self, idle_time: float) -> None:
        """Pause keep-alive when STALE_LIMIT reused connections have broken within STALE_WINDOW_S.

        Some endpoints, or proxies in front of them, reset connections that they kept open, however short the
        idle time. A request with side effects that is written to such a connection may have run, so it fails.
        The pause doubles, up to MAX_KEEPALIVE_PAUSE_S, if the last one ended less than its own length ago.
        """
        now = self._loop.time()
        self.stale_times.append(now)
        if (
            len(self.stale_times) < STALE_LIMIT
            or now - self.stale_times[0] > STALE_WINDOW_S
            or not self.keepalive_enabled
        ):
            return
        self.keepalive_pause = (
            min(2 * self.keepalive_pause, MAX_KEEPALIVE_PAUSE_S)
            if now - self.keepalive_resumes_at < self.keepalive_pause
            else KEEPALIVE_PAUSE_S
        )
        self.keepalive_resumes_at, self._keepalive_timeout = now + self.keepalive_pause, 0.0
        log.write_event(
            "connections_stale", idle_ms=round(idle_time * 1000), none_kept_for_s=self.keepalive_pause
        )

    @property
    def keepalive_enabled(self) -> bool:
        """Whether connections are kept open for reuse at present."""
        return self._keepalive_timeout > 0

    async def connect(self, req, traces, timeout):
        """Return a connection that knows the limits of the response to this call."""
        connection = await super().connect(req, traces, timeout)
        context = traces[0]._trace_config_ctx if traces else None
        connection.protocol.limits = getattr(context, "response_limits", ResponseLimits())
        return connection

    async def _get(self, key, traces):
        """Return an idle connection that has received nothing since its last response, and is not too fresh.

        Data that an endpoint has sent and the event loop has not read yet makes a connection unusable: a
        close, under which the request would break, or a second response, which may arrive a moment late and
        would be taken for the response to this request.
        """
        if not self.keepalive_enabled and self._loop.time() > self.keepalive_resumes_at:
            self._keepalive_timeout = self.default_keepalive_timeout
        quiet_since, too_fresh = self._loop.time(), []
        if self.immediate_reuse_address != f"{key.host}:{key.port}":
            quiet_since -= REUSE_DELAY.total_seconds()
        while connection := await super()._get(key, traces):
            if connection.protocol.last_received > quiet_since:
                too_fresh.append(connection)
            elif peek_unread(connection.transport) is not None:
                connection.close()
            else:
                break
        for each in too_fresh:
            each.release()
        return connection

    def close_idle(self, address: str | None = None) -> int:
        """Close the idle connections to one endpoint, or to all, and return their number."""
        dropped = 0
        for key, idle_connections in list(self._conns.items()):
            while idle_connections and address in (None, f"{key.host}:{key.port}"):
                protocol, _ = idle_connections.popleft()
                if protocol.transport is not None:
                    protocol.transport.abort()
                    dropped += 1
        return dropped


def disable_resend(session: aiohttp.ClientSession) -> None:
    """Stop aiohttp from resending a DELETE or GET by itself when a reused connection breaks."""
    session._retry_connection = False
