"""All that reaches into aiohttp's own parts: the bounds on bad peers that its settings do not offer.

aiohttp is pinned, and `tests/test_aio.py` fails where a release changes what is used here."""

from __future__ import annotations

import asyncio
import functools
import socket
import struct
from collections import OrderedDict, deque
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from itertools import groupby

import aiohttp
from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from hoplane import log
from hoplane.core import permits
from hoplane.core.invariants import Violation
from hoplane.core.permits import Denial
from hoplane.core.transient_errors import RESOURCE_EXHAUSTED

HEAD_MOST = 64 * 1024  # bytes of an answer's head, with all interim ones ahead of it
HEAD_WAIT = timedelta(seconds=0.3)  # from a head's first byte to its end; it is written in one piece
INTERIM_MOST = 16  # 1xx answers ahead of one
SILENT = timedelta(seconds=2.2)  # a client connection with no whole head on it: owed a close within 3 s
LINGER = timedelta(seconds=5)  # for a client to take an error and to end what it is sending
BREAKS, BREAKS_WITHIN = 2, 5.0  # kept connections that broke when used again, within so many seconds
BEHIND = timedelta(milliseconds=20)  # a second answer may come some milliseconds behind the first
KEEP_AGAIN, KEEP_AGAIN_MOST = 10.0, 80.0  # seconds in which none is kept then
FRESH = timedelta(seconds=0.3)  # a new connection so young may be a usual client's whose head is on its way


class Spoilt(aiohttp.ClientPayloadError):
    """An answer that cannot be read; its request may have run, and its connection is of no further use."""


BROKEN = (ConnectionError, aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)


class Stale(aiohttp.ClientOSError):
    """A connection kept from before broke under the next request, with nothing of an answer.

    Its endpoint may be well, as one closes what is idle; the request may have run."""


