"""Accepts clients' connections from one listening socket, whatever `accept` fails with meanwhile.

asyncio's own server takes its listener out of the loop for a second when the system is out of descriptors or
memory, puts it back even though it was closed meanwhile, and does not finish connections that it accepted in
the pass in which it is closed. Clients wait at the listener for that second, or are reset at a stop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta

from hoplane import log
from hoplane.core.transient_errors import RESOURCE_EXHAUSTED

ACCEPT_MOST = 16  # connections accepted in one pass, so that a flood does not take all descriptors at once
BACKLOG = 512  # connections that may wait to be accepted
# Where the system is out of something, another try follows after this, doubled up to the most.
RETRY, RETRY_MOST = timedelta(milliseconds=2), timedelta(milliseconds=20)
WAITING_MOST = timedelta(milliseconds=300)  # that a close goes on to accept what waits, where accept fails


class Listener:
    """Accepts from `listening` and gives each connection to a protocol made by `factory`."""

    def __init__(self, listening: socket.socket, factory: Callable[[], asyncio.Protocol]) -> None:
        self.listening, self.factory = listening, factory
        self.loop = asyncio.get_running_loop()
        self.failures = 0  # in a row, of the kind that passes with time
        self.retry: asyncio.TimerHandle | None = None
        self.adopting: set[asyncio.Task] = set()
        self.closed = False

    def start(self) -> None:
        """Listen, and accept from now on."""
        self.listening.setblocking(False)
        self.listening.listen(BACKLOG)
        self.resume()

    def resume(self) -> None:
        """Accept whenever a connection waits."""
        self.retry = None
        if self.closed:
            return
        self.loop.add_reader(self.listening, self.accept)

    def accept(self) -> None:
        """Accept some of what waits; the loop comes back while more does."""
        if self.closed:  # this call was scheduled in the pass in which it was closed
            return
        for _ in range(ACCEPT_MOST):
            try:
                connection = self.take()
            except OSError:
                self.pause()
                return
            if connection is None:
                return
            self.adopt(connection)

    def take(self) -> socket.socket | None:
        """Accept one connection, None where none waits. An OSError tells that the system is out of something.

        Any other failure is that of the connection ahead (Linux passes its pending errors on through accept):
        the next one is tried."""
        for _ in range(BACKLOG):
            try:
                connection, _ = self.listening.accept()
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
        """Leave what waits where it is for a moment: the loop would only come back at once."""
        self.loop.remove_reader(self.listening)
        delay = min(RETRY * 2 ** min(self.failures, 8), RETRY_MOST)
        self.failures += 1
        self.retry = self.loop.call_later(delay.total_seconds(), self.resume)

    def adopt(self, connection: socket.socket) -> None:
        """Make a transport of an accepted connection."""
        connection.setblocking(False)
        task = self.loop.create_task(self.loop.connect_accepted_socket(self.factory, connection))
        self.adopting.add(task)
        task.add_done_callback(lambda task: self.adopted(task, connection))

    def adopted(self, task: asyncio.Task, connection: socket.socket) -> None:
        """Note that a connection is in use, or close it where that failed."""
        self.adopting.discard(task)
        if task.cancelled() or task.exception() is not None:
            log.write_event_limited(
                "connection_broke", error=repr(None if task.cancelled() else task.exception())
            )
            connection.close()

    async def close(self, take_waiting: bool) -> None:
        """Accept no more. `take_waiting`: what waits is accepted first, as its requests may have come."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.listening)
        if self.retry is not None:
            self.retry.cancel()
        if take_waiting:
            await self.take_all()
        self.listening.close()
        if self.adopting:
            await asyncio.wait(list(self.adopting))

    async def take_all(self) -> None:
        """Accept all that waits, and go on for a while where the system is out of something."""
        until = self.loop.time() + WAITING_MOST.total_seconds()
        for _ in range(BACKLOG):
            try:
                connection = self.take()
            except OSError:
                if self.loop.time() >= until:
                    log.write_event("listener_abandoned", listen=repr(self.listening.getsockname()))
                    return
                await asyncio.sleep(RETRY.total_seconds())
                continue
            if connection is None:
                return
            self.adopt(connection)
