"""HTTP client for endpoints: aiohttp's client, configured for this protocol."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from weakref import WeakSet

import aiohttp
from aiohttp import TraceConfig
from yarl import URL

from hoplane.config import Config
from hoplane.core.transient_errors import LOCAL_FAILURES
from hoplane.net.counters import Counters
from hoplane.net.endpoint_connection import Connector, ResponseLimits, disable_resend
from hoplane.net.memory_budget import MemoryBudget
from hoplane.net.response_body import MAX_SHORT_RESPONSE_BYTES, read_body

READ_BUFFER_BYTES = 8 * 1024  # read from an endpoint before a slow client has taken them
# Time for a close or reset by the endpoint to arrive before the last byte is sent: twice the round trip to
# another data centre.
LAST_BYTE_DELAY = timedelta(milliseconds=5)
SHORT_RESPONSE = ResponseLimits(MAX_SHORT_RESPONSE_BYTES)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: enabled, 0 s
# Of the endpoints' idle timeout; a connection that was idle for longer may be reset by the endpoint.
IDLE_TIMEOUT_FRACTION = 0.5


def is_local_failure(error: Exception) -> bool:
    """Return whether a connection failed because of this machine rather than its endpoint."""
    return isinstance(error, aiohttp.ClientConnectorError) and error.os_error.errno in LOCAL_FAILURES


def has_framing(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response's framing shows its end, so that a truncated one can be detected.

    A transfer encoding does so only if chunked is the last one; otherwise the body ends with its connection.
    """
    if encodings := response.headers.get("Transfer-Encoding"):
        return encodings.rpartition(",")[2].strip().lower() == "chunked"
    return "Content-Length" in response.headers


@dataclass(slots=True, frozen=True)
class ShortResponse:
    """A response that was read as a whole; `framed` as in `has_framing`."""

    status: int
    body: bytes
    framed: bool


class SendDeniedError(aiohttp.ClientConnectionError):
    """A call that was withheld as it was about to be sent; see `SendGate`."""


