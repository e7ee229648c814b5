"""Accepts client connections from one listening socket, and survives failures of `accept`.

asyncio's own server stops accepting for a second when the system is out of descriptors or memory, resumes
even if it was closed meanwhile, and drops connections that it accepted in the pass in which it is closed.
Clients would wait in the accept queue for that second, or be reset during a shutdown.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta

from hoplane import log
from hoplane.core.transient_errors import RESOURCE_EXHAUSTED

MAX_ACCEPTS_PER_PASS = 16  # so that a flood does not take all descriptors at once
BACKLOG = 512  # length of the accept queue
# Delay before another attempt when system resources are exhausted, doubled up to the maximum.
RETRY_DELAY, MAX_RETRY_DELAY = timedelta(milliseconds=2), timedelta(milliseconds=20)
# A close keeps accepting queued connections for this long while accept fails.
CLOSE_TIMEOUT = timedelta(milliseconds=300)


class Listener:
    """Accepts from `listening_socket` and hands connections to protocols created by `protocol_factory`."""

    def __init__(
        self, listening_socket: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]
    ) -> None:
        self.listening_socket, self.protocol_factory = listening_socket, protocol_factory
        self.loop = asyncio.get_running_loop()
        self.failures = 0  # consecutive, for lack of system resources
        self.retry_timer: asyncio.TimerHandle | None = None
        self.pending_transports: set[asyncio.Task] = set()
        self.closed = False

    def start(self) -> None:
        """Start listening and accepting."""
        self.listening_socket.setblocking(False)
        self.listening_socket.listen(BACKLOG)
        self.resume()

    def resume(self) -> None:
        """Accept whenever a connection is pending."""
        self.retry_timer = None
        if self.closed:
            return
        self.loop.add_reader(self.listening_socket, self.accept_batch)

    def accept_batch(self) -> None:
        """Accept a batch of pending connections; the loop calls again while more are pending."""
        if self.closed:  # this call was scheduled before the close, in the same pass of the loop
            return
        for _ in range(MAX_ACCEPTS_PER_PASS):
            try:
                connection = self.accept_one()
            except OSError:
                self.pause()
                return
            if connection is None:
                return
            self.create_transport(connection)

    def accept_one(self) -> socket.socket | None:
        """Accept one connection, or return None if none is pending.

        Raises OSError when system resources are exhausted. Any other failure belongs to the connection at the
        head of the queue (Linux reports its pending errors through accept), so the next one is tried.
        """
        for _ in range(BACKLOG):
            try:
                connection, _ = self.listening_socket.accept()
            except BlockingIOError:
                return None
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTED:
                    log.write_event_limited("accept_failed", error=repr(error))
                    raise
                continue
            self.failures = 0
            return connection
        return None

    def pause(self) -> None:
        """Stop accepting for a moment; the loop would otherwise call again at once."""
        self.loop.remove_reader(self.listening_socket)
        delay = min(RETRY_DELAY * 2 ** min(self.failures, 8), MAX_RETRY_DELAY)
        self.failures += 1
        self.retry_timer = self.loop.call_later(delay.total_seconds(), self.resume)

    def create_transport(self, connection: socket.socket) -> None:
        """Create a transport for an accepted connection."""
        connection.setblocking(False)
        task = self.loop.create_task(self.loop.connect_accepted_socket(self.protocol_factory, connection))
        self.pending_transports.add(task)
        task.add_done_callback(lambda task: self.transport_created(task, connection))

    def transport_created(self, task: asyncio.Task, connection: socket.socket) -> None:
        """Close the connection if its transport could not be created."""
        self.pending_transports.discard(task)
        if task.cancelled() or task.exception() is not None:
            log.write_event_limited(
                "connection_broke", error=repr(None if task.cancelled() else task.exception())
            )
            connection.close()

    async def close(self, accept_pending: bool) -> None:
        """Stop accepting; with `accept_pending`, first accept what is queued: requests may have arrived."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.listening_socket)
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if accept_pending:
            await self.accept_all()
        self.listening_socket.close()
        if self.pending_transports:
            await asyncio.wait(list(self.pending_transports))

    async def accept_all(self) -> None:
        """Accept all pending connections, retrying for a while when system resources are exhausted."""
        give_up_at = self.loop.time() + CLOSE_TIMEOUT.total_seconds()
        for _ in range(BACKLOG):
            try:
                connection = self.accept_one()
            except OSError:
                if self.loop.time() >= give_up_at:
                    log.write_event("listener_abandoned", listen=repr(self.listening_socket.getsockname()))
                    return
                await asyncio.sleep(RETRY_DELAY.total_seconds())
                continue
            if connection is None:
                return
            self.create_transport(connection)
