"""The HTTP server of client connections: aiohttp's low-level server with limits on them.

aiohttp is pinned, and `tests/test_aiohttp_internals.py` fails where a release changes what is used here.
"""

from __future__ import annotations

import asyncio
import functools
from collections import OrderedDict
from collections.abc import Callable
from itertools import groupby
from weakref import WeakSet

from aiohttp import web

from hoplane import log
from hoplane.core.invariants import Violation
from hoplane.core.permits import Denial
from hoplane.net.client_connection import (
    BODY_BUFFER_BYTES,
    CLIENT_IDLE_TIMEOUT,
    MAX_HEAD_FIELDS,
    READ_BYTES,
    ClientConnection,
)
from hoplane.net.memory_budget import MemoryBudget
from hoplane.net.parse_turns import ParseTurns


class RejectedConnection(asyncio.Protocol):
    """Answers the request of a client over the connection limit with 503, and closes the connection.

    It reads the input and lets the client close first, because a reset could overtake the answer.
    """

    def __init__(self, server: HttpServer) -> None:
        self.server, self.answered = server, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.max_size = READ_BYTES
        self.close_timer = asyncio.get_running_loop().call_later(
            CLIENT_IDLE_TIMEOUT.total_seconds(), transport.abort
        )
        self.server.rejected[self] = None
        if len(self.server.rejected) > self.server.max_rejected:
            self.server.rejected.popitem(last=False)[0].transport.abort()

    def data_received(self, data: bytes) -> None:
        if not self.answered:
            self.answered = True
            retry_after = b"Retry-After: 1\r\n" if self.server.send_retry_after else b""
            self.transport.write(
                b"HTTP/1.1 503 Service Unavailable\r\n"
                + retry_after
                + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )

    def connection_lost(self, error: Exception | None) -> None:
        self.close_timer.cancel()
        self.server.rejected.pop(self, None)


class HttpServer(web.Server):
    """Accepts client connections up to a limit; idle ones are evicted for new ones."""

    def __init__(
        self,
        handler: Callable,
        error_response: Callable,
        max_connections: int,
        max_rejected: int,
        max_body_bytes: int,
        backlog_budget: MemoryBudget,
    ) -> None:
        # Handlers are cancelled when their client disconnects, compressed bodies stay compressed, and silent
        # and idle connections time out. aiohttp's own wait for the rest of a body is off, as it delays the
        # end of the answer.
        super().__init__(handler, request_factory=self.make_request, handler_cancellation=True)
        self.new_connection = functools.partial(
            ClientConnection,
            self,
            loop=self._loop,
            auto_decompress=False,
            access_log=None,
            read_bufsize=BODY_BUFFER_BYTES,
            max_headers=MAX_HEAD_FIELDS,
            keepalive_timeout=CLIENT_IDLE_TIMEOUT.total_seconds(),
            lingering_time=0,
        )
        self.error_response, self.max_connections, self.max_rejected, self.max_body_bytes = (
            error_response,
            max_connections,
            max_rejected,
            max_body_bytes,
        )
        self.backlog_budget = backlog_budget  # for input that all connections hold back
        # Created for accepted connections that they do not know yet; one that breaks before is forgotten.
        self.unconnected: WeakSet[ClientConnection] = WeakSet()
        self.parse_turns = ParseTurns(self._loop)
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self.rejected: OrderedDict[RejectedConnection, None] = OrderedDict()
        # Called with each invariant violation.
        self.report_violation: Callable[[Violation], object] = lambda violation: None
        self.send_retry_after = True  # whether a refusal may include Retry-After

    def make_request(self, message, payload, protocol, writer, task) -> web.BaseRequest:
        return web.BaseRequest(
            message, payload, protocol, writer, task, self._loop, client_max_size=self.max_body_bytes + 1
        )

    def __call__(self) -> asyncio.Protocol:
        if len(self._connections) + len(self.unconnected) < self.max_connections or self.evict_connection():
            connection = self.new_connection()
            self.unconnected.add(connection)
            return connection
        log.write_event_limited("client_turned_away", connections=self.max_connections)
        return RejectedConnection(self)

    def evict_connection(self) -> bool:
        """Close one connection to make room: a lingering one, else a silent one, else the one idle longest.

        Otherwise floods of connections would crowd out the usual clients.
        """
        if self.lingering:
            self.lingering.popitem(last=False)[0].force_close()
            return True
        by_priority = sorted(
            self._connections, key=lambda connection: (connection.served, connection.idle_since)
        )
        for _, group in groupby(by_priority, key=lambda connection: connection.served):
            for connection in group:
                denial = connection.close_denial()
                if denial is None:
                    log.write_event_limited("client_evicted", served=connection.served)
                    self.close_connection(connection)
                    return True
                if denial is Denial.CONNECTION_NEW:  # the rest of the group is younger still
                    break
        return False

    def close_connection(self, connection: ClientConnection) -> None:
        """Close an idle connection; aiohttp's close() would only end its task."""
        if connection.has_pending_request:
            self.report_violation(Violation.CLOSED_UNANSWERED)
        connection.force_close()

    def awaited_since(self, request: web.BaseRequest) -> float:
        """Return the loop time since which a request is awaited, for the first one the connection's start."""
        connection = request.protocol
        return self._loop.time() if connection.served else connection.idle_since

    def close_idle_connections(self) -> None:
        """Close the connections that carry no request and have no unread input.

        The kernel's receive buffer is checked first, so that a close does not cross a request on its way.
        """
        for connection in self.connections:
            if connection.closable:
                self.close_connection(connection)
