"""Operator interface: a line protocol over TCP with one call per connection.

Each call except `DUMP` is answered with one line that starts with `+OK` or `-ERR`.

| call | answer |
| --- | --- |
| `HEALTH` | `+OK ready` while this process accepts new clients, else `-ERR` and the reason |
| `DUMP` | the statistics as one JSON line, then a line `.` |
| `LEAVE` | `+OK leaving`: the conductor starts a drain, see `net/server.py` |
| `JOIN` | `+OK joined`: the drain is cancelled |

Clients that send no complete line, or send without end, cannot exhaust resources: a connection that exceeds
`LINE_TIMEOUT` or `MAX_LINE_BYTES` gets `-ERR` and is closed, and beyond `MAX_CONNECTIONS` the oldest
connection is closed. No call waits for a request or an endpoint; it is answered in the next iteration of the
event loop."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import orjson

from hoplane import log
from hoplane.net.socket_state import bound_socket

LINE_TIMEOUT = timedelta(seconds=0.8)  # to receive a line; below the 1 s within which calls must be answered
MAX_LINE_BYTES = 256
MAX_CONNECTIONS = 24


class OperatorServer:
    """Serves operator calls through callbacks of the conductor."""

    def __init__(
        self,
        address: tuple[str, int],
        not_ready_reason: Callable[[], str | None],
        collect_statistics: Callable[[], dict],
        start_drain: Callable[[], None],
        cancel_drain: Callable[[], None],
    ) -> None:
        (
            self.address,
            self.not_ready_reason,
            self.collect_statistics,
            self.start_drain,
            self.cancel_drain,
        ) = address, not_ready_reason, collect_statistics, start_drain, cancel_drain
        self.connections: OrderedDict[OperatorConnection, None] = OrderedDict()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        listening_socket = bound_socket(*self.address)
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: OperatorConnection(self), sock=listening_socket
        )
        listening_socket.listen(MAX_CONNECTIONS)

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()

    def respond(self, call: bytes) -> bytes:
        """Return the response to one call. Its lines end with CRLF, as in calls."""
        command = call.strip().upper()
        if command == b"HEALTH":
            reason = self.not_ready_reason()
            return b"+OK ready\r\n" if reason is None else f"-ERR {reason}\r\n".encode()
        if command == b"DUMP":
            # The line `.` terminates the response; clients parse everything before it as JSON.
            return orjson.dumps(self.collect_statistics()) + b"\r\n.\r\n"
        if command == b"LEAVE":
            self.start_drain()
            log.write_event("operator", call="LEAVE")
            return b"+OK leaving\r\n"
        if command == b"JOIN":
            self.cancel_drain()
            log.write_event("operator", call="JOIN")
            return b"+OK joined\r\n"
        return b"-ERR unknown call\r\n"


class OperatorConnection(asyncio.Protocol):
    """A connection to the operator interface, for one call."""

    def __init__(self, server: OperatorServer) -> None:
        self.server, self.buffer = server, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LINE_TIMEOUT.total_seconds(), self.reply, b"-ERR no whole line\r\n")
        self.server.connections[self] = None
        if len(self.server.connections) > MAX_CONNECTIONS:
            next(iter(self.server.connections)).close()

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        self.buffer += data
        line, separator, _ = self.buffer.partition(b"\n")
        if separator:
            try:
                response = self.server.respond(line)
            except Exception as error:  # an internal error is answered at once, not by the timeout
                log.write_event("operator_broke", error=repr(error))
                response = b"-ERR a fault of the conductor\r\n"
            self.reply(response)
        elif len(self.buffer) > MAX_LINE_BYTES:
            self.reply(b"-ERR the line is too long\r\n")

    def eof_received(self) -> bool:
        """Accept a call without a line end if the client has closed its sending side."""
        if self.transport is not None and self.buffer.strip():
            self.data_received(b"\n")
        return True

    def reply(self, response: bytes) -> None:
        if self.transport is not None:
            self.transport.write(response)
            self.close()

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self.server.connections.pop(self, None)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.transport = None
        self.server.connections.pop(self, None)
