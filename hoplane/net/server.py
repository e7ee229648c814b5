"""HTTP server for clients: aiohttp's low-level server with limits and a graceful shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import replace
from datetime import timedelta

from aiohttp import web

from hoplane import log
from hoplane.config import MAX_BODY_BYTES, Config, Limits
from hoplane.core import permits
from hoplane.core.events import RequestReceived
from hoplane.core.permits import Denial, Phase
from hoplane.core.transient_errors import RESOURCE_EXHAUSTED
from hoplane.net.http_server import HttpServer
from hoplane.net.listener import Listener
from hoplane.net.memory_budget import MemoryBudget
from hoplane.net.socket_state import bound_socket

BODY_TIMEOUT = timedelta(seconds=2.6)  # to read a body: a new client expects an error or a close within 3 s
SLOW_BODY = timedelta(seconds=0.5)  # a body that takes longer to arrive is logged
ACCEPT_GRACE = permits.REFUSE_AFTER  # after SIGTERM, as clients keep connecting for 0.2 to 0.4 s
# SIGKILL follows after the longest deadline plus this margin.
MAX_KILL_DELAY, KILL_MARGIN = timedelta(seconds=3), timedelta(seconds=0.7)
# Part of the time from SIGTERM to SIGKILL over which the interruptions of open streams are spread, if clients
# can resume them elsewhere; as fractions of that time.
INTERRUPTION_START, INTERRUPTION_END = 0.45, 0.92
# Attempts to create the listening socket while system resources are exhausted.
LISTEN_ATTEMPTS, LISTEN_RETRY_DELAY = 100, timedelta(milliseconds=20)
# Part of a client's deadline reserved for the network and a busy event loop.
DEADLINE_MARGIN = timedelta(milliseconds=20)
MIN_RETRY_AFTER = timedelta(milliseconds=200)  # lower bound of a refusal's Retry-After
FLUSH_TIMEOUT = timedelta(seconds=2)  # for the last bytes to be sent
# A drain closes idle connections after this; by then, new clients go elsewhere.
DRAIN_IDLE_DELAY = timedelta(seconds=0.3)
IDLE_SWEEP_INTERVAL = timedelta(milliseconds=50)  # between sweeps for idle connections while draining

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Server:
    """Serves one front on one address."""

    def __init__(self, config: Config, handler: Handler, error_response: Callable[..., web.Response]) -> None:
        self.config, self.handler, self.error_response = config, handler, error_response
        self.bodies = MemoryBudget(config.limits.body_bytes)
        self.stopping = False
        # Called to interrupt this fraction of the open requests; set by the front.
        self.interrupt_requests: Callable[[float], None] = lambda fraction: None
        self.draining_since: float | None = None  # when the drain began, in loop time
        self.drain_task: asyncio.Task | None = None
        self.open_requests = 0
        self.http_server = HttpServer(
            self.handle,
            error_response,
            config.limits.client_connections,
            config.limits.rejected_connections,
            MAX_BODY_BYTES,
            MemoryBudget(config.limits.backlog_bytes),
        )
        self.http_server.send_retry_after = config.settings.retry_after
        self.listener: Listener | None = None
        self.refusing = False  # SIGTERM is so long ago that SIGKILL could cut off new requests
        self.close_task: asyncio.Task | None = None

    def resize(self, limits: Limits) -> None:
        """Apply new limits; what exceeds them ends by itself."""
        self.http_server.max_connections = limits.client_connections
        self.bodies.resize(limits.body_bytes)
        self.http_server.backlog_budget.resize(limits.backlog_bytes)

    async def start(self) -> None:
        """Listen for clients, also on a socket inherited from the process supervisor."""
        for attempts_left in reversed(range(LISTEN_ATTEMPTS)):
            try:
                sock = bound_socket(*self.config.listen, inherited=self.config.inherited)
                break
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED or attempts_left == 0:
                    raise
                await asyncio.sleep(LISTEN_RETRY_DELAY.total_seconds())
        self.listener = Listener(sock, self.http_server)
        self.listener.start()

    async def close_listener(self) -> None:
        """Stop listening.

        Connections queued at a socket of this process are accepted first, as their requests may have arrived.
        If the process supervisor holds the socket, the other process that listens on it accepts them.
        """
        if self.listener is not None:
            await self.listener.close(accept_pending=self.config.inherited is None)

    @property
    def phase(self) -> Phase:
        """The phase of this process with respect to new requests."""
        if self.stopping:
            return Phase.REFUSING if self.refusing else Phase.GRACE_PERIOD
        return Phase.SERVING if self.draining_since is None else Phase.DRAINING

    def may_start(self) -> Denial | None:
        """Return why a request that was just read may not be accepted, or None if it may."""
        return permits.may_accept(self.phase)

    @property
    def ready(self) -> bool:
        """Whether new clients are accepted."""
        return self.listener is not None and not self.stopping and self.draining_since is None

    def start_drain(self) -> None:
        """Start a drain: report not ready, and close each connection after its answer or when it is idle."""
        if self.draining_since is None:
            self.draining_since = asyncio.get_running_loop().time()
            self.drain_task = asyncio.get_running_loop().create_task(self.drain())

    def hand_over(self) -> None:
        """Stop listening, so that the newer process accepts all new connections, and drain this one."""
        self.close_task = asyncio.get_running_loop().create_task(self.close_listener())
        self.start_drain()

    def cancel_drain(self) -> None:
        """End a drain: accept clients again."""
        self.draining_since = None
        if self.drain_task is not None:
            self.drain_task.cancel()
            self.drain_task = None

    async def drain(self) -> None:
        """Close connections that are or become idle, once the load balancer has seen the drain."""
        await asyncio.sleep(DRAIN_IDLE_DELAY.total_seconds())
        while True:
            self.http_server.close_idle_connections()
            await asyncio.sleep(IDLE_SWEEP_INTERVAL.total_seconds())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request; during a shutdown or drain, its connection closes after the answer."""
        self.open_requests += 1
        try:
            response = await self.handler(request)
        except Exception as error:
            # An internal error must not end a connection unanswered, or in another protocol's format.
            log.write_event("request_broke", error=repr(error))
            response = self.error_response(500, "a fault of the conductor")
        finally:
            self.open_requests -= 1
        if (self.stopping or self.draining_since is not None) and request.protocol.stop_reading():
            response.force_close()
        return response

    @staticmethod
    def body_size(request: web.BaseRequest) -> int:
        """Return how much memory a body may take; one of unknown length may take the maximum."""
        if request.content_length is None:
            return MAX_BODY_BYTES if request.can_read_body else 0
        return min(request.content_length, MAX_BODY_BYTES)

    async def read(self, request: web.BaseRequest) -> bytes | web.Response:
        """Read a body within the limits, or return the error that refuses it."""
        body_size = request.content_length
        if body_size is not None and body_size > MAX_BODY_BYTES:
            return error_response(413, "the body is over 256 KiB", close=True)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout_at(
                self.http_server.awaited_since(request) + BODY_TIMEOUT.total_seconds()
            ):
                if body_size is not None:
                    request.protocol.read_large_pieces(request.content)
                body = await request.read()
            if (duration := loop.time() - started_at) > SLOW_BODY.total_seconds():
                log.write_event_limited("body_slow", size=len(body), ms=round(duration * 1000))
            return body
        except web.HTTPRequestEntityTooLarge:
            return error_response(413, "the body is over 256 KiB", close=True)
        except TimeoutError:
            return error_response(408, "the body did not arrive", close=True)
        except web.RequestPayloadError as error:
            log.write_event_limited("bad_request", text=str(error)[:200])
            return error_response(400, "the body is malformed", close=True)

    def start_refusing(self) -> None:
        """Refuse requests from now on: SIGKILL may come before they could be served, and would lose them."""
        self.refusing = True

    async def stop(self) -> None:
        """Accept new connections for a moment, then close idle ones and wait for the rest.

        Where clients can resume an interrupted stream elsewhere, open streams are interrupted before SIGKILL,
        a few at a time. Otherwise SIGKILL could cut a stream at a moment of a rolling restart when the next
        conductor is down as well, and its client would find none. The interruptions are spread around two
        thirds of the time until SIGKILL: by then the previous conductor has returned, and the next one has
        not stopped yet.
        """
        loop = asyncio.get_running_loop()
        self.stopping, stop_started = True, loop.time()
        self.cancel_drain()
        longest_deadline = max(cls.deadline for cls in self.config.settings.classes) / 1e9
        kill_delay = min(MAX_KILL_DELAY.total_seconds(), longest_deadline) + KILL_MARGIN.total_seconds()
        interrupts, next_interruption = self.config.settings.resume, INTERRUPTION_START * kill_delay
        loop.call_later(ACCEPT_GRACE.total_seconds(), self.start_refusing)
        # If the process supervisor holds the socket, the other process on it accepts new connections, so this
        # one stops listening at once.
        if self.config.inherited is None:
            await asyncio.sleep(ACCEPT_GRACE.total_seconds())
        await self.close_listener()
        last_active = loop.time()
        while self.open_requests or (
            self.http_server.connections and loop.time() < last_active + FLUSH_TIMEOUT.total_seconds()
        ):
            self.http_server.close_idle_connections()
            await asyncio.sleep(0.005)
            last_active = loop.time() if self.open_requests else last_active
            if interrupts and (now := loop.time() - stop_started) >= next_interruption:
                next_interruption = now + IDLE_SWEEP_INTERVAL.total_seconds()
                self.interrupt_requests(
                    min(
                        1.0,
                        IDLE_SWEEP_INTERVAL.total_seconds() / max(0.001, INTERRUPTION_END * kill_delay - now),
                    )
                )