class Peer(ResponseHandler):
    """A connection to an endpoint. What does not belong to the answer awaited ends it.

    Guards against answers that aiohttp waits for or takes without end: heads of any length, a chunk that
    cannot be read (its error never reaches the reader of the body), and bytes behind an answer, which the
    next request on the connection would take for its own."""

    __slots__ = ("answer", "ahead", "early", "slow", "last", "idle", "broke")

    def __init__(self, loop: asyncio.AbstractEventLoop, broke: Callable[[float], None]) -> None:
        super().__init__(loop)
        self.broke = broke  # told of the idle time of a connection that broke when it was used again
        self.last = self.idle = 0.0  # when bytes came last, and how long ago that was at the request's start
        self.answer: aiohttp.StreamReader | None = None  # the body of the answer awaited, once its head is in
        self.ahead = self.early = 0
        self.slow: asyncio.TimerHandle | None = None

    def set_response_params(self, **params: object) -> None:
        """Begin to await an answer; nothing may have come before it was asked for."""
        self.answer, self.ahead, self.early, self._payload = None, 0, 0, None
        self.idle = self._loop.time() - self.last if self.last else 0.0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        if data and (self._parser is None or (self.answer is not None and self.answer.is_eof())):
            self.spoil("bytes that no request asked for")
            return
        heads, self.last = self.ahead, self._loop.time()
        super().data_received(data)
        if self.answer is not None:
            return
        self.early += len(data)
        between = self.ahead > heads and data.endswith(b"\r\n\r\n")
        if self.early > HEAD_MOST or self.ahead > INTERIM_MOST:
            self.spoil("a head without end")
        elif between:
            self.settle()
        elif self.slow is None and data:
            self.slow = self._loop.call_later(HEAD_WAIT.total_seconds(), self.spoil, "a head without end")

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Take a head from the parser: interim ones are dropped, a second answer ends the connection."""
        message, payload = data
        if self.answer is not None:
            self.spoil("a second answer")
        elif 100 <= message.code < 200 and message.code != 101:
            self.ahead += 1
        else:
            self.settle()
            self.answer = payload
            super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Tell whoever reads, the body's reader too, which aiohttp would leave to wait."""
        self.settle()
        if isinstance(exc, aiohttp.http_exceptions.HttpProcessingError):
            exc = Spoilt(f"an answer that cannot be read: {exc.message}")
        elif self.idle and self.answer is None and not self.early and isinstance(exc, BROKEN):
            self.broke(self.idle)
            exc, self.idle = Stale(f"idle for {self.idle:.3f} s"), 0.0
        super().set_exception(exc, *cause)
        if self.answer is not None and not self.answer.is_eof() and self.answer.exception() is None:
            told = exc if isinstance(exc, aiohttp.ClientError) else aiohttp.ClientConnectionError(repr(exc))
            self.answer.set_exception(told)

    def spoil(self, why: str) -> None:
        """End the connection; whoever waits for an answer on it is told."""
        self.set_exception(Spoilt(why))
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close it ourselves, which is no break; aiohttp tells it as one all the same.

        Guards against a request that is given up and goes out all the same: asyncio would first write what it
        still holds of it, however late its endpoint takes that, and keep the connection open until then."""
        self.idle = 0.0
        if self.transport is not None:
            self.transport.abort()
        super().close()

    def settle(self) -> None:
        if self.slow is not None:
            self.slow.cancel()
            self.slow = None

    def connection_lost(self, exc: BaseException | None) -> None:
        self.settle()
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """aiohttp's connector with connections of our kind, whose idle ones can be let go."""

    def __init__(self, **settings: object) -> None:
        super().__init__(**settings)
        self._factory = functools.partial(Peer, loop=self._loop, broke=self.broke)
        self.usual = self._keepalive_timeout
        self.at_once = ""  # the address of an agent of our own machine, whose connection goes on at once
        self.broken: deque[float] = deque(maxlen=BREAKS)  # when kept connections broke of late
        self.again, self.pause = 0.0, KEEP_AGAIN  # when they are kept again, and the pause till then

    def broke(self, idle: float) -> None:
        """Keep no connection for a while once several that were kept have broken in a row.

        Guards against endpoints, or what lies before them, that reset what they have kept, however short it
        was idle: a booking written to such a connection may have run, and fails. Longer each time."""
        now = self._loop.time()
        self.broken.append(now)
        if len(self.broken) < BREAKS or now - self.broken[0] > BREAKS_WITHIN or not self.keeping:
            return
        self.pause = min(2 * self.pause, KEEP_AGAIN_MOST) if now - self.again < self.pause else KEEP_AGAIN
        self.again, self._keepalive_timeout = now + self.pause, 0.0
        log.write_event("connections_stale", idle_ms=round(idle * 1000), none_kept_for_s=self.pause)

    @property
    def keeping(self) -> bool:
        """Tell whether connections are kept at present."""
        return self._keepalive_timeout > 0

    async def _get(self, key, traces):
        """Give a kept connection on which nothing has come since its last answer, and not just now.

        Guards against what an endpoint wrote and the loop has not read: its close, under which the request
        would break, or a second answer, which it would take for its own and which may come a moment late."""
        if not self.keeping and self._loop.time() > self.again:
            self._keepalive_timeout = self.usual
        rested, early = self._loop.time(), []
        if self.at_once != f"{key.host}:{key.port}":
            rested -= BEHIND.total_seconds()
        while found := await super()._get(key, traces):
            if found.protocol.last > rested:
                early.append(found)
            elif waiting_bytes(found.transport) is not None:
                found.close()
            else:
                break
        for each in early:
            each.release()
        return found

    def drop_idle(self, address: str | None = None) -> int:
        """Close the idle connections, to one endpoint or to all; gives how many there were."""
        dropped = 0
        for key, kept in list(self._conns.items()):
            while kept and address in (None, f"{key.host}:{key.port}"):
                protocol, _ = kept.popleft()
                if protocol.transport is not None:
                    protocol.transport.abort()
                    dropped += 1
        return dropped


def never_resend(session: aiohttp.ClientSession) -> None:
    """Guard against aiohttp sending a DELETE or GET again by itself when a kept connection breaks."""
    session._retry_connection = False


