"""Listens for clients: aiohttp's low-level server with bounds, and an orderly end."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import web

from hoplane import log
from hoplane.config import MAX_BODY_BYTES, Config, Limits
from hoplane.core import permits
from hoplane.core.permits import Denial, Phase
from hoplane.core.transient_errors import RESOURCE_EXHAUSTED
from hoplane.net.aio import Door, listening
from hoplane.net.listener import Listener

BODY_WAIT = timedelta(seconds=2.6)  # for a body: a new client is owed an error or a close within 3 s
LINGER = permits.REFUSE_AFTER  # after SIGTERM, as clients keep coming for 0.2 to 0.4 s
KILL_MOST, KILL_MORE = timedelta(seconds=3), timedelta(seconds=0.7)  # SIGKILL: the longest deadline, and more
MOVE, MOVED = 0.45, 0.92  # parts of that time between which streams are moved, where they can be
START_TRIES, START_RETRY = 100, timedelta(milliseconds=20)  # of a listening socket, where none is left
MARGIN = timedelta(milliseconds=20)  # of a client's patience, for the answer's way and a busy loop
RETURN = timedelta(milliseconds=200)  # the least that a refused client is asked to stay away
LAST = timedelta(seconds=2)  # for the last bytes to leave
LEAVE_IDLE = timedelta(seconds=0.3)  # then idle connections close in a drain: new ones go elsewhere by then
SWEEP = timedelta(milliseconds=50)  # how often connections that became idle are closed while draining

EVENT_MOST = 64 * 1024  # bytes of one event
EVENTS = re.compile(rb"(?:(?:(?:data|event|id|retry)?:[^\n]*|\r?)\n)*")  # lines of events
EVENT_ENDS = (b"\n\n", b"\n\r\n")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Relay(web.StreamResponse):
    """A stream on its way to a client; an aborted one never sends the last chunk."""

    aborted = False

    def abort(self, request: web.BaseRequest) -> None:
        """Close the client's connection in the middle."""
        self.aborted = True
        self.force_close()
        if request.transport is not None:
            request.transport.close()

    async def write_eof(self, data: bytes = b"") -> None:
        if not self.aborted:
            await super().write_eof(data)


class StreamSink:
    """Passes an answer's events on to an HTTP/1.1 client as they come, each once it is whole.

    Guards against a spoilt stream: a size that does not fit shows as lines that are none of an event's, and
    one that lies as a piece or a whole without end."""

    whole = False

    def __init__(self, request: web.BaseRequest, response: Relay, done: asyncio.Future) -> None:
        self.request, self.response, self.done = request, response, done
        self.begin()

    def begin(self) -> None:
        """Begin an attempt's stream: nothing is left of an earlier one that was spoilt."""
        self.part, self.taken = b"", 0

    def take(self, data: bytes) -> bytes:
        """Take a piece of the stream in and give the whole events that may go out now."""
        self.taken += len(data)
        if self.taken > MAX_BODY_BYTES:
            raise ValueError("a stream over 256 KiB")
        data = self.part + data
        end = max((data.rfind(mark) + len(mark) for mark in EVENT_ENDS if mark in data), default=0)
        out, self.part = data[:end], data[end:]
        if len(self.part) > EVENT_MOST:
            raise ValueError("an event without end")
        if out and not EVENTS.fullmatch(out):
            raise ValueError("what is no event")
        return out

    def rest(self, framed: bool) -> bytes:
        """Give what is left at the stream's end, whose last line may do without an empty one."""
        if not framed:
            raise ConnectionError("a stream whose end cannot be known")
        out, self.part = self.part, b""
        if out and not EVENTS.fullmatch(out if out.endswith(b"\n") else out + b"\n"):
            raise ValueError("what is no event")
        return out

    async def start(self) -> None:
        await self.quietly(self.response.prepare(self.request))

    async def write(self, data: bytes) -> None:
        await self.quietly(self.response.write(data))

    async def finish(self) -> None:
        await self.quietly(self.response.write_eof())
        if not self.done.done():
            self.done.set_result(self.response)

    def abort(self) -> None:
        self.response.abort(self.request)
        if not self.done.done():
            self.done.set_result(self.response)

    @staticmethod
    async def quietly(work: Awaitable) -> None:
        """Write; a client that is gone is told by its handler's end, not as a fault of the endpoint."""
        try:
            await work
        except (ConnectionError, OSError):
            return


