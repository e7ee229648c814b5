"""A byte-level proxy on loopback whose network path can be partitioned, as a lost route does it.

While a path is partitioned no byte passes either way and nobody is told. What the two sides wrote waits in
the system's buffers, as unacknowledged segments wait at a sender. When the path heals, a connection that one
side reset meanwhile delivers nothing more (a sender that has reset a connection no longer retransmits), while
one that was closed in the usual way (FIN) delivers all that was written to it, and then its end: that is what
TCP does with data that is still unacknowledged when its socket is closed."""

from __future__ import annotations

import asyncio
import select
import socket
from contextlib import suppress

PIECE = 64 * 1024  # bytes passed on at a time


def was_reset(end: socket.socket) -> bool:
    """Tell whether the peer has reset this connection, though bytes of it may still be readable."""
    poll = select.poll()
    poll.register(end, 0)
    return any(mask & (select.POLLERR | select.POLLNVAL) for _, mask in poll.poll(0))


def reset(end: socket.socket) -> None:
    """Close a connection with a reset, which discards what was not delivered."""
    with suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    end.close()


class Partition:
    """Stands for the server at `target` (HOST:PORT) until it is left as a context manager.

    `cut()` partitions the path for open connections; new ones are accepted and stay silent, too. `heal()`
    ends that; `reset_all()` breaks every connection with a reset, as a middlebox that lost its state does."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self.target = host, int(port)
        self.whole = asyncio.Event()  # set while bytes pass
        self.whole.set()
        self.connections: set[asyncio.Task] = set()

    async def __aenter__(self) -> Partition:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.accepting = asyncio.create_task(self.accept())
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = [self.accepting, *self.connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.listener.close()

    def cut(self) -> None:
        """Partition the path: bytes wait where they are."""
        self.whole.clear()

    def heal(self) -> None:
        """End the partition."""
        self.whole.set()

    def reset_all(self) -> None:
        """Reset every open connection, on both sides."""
        for task in self.connections:
            task.cancel()

    async def accept(self) -> None:
        """Take connections and pass their bytes on, each in a task of its own."""
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self.listener)
            near.setblocking(False)
            task = asyncio.create_task(self.connect(near))
            self.connections.add(task)
            task.add_done_callback(self.connections.discard)

    async def connect(self, near: socket.socket) -> None:
        """Open the far side of a connection once the path is whole, and pass bytes both ways."""
        far = socket.socket()
        far.setblocking(False)
        copies: list[asyncio.Task] = []
        whole = False
        try:
            await self.whole.wait()
            await asyncio.get_running_loop().sock_connect(far, self.target)
            copies = [asyncio.create_task(self.copy(near, far)), asyncio.create_task(self.copy(far, near))]
            await asyncio.gather(*copies)
            whole = True
        except OSError:
            pass
        finally:
            # Only once nobody waits on them any more: the system gives their descriptors away again.
            for task in copies:
                task.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            for end in (near, far):
                end.close() if whole else reset(end)

    async def copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass bytes one way up to the source's end; what waits on a connection that was reset is dropped."""
        loop = asyncio.get_running_loop()
        while True:
            await readable(source)
            await self.whole.wait()
            if was_reset(source):
                raise ConnectionResetError
            data = await loop.sock_recv(source, PIECE)
            if not data:
                with suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            await loop.sock_sendall(sink, data)


async def readable(source: socket.socket) -> None:
    """Wait until bytes, an end or an error can be read."""
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    descriptor = source.fileno()
    loop.add_reader(descriptor, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_reader(descriptor)