class Caller(RequestHandler):
    """A client's connection. What cannot be read is answered once, and nothing behind it is taken.

    Guards against an answer lost to a reset: a client that is still sending when the connection closes
    never reads it. So its end is awaited, and what it sends meanwhile is thrown away unread."""

    __slots__ = ("since", "deaf", "served", "body", "half")

    def __init__(self, manager: Door, **settings: object) -> None:
        super().__init__(manager, **settings)
        self.since = self._loop.time()
        self.deaf = self.served = False
        self.body: aiohttp.StreamReader | None = None  # of the request whose head came last
        self.half = 0.0  # when the first bytes of a head came that is not whole yet, 0 where there is none

    @property
    def idle(self) -> bool:
        """Tell whether it waits for the next request, with no head on its way; a slow one does not count.

        Guards against a close between two steps of aiohttp's: it takes a request out of its queue a pass of
        the loop before it notes that one is open, and forgets it before its answer is written."""
        waits = self._waiter is not None and not self._waiter.done()
        return waits and self.half < self._loop.time() - FRESH.total_seconds()

    @property
    def rests(self) -> bool:
        """Tell whether it is idle and may be closed: not over a head that came unread, nor one on its way.

        Guards against the close of a connection just taken, whose first request comes a moment later."""
        return self.close_denial() is None

    def close_denial(self) -> Denial | None:
        """Tell why it may not be closed, None where it may."""
        # The look at the system comes last: a flood of new connections makes many of them be asked.
        return self.denial(bytes_wait=False) or self.denial(bytes_wait=bool(waiting_bytes(self.transport)))

    def denial(self, bytes_wait: bool) -> Denial | None:
        """Tell why it may not be closed, with or without bytes that wait to be read."""
        return permits.may_close(
            request_in_progress=not self.idle,
            unread_bytes=bytes_wait,
            age=self._loop.time() - self.since,
            served=self.served,
            initial_grace=FRESH.total_seconds(),
        )

    @property
    def owes(self) -> bool:
        """Tell whether a request was read from it that has no answer yet."""
        return self._current_request is not None or bool(self._messages)

    @property
    def gone(self) -> bool:
        """Tell whether the client has closed it, also where the loop has not come to see that yet."""
        transport = self.transport
        return transport is None or transport.is_closing() or waiting_bytes(transport) == b""

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        between, queued = self.body is None or self.body.is_eof(), len(self._messages)
        super().data_received(data)
        if len(self._messages) > queued:
            self.body, self.half = self._messages[-1][1], 0.0
        elif data and between:
            self.half = self.half or self._loop.time()
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            self.deaf = True  # guards against each further piece counting as one more bad request

    def _pause_transport_reading(self) -> None:
        """Guard against a client's end that is not seen, as its connection is not read.

        What comes behind a whole request is thrown away instead, and the connection ends with its answer."""
        if self._current_request is not None and self._current_request.content.is_eof():
            self.deaf = True
        else:
            super()._pause_transport_reading()

    def _process_keepalive(self) -> None:
        """Close it if it was silent for long; not over a request that has come, or is coming."""
        now = self._loop.time()
        if self.served and self.half:
            self._next_keepalive_close_time = self.half + SILENT.total_seconds()
        elif waiting_bytes(self.transport):
            self._next_keepalive_close_time = now + FRESH.total_seconds()
        super()._process_keepalive()

    def end_here(self) -> bool:
        """Read nothing more, so that it can end with the answer at hand; False where more has been read.

        Guards against a request that is read as the connection closes: nobody would answer it, while one that
        the close finds unread is sent again by its client."""
        if self._messages or self.half:
            return False
        super()._pause_transport_reading()
        return True

    def handle_error(self, request, status=500, exc=None, message=None) -> web.StreamResponse:
        """Word an error as our front does, with no line for each in the log."""
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun")
        log.write_event_limited("bad_request", text=(message or repr(exc)).split("\n")[0][:200])
        return self._manager.problem(status, "the request cannot be read", close=True)

    async def finish_response(self, request, resp, start_time):
        if self.deaf and not self._messages:
            resp.force_close()
        resp, reset = await super().finish_response(request, resp, start_time)
        self.since, self.served = self._loop.time(), True
        unread = self.deaf or not request.content.is_eof() or resp.status >= 400
        if not reset and not resp.keep_alive and unread and self.transport is not None and self._manager:
            await self.linger()
        return resp, reset

    async def linger(self) -> None:
        """End our sending and wait for the client's end; its connection's loss ends the wait."""
        self.deaf = True
        door = self._manager  # which aiohttp forgets when the connection is lost
        door.lingering[self] = None
        try:
            self._resume_transport_reading()
            with suppress(OSError, RuntimeError):
                self.transport.write_eof()
            await asyncio.sleep(LINGER.total_seconds())
        finally:
            door.lingering.pop(self, None)


class TurnedAway(asyncio.Protocol):
    """Answers the request of one client connection too many, and closes it.

    Guards against a reset that overtakes the answer: it reads what comes and lets the client close first."""

    def __init__(self, door: Door) -> None:
        self.door, self.answered = door, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.end = asyncio.get_running_loop().call_later(SILENT.total_seconds(), transport.abort)
        self.door.turned_away[self] = None
        if len(self.door.turned_away) > self.door.turned_most:
            self.door.turned_away.popitem(last=False)[0].transport.abort()

    def data_received(self, data: bytes) -> None:
        if not self.answered:
            self.answered = True
            advice = b"Retry-After: 1\r\n" if self.door.advises else b""
            self.transport.write(
                b"HTTP/1.1 503 Service Unavailable\r\n"
                + advice
                + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )

    def connection_lost(self, error: Exception | None) -> None:
        self.end.cancel()
        self.door.turned_away.pop(self, None)