class Bodies:
    """The memory that bodies take; what would go over the bound is refused before it is read."""

    def __init__(self, most: int) -> None:
        self.most = self.left = most

    def resize(self, most: int) -> None:
        self.left += most - self.most
        self.most = most

    def take(self, size: int) -> bool:
        if size > self.left:
            return False
        self.left -= size
        return True

    def give(self, size: int) -> None:
        self.left += size


class Server:
    """Serves one front on one address."""

    def __init__(self, config: Config, handler: Handler, problem: Callable[..., web.Response]) -> None:
        self.config, self.handler, self.problem = config, handler, problem
        self.bodies = Bodies(config.limits.bodies)
        self.stopping = False
        self.move: Callable[[float], None] = lambda part: None  # breaks off a part of what is open
        self.leaving: float | None = None  # when the drain began, on the loop's clock
        self.draining: asyncio.Task | None = None
        self.open = 0
        self.door = Door(
            self.handle, problem, config.limits.clients, config.limits.rejected_connections, MAX_BODY_BYTES
        )
        self.door.advises = config.settings.retry_after
        self.listener: Listener | None = None
        self.ending = False  # SIGTERM came so long ago that SIGKILL could cut what is taken now
        self.shutting: asyncio.Task | None = None

    def resize(self, limits: Limits) -> None:
        """Put new limits in force; what is over them ends by itself."""
        self.door.most = limits.clients
        self.bodies.resize(limits.bodies)

    async def start(self) -> None:
        """Listen for clients. The platform may hold the socket and share it with another process."""
        for left in reversed(range(START_TRIES)):
            try:
                made = listening(*self.config.listen, inherited=self.config.inherited)
                break
            except OSError as error:
                if error.errno not in RESOURCE_EXHAUSTED or left == 0:
                    raise
                await asyncio.sleep(START_RETRY.total_seconds())
        self.listener = Listener(made, self.door)
        self.listener.start()

    async def shut(self) -> None:
        """Listen no more. What waits at a socket of ours is taken first: its requests may have come.

        Where the platform holds the socket, the process beside us takes what comes."""
        if self.listener is not None:
            await self.listener.close(take_waiting=self.config.inherited is None)

    @property
    def phase(self) -> Phase:
        """Tell how far this process is in its life."""
        if self.stopping:
            return Phase.ENDING if self.ending else Phase.LINGERING
        return Phase.SERVING if self.leaving is None else Phase.DRAINING

    def may_start(self) -> Denial | None:
        """Tell whether a request that has just been read may be taken."""
        return permits.may_accept(self.phase)

    @property
    def ready(self) -> bool:
        """Tell whether new clients are welcome."""
        return self.listener is not None and not self.stopping and self.leaving is None

    def leave(self) -> None:
        """Begin a drain: say no to the front, and end each connection with its answer or while it is idle."""
        if self.leaving is None:
            self.leaving = asyncio.get_running_loop().time()
            self.draining = asyncio.get_running_loop().create_task(self.drain())

    def give_way(self) -> None:
        """Let the process beside take every new connection, and empty this one as a drain does."""
        self.shutting = asyncio.get_running_loop().create_task(self.shut())
        self.leave()

    def join(self) -> None:
        """End a drain: take clients again."""
        self.leaving = None
        if self.draining is not None:
            self.draining.cancel()
            self.draining = None

    async def drain(self) -> None:
        """Close idle connections once the front has heard the no, and any that become idle later."""
        await asyncio.sleep(LEAVE_IDLE.total_seconds())
        while True:
            self.door.drop_idle()
            await asyncio.sleep(SWEEP.total_seconds())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request; while we stop or drain, its connection ends with its answer."""
        self.open += 1
        try:
            response = await self.handler(request)
        except Exception as error:
            # Guards against a fault of ours that ends a connection unanswered, or in words of another wire.
            log.write_event("request_broke", error=repr(error))
            response = self.problem(500, "a fault of the conductor")
        finally:
            self.open -= 1
        if (self.stopping or self.leaving is not None) and request.protocol.end_here():
            response.force_close()
        return response

    @staticmethod
    def size(request: web.BaseRequest) -> int:
        """Give how much memory a body may take; one of untold length may take the most."""
        if request.content_length is None:
            return MAX_BODY_BYTES if request.can_read_body else 0
        return min(request.content_length, MAX_BODY_BYTES)

    async def read(self, request: web.BaseRequest) -> bytes | web.Response:
        """Read a body within the bounds, or give the answer that refuses it."""
        size = request.content_length
        if size is not None and size > MAX_BODY_BYTES:
            return problem(413, "the body is over 256 KiB", close=True)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout_at(self.door.asked_at(request) + BODY_WAIT.total_seconds()):
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            return problem(413, "the body is over 256 KiB", close=True)
        except TimeoutError:
            return problem(408, "the body did not arrive", close=True)

    def end(self) -> None:
        """Refuse what is read from now on: SIGKILL may come before it could be served, and would lose it."""
        self.ending = True

    async def stop(self) -> None:
        """Take what still comes for a moment, then close what is idle and wait for the rest.

        Where clients go on elsewhere with a stream that breaks, what is open is broken off in time. Guards
        against streams that outlast the time till SIGKILL, which cuts them at its own moment: where
        conductors are restarted one upon the other, the next one is then down as well, and clients find
        nobody. Two thirds of that time lie before the next one's end, and after the last one's return."""
        loop = asyncio.get_running_loop()
        self.stopping, begun = True, loop.time()
        self.join()
        longest = max(cls.deadline for cls in self.config.settings.classes) / 1e9
        kill = min(KILL_MOST.total_seconds(), longest) + KILL_MORE.total_seconds()
        moves, next_move = self.config.settings.resume, MOVE * kill
        loop.call_later(LINGER.total_seconds(), self.end)
        # Where the platform holds the socket, the process beside us takes what comes: we may close at once.
        if self.config.inherited is None:
            await asyncio.sleep(LINGER.total_seconds())
        await self.shut()
        ended = loop.time()
        while self.open or (self.door.connections and loop.time() < ended + LAST.total_seconds()):
            self.door.drop_idle()
            await asyncio.sleep(0.005)
            ended = loop.time() if self.open else ended
            if moves and (now := loop.time() - begun) >= next_move:
                next_move = now + SWEEP.total_seconds()
                self.move(min(1.0, SWEEP.total_seconds() / max(0.001, MOVED * kill - now)))


def target(request: web.BaseRequest) -> str:
    """Give a request's path and query as they came, also where the whole URL was sent."""
    return request.raw_path if request.raw_path.startswith("/") else request.rel_url.raw_path_qs


def problem(status: int, text: str, close: bool = False) -> web.Response:
    """Give an answer that says what is wrong; `close` where what may follow is not to be trusted."""
    response = web.Response(status=status, text=text + "\n")
    if close:
        response.force_close()
    return response


def advice(pause: timedelta | None) -> dict[str, str]:
    """Give a refusal's headers: when to come back, in decimal seconds, none where that may not be told.

    Guards against a module with no advice (0), which would call clients back at once into the same jam."""
    return {} if pause is None else {"Retry-After": f"{max(pause, RETURN).total_seconds():.3f}"}
