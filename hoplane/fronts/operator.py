"""The operator address: one line a connection, answered with a line that begins `+OK` or `-ERR`.

| call | answer |
| --- | --- |
| `HEALTH` | `+OK ready` while this process serves new clients, else `-ERR` and why not |
| `DUMP` | the figures as one JSON line, and a line `.` |
| `LEAVE` | `+OK leaving`: the conductor empties itself, see `net/server.py` |
| `JOIN` | `+OK joined`: it takes clients again |

Guards against callers that hold a connection without a whole line, or send without end: each connection has
`WAIT` for its line and `LINE_MOST` bytes, then gets `-ERR` and a close; beyond `OPEN_MOST` connections the
oldest is closed. Nothing here waits on a request or an endpoint: an answer comes at the loop's next turn."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import orjson

from hoplane import log
from hoplane.net.aiohttp_internals import bound_socket

WAIT = timedelta(seconds=0.8)  # for a whole line: an answer is owed within 1 s
LINE_MOST = 256
OPEN_MOST = 32


class Operator:
    """Answers the operator's calls from what the conductor tells."""

    def __init__(
        self,
        address: tuple[str, int],
        ready: Callable[[], str | None],
        figures: Callable[[], dict],
        leave: Callable[[], None],
        join: Callable[[], None],
    ) -> None:
        self.address, self.ready, self.figures, self.leave, self.join = address, ready, figures, leave, join
        self.open: OrderedDict[Line, None] = OrderedDict()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        made = bound_socket(*self.address)
        self.listener = await asyncio.get_running_loop().create_server(lambda: Line(self), sock=made)
        made.listen(OPEN_MOST)

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for line in list(self.open):
            line.end()

    def answer(self, call: bytes) -> bytes:
        """Give the answer to one call, with its line ends, which are CRLF as the calls' are."""
        word = call.strip().upper()
        if word == b"HEALTH":
            why = self.ready()
            return b"+OK ready\r\n" if why is None else f"-ERR {why}\r\n".encode()
        if word == b"DUMP":
            # The figures stand alone before the line `.`: a reader takes what is above it for JSON.
            return orjson.dumps(self.figures()) + b"\r\n.\r\n"
        if word == b"LEAVE":
            self.leave()
            log.write_event("operator", call="LEAVE")
            return b"+OK leaving\r\n"
        if word == b"JOIN":
            self.join()
            log.write_event("operator", call="JOIN")
            return b"+OK joined\r\n"
        return b"-ERR unknown call\r\n"


class Line(asyncio.Protocol):
    """One operator's connection, for one call."""

    def __init__(self, front: Operator) -> None:
        self.front, self.data = front, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(WAIT.total_seconds(), self.reply, b"-ERR no whole line\r\n")
        self.front.open[self] = None
        if len(self.front.open) > OPEN_MOST:
            next(iter(self.front.open)).end()

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        self.data += data
        line, sign, _ = self.data.partition(b"\n")
        if sign:
            try:
                answer = self.front.answer(line)
            except Exception as error:  # guards the loop: a fault of ours is told, not left to wait
                log.write_event("operator_broke", error=repr(error))
                answer = b"-ERR a fault of the conductor\r\n"
            self.reply(answer)
        elif len(self.data) > LINE_MOST:
            self.reply(b"-ERR the line is too long\r\n")

    def eof_received(self) -> bool:
        """Take a call without its line end as whole once its sender has ended its sending."""
        if self.transport is not None and self.data.strip():
            self.data_received(b"\n")
        return True

    def reply(self, answer: bytes) -> None:
        if self.transport is not None:
            self.transport.write(answer)
            self.end()

    def end(self) -> None:
        """Close once what is written has gone."""
        self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self.front.open.pop(self, None)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.transport = None
        self.front.open.pop(self, None)