def subtract_elapsed(received: RequestReceived, request: web.BaseRequest) -> RequestReceived:
    """Return a request with the time that its client has left now.

    Time counts from when the client sent the last byte, not from when a busy event loop read it."""
    time_left = max(timedelta(), received.time_left - request.protocol.arrivals.elapsed)
    return replace(received, time_left=time_left)


def check_text(headers: Mapping[str, str], names: Iterable[str]) -> None:
    """Raise ValueError if one of these headers has bytes that are no UTF-8; nothing could encode them."""
    for name in names:
        if not is_text(headers.get(name, "")):
            raise ValueError(f"{name}: must be UTF-8")


def is_text(value: str) -> bool:
    """Return whether a header's value was UTF-8; aiohttp keeps other bytes as lone surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def request_target(request: web.BaseRequest) -> str:
    """Return a request's path and query unchanged, also if the client sent an absolute URL."""
    return request.raw_path if request.raw_path.startswith("/") else request.rel_url.raw_path_qs


def error_response(status: int, text: str, close: bool = False) -> web.Response:
    """Return an error response; with `close`, the connection closes, as further input cannot be trusted."""
    response = web.Response(status=status, text=text + "\n")
    if close:
        response.force_close()
    return response


def retry_after_headers(pause: timedelta | None) -> dict[str, str]:
    """Return a refusal's headers: Retry-After in decimal seconds, none if it may not be sent.

    The minimum covers a refusal without advice (0), after which clients would retry at once during the same
    overload.
    """
    return {} if pause is None else {"Retry-After": f"{max(pause, MIN_RETRY_AFTER).total_seconds():.3f}"}