class Door(web.Server):
    """Takes client connections up to a bound; idle ones give way to new ones."""

    def __init__(
        self, handler: Callable, problem: Callable, most: int, turned_most: int, body_most: int
    ) -> None:
        # Guards against handlers that go on when their client has left, inflating bodies, silent and idle
        # connections, and aiohttp's own wait for the rest of a body, which holds the answer's end back.
        super().__init__(handler, request_factory=self.make, handler_cancellation=True)
        self.caller = functools.partial(
            Caller,
            self,
            loop=self._loop,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=SILENT.total_seconds(),
            lingering_time=0,
        )
        self.problem, self.most, self.turned_most, self.body_most = problem, most, turned_most, body_most
        self.lingering: OrderedDict[Caller, None] = OrderedDict()
        self.turned_away: OrderedDict[TurnedAway, None] = OrderedDict()
        self.report: Callable[[Violation], object] = lambda violation: None  # of what should never happen
        self.advises = True  # whether a refusal may tell when to come back

    def make(self, message, payload, protocol, writer, task) -> web.BaseRequest:
        return web.BaseRequest(
            message, payload, protocol, writer, task, self._loop, client_max_size=self.body_most + 1
        )

    def __call__(self) -> asyncio.Protocol:
        if len(self._connections) < self.most or self.make_room():
            return self.caller()
        log.write_event_limited("client_turned_away", connections=self.most)
        return TurnedAway(self)

    def make_room(self) -> bool:
        """Close the connection that is missed least: one that only ends, is silent, or idle for longest.

        Guards against floods of connections that take the usual clients' places."""
        if self.lingering:
            self.lingering.popitem(last=False)[0].force_close()
            return True
        ordered = sorted(self._connections, key=lambda each: (each.served, each.since))
        for _, group in groupby(ordered, key=lambda each: each.served):
            for each in group:
                denial = each.close_denial()
                if denial is None:
                    self.close_idle(each)
                    return True
                if denial is Denial.CONNECTION_NEW:  # those behind it are younger still
                    break
        return False

    def close_idle(self, caller: Caller) -> None:
        """Close a connection that rests; aiohttp's own close() would end its task alone."""
        if caller.owes:
            self.report(Violation.CLOSED_UNANSWERED)
        caller.force_close()

    def asked_at(self, request: web.BaseRequest) -> float:
        """Give the loop's time from which a request is awaited: its connection's start, for the first."""
        caller = request.protocol
        return self._loop.time() if caller.served else caller.since

    def drop_idle(self) -> None:
        """Close the connections that carry no request, and on which none has come unread.

        Guards against a close that crosses a request on its way: what the system holds is looked at first."""
        for connection in self.connections:
            if connection.rests:
                self.close_idle(connection)


def waiting_bytes(transport: asyncio.BaseTransport | None) -> bytes | None:
    """Give the first byte that has come and is not read yet, empty at the peer's end, None where none has."""
    raw = transport and transport.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return None
    probe = socket.socket(raw.family, raw.type, raw.proto, raw.fileno())
    try:
        return probe.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError as error:
        # A look that failed for want of memory tells nothing; any other error is the connection's end.
        return None if error.errno in RESOURCE_EXHAUSTED else b""
    finally:
        probe.detach()


TCP_INFO_STATE, TCP_INFO_LAST_RECEIVED, TCP_INFO_SIZE = 0, 52, 56  # offsets in struct tcp_info of Linux
ESTABLISHED, CLOSE_WAIT = 1, 8
WAITED_MOST = timedelta(seconds=10)  # a figure over this tells of something else


def waited(transport: asyncio.BaseTransport | None) -> timedelta:
    """Give how long ago the last bytes of a connection arrived, zero where the system does not tell.

    They may have waited to be accepted, or to be read by a loop that was held up. Source:
    `tcpi_last_data_recv` of Linux's TCP_INFO, in milliseconds."""
    raw = transport and transport.get_extra_info("socket")
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except (AttributeError, OSError):
        return timedelta()
    if len(info) < TCP_INFO_SIZE or info[TCP_INFO_STATE] not in (ESTABLISHED, CLOSE_WAIT):
        return timedelta()
    (milliseconds,) = struct.unpack_from("=I", info, TCP_INFO_LAST_RECEIVED)
    found = timedelta(milliseconds=milliseconds)
    return found if found <= WAITED_MOST else timedelta()


def listening(host: str, port: int, inherited: int | None = None) -> socket.socket:
    """Give a socket bound to an address: the one inherited where there is one, else a new one."""
    if inherited is not None:
        made = socket.socket(fileno=inherited)
        made.setblocking(False)
        return made
    made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.setblocking(False)
    made.bind((host, port))
    return made