class SendGate(asyncio.Event):
    """Checks whether each part of a call may be sent as it is handed to the system.

    It is three things in one: an event that is set when the last part is sent, the check before each part,
    and the source of the headers that depend on when the head is sent (`time_headers`).

    `is_permitted` is called before every part. `spend_cold_budget` is called once, before the first part: it
    charges the budget that the fleet shares for an endpoint in slow start, and returns whether the call fits.
    `denied` is true if a call was withheld.
    """

    def __init__(
        self,
        is_permitted: Callable[[], bool] = lambda: True,
        time_headers: Callable[[], Mapping[str, str]] = dict,
        spend_cold_budget: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.is_permitted, self.time_headers, self.spend_cold_budget = (
            is_permitted,
            time_headers,
            spend_cold_budget,
        )
        self.denied = self.cold_budget_spent = False
        self.has_body = False  # a head without a body is the whole call

    def check(self) -> None:
        """Raise SendDeniedError, with nothing of this part written, if it may not be sent."""
        allowed = (
            not self.denied and self.is_permitted() and (self.cold_budget_spent or self.spend_cold_budget())
        )
        self.cold_budget_spent = True
        if not allowed:
            self.denied = True
            raise SendDeniedError(
                "not sent: the endpoint drains, the client left, or the deadline or budget is exceeded"
            )

    def allow_last(self) -> None:
        """Allow the last bytes to be sent, or raise SendDeniedError."""
        self.check()
        self.set()


@dataclass(slots=True, frozen=True)
class CallContext:
    """What accompanies a call through aiohttp: its gate, if it has one, and the limits of its response."""

    gate: SendGate | None
    response_limits: ResponseLimits


class Pool:
    """A client session that never queues for a connection, never resends, and limits its sockets."""

    def __init__(self, config: Config) -> None:
        self.max_sockets, self.sockets = config.limits.endpoint_connections, WeakSet()
        self.response_memory = MemoryBudget(config.limits.response_bytes)  # of all models together
        self.counters = Counters()
        # aiohttp's default limit of 100 would queue attempts without notice; the pool counts sockets itself.
        self.connector = Connector(
            limit=0,
            keepalive_timeout=(config.conn_idle * IDLE_TIMEOUT_FRACTION).total_seconds(),
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self.open_socket,
        )
        self.set_discovery(config.discovery)
        trace = TraceConfig(trace_config_ctx_factory=lambda trace_request_ctx=None: trace_request_ctx)
        trace.on_request_headers_sent.append(self.on_headers_sent)
        trace.on_request_chunk_sent.append(self.on_chunk_sent)
        # The default total timeout of five minutes would cut long streams, and inflating would change bodies.
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=config.connect_timeout.total_seconds()),
            auto_decompress=False,
            trace_configs=[trace],
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        disable_resend(self.session)

    def set_discovery(self, address: tuple[str, int] | None) -> None:
        """Set discovery's address: it has reserved descriptors, and its connections are reused at once."""
        self.discovery = address
        self.connector.immediate_reuse_address = "{}:{}".format(*address) if address else ""

    def open_socket(self, info: tuple) -> socket.socket:
        """Create a socket within the pool's share of the descriptors.

        Discovery is exempt, so that its watch can reconnect while hanging attempts hold the whole share.
        """
        if self.discovery is not None and tuple(info[4][:2]) == self.discovery:
            return self.create_socket(info)
        if len(self.sockets) >= self.max_sockets:
            # Closed sockets stay in memory until a garbage collection and must not count.
            self.sockets = WeakSet(each for each in self.sockets if each.fileno() >= 0)
        # An idle connection closes a moment later, so one new connection may be opened before that.
        if len(self.sockets) >= self.max_sockets and not self.connector.close_idle():
            raise OSError(errno.EMFILE, "the pool has no socket left for another connection")
        sock = self.create_socket(info)
        self.sockets.add(sock)
        return sock

    def create_socket(self, info: tuple) -> socket.socket:
        """Create a socket whose close discards undelivered data.

        By default the kernel goes on delivering buffered data after a close, and after the process's end: an
        abandoned request on an unresponsive path would arrive once the path recovers. With a linger time of 0
        a close is a reset, which discards the data. Nothing else is lost, as responses are read to their end
        first.
        """
        sock = socket.socket(*info[:3])
        self.counters["connections"] += 1
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return sock

    @staticmethod
    async def delay_last_byte(body: bytes, gate: SendGate) -> AsyncIterator[bytes]:
        """Yield a body whose last byte is delayed; `gate` is set as that byte is sent.

        For a request that must not run twice: if the connection was closed or reset unnoticed, this shows
        during the delay, while the request cannot have run and may be sent again.
        """
        yield memoryview(body)[:-1]
        await asyncio.sleep(LAST_BYTE_DELAY.total_seconds())
        gate.allow_last()
        yield body[-1:]

    @staticmethod
    async def on_headers_sent(session: object, context: CallContext, params: object) -> None:
        """Check that a call's head may be sent, and add the headers that depend on the time."""
        gate = context.gate
        if gate is None:
            return
        gate.check()
        if not gate.has_body:
            gate.set()
        params.headers.update(gate.time_headers())

    @staticmethod
    async def on_chunk_sent(session: object, context: CallContext, params: object) -> None:
        """Check that a part of a call's body, the first with the head, may be sent; else it stays unwritten.

        aiohttp writes a body in a task of its own, so a client may disconnect or a drain be reported after
        the head was checked; nothing has been written by then.
        """
        if context.gate is not None and not context.gate.is_set():
            context.gate.allow_last()

    def request(
        self,
        method: str,
        address: str,
        path: str,
        gate: SendGate | None = None,
        limits: ResponseLimits = SHORT_RESPONSE,
        **more,
    ):
        """Send a call; `gate` decides as its bytes are sent. A POST has side effects, so it needs one.

        A response over its limits fails with MalformedResponseError as soon as it states so."""
        if gate is not None:
            gate.has_body = more.get("data") is not None
        elif method == "POST":
            raise ValueError(f"POST {path}: a POST needs a send gate")
        # `encoded` keeps yarl from normalizing the path and query: they are passed on unchanged.
        url = URL(f"http://{address}{path}", encoded=True)
        context = CallContext(gate, limits)
        return self.session.request(method, url, allow_redirects=False, trace_request_ctx=context, **more)

    async def get(
        self, address: str, path: str, time_limit: timedelta, max_bytes: int = MAX_SHORT_RESPONSE_BYTES
    ) -> ShortResponse | None:
        """Fetch a text of at most `max_bytes`; return None if there was none, or one that broke off."""
        try:
            async with asyncio.timeout(time_limit.total_seconds()):
                limits = ResponseLimits(max_bytes)
                async with self.request("GET", address, path, limits=limits) as response:
                    body = await read_body(response, max_bytes)
                    return body and ShortResponse(response.status, body, has_framing(response))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def call(
        self, method: str, address: str, path: str, time_limit: timedelta, gate: SendGate | None = None
    ) -> int | None:
        """Make a call without a body and return the response's status, or None if there was none."""
        try:
            async with asyncio.timeout(time_limit.total_seconds()):
                async with self.request(method, address, path, gate) as response:
                    await read_body(response, MAX_SHORT_RESPONSE_BYTES)
                    return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def close(self) -> None:
        """Close the session and all its connections."""
        await self.session.close()
