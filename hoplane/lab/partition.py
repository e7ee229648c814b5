"""A byte-level TCP proxy on loopback whose network path can be partitioned, as by a lost route.

During a partition no byte passes in either direction, and neither side gets an error. Written data stays in
the system's buffers, as unacknowledged segments do at a sender. After the partition, a connection that one
side reset meanwhile delivers nothing more, because a sender that has reset a connection doesn't retransmit.
One that was closed with FIN delivers all data written to it and then its end, as TCP does with data that is
unacknowledged when its socket is closed."""

from __future__ import annotations

import asyncio
import select
import socket
from contextlib import suppress

CHUNK_SIZE = 64 * 1024  # bytes forwarded at a time


def was_reset(connection: socket.socket) -> bool:
    """Return whether the peer has reset this connection, even while received bytes are still readable."""
    poll = select.poll()
    poll.register(connection, 0)
    return any(mask & (select.POLLERR | select.POLLNVAL) for _, mask in poll.poll(0))


def reset_connection(connection: socket.socket) -> None:
    """Close a connection with a reset, which discards undelivered data."""
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    connection.close()


class PartitionProxy:
    """A proxy in front of the server at `target` (HOST:PORT), used as an async context manager.

    `partition()` stops forwarding on open connections; new ones are accepted, but nothing is forwarded on
    them either. `heal()` ends the partition. `reset_all()` resets every connection, as a middlebox that lost
    its state does."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self.target = host, int(port)
        self.path_up = asyncio.Event()  # set while bytes are forwarded
        self.path_up.set()
        self.connections: set[asyncio.Task] = set()

    async def __aenter__(self) -> PartitionProxy:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.accept_task = asyncio.create_task(self.accept_connections())
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = [self.accept_task, *self.connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.listener.close()

    def partition(self) -> None:
        """Start a partition; bytes stay in the buffers."""
        self.path_up.clear()

    def heal(self) -> None:
        """End the partition."""
        self.path_up.set()

    def reset_all(self) -> None:
        """Reset every open connection on both sides."""
        for task in self.connections:
            task.cancel()

    async def accept_connections(self) -> None:
        """Accept connections and forward each in its own task."""
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(self.listener)
            client.setblocking(False)
            task = asyncio.create_task(self.forward_connection(client))
            self.connections.add(task)
            task.add_done_callback(self.connections.discard)

    async def forward_connection(self, client: socket.socket) -> None:
        """Connect to the server once the path is up, and forward bytes in both directions."""
        server = socket.socket()
        server.setblocking(False)
        forward_tasks: list[asyncio.Task] = []
        completed = False
        try:
            await self.path_up.wait()
            await asyncio.get_running_loop().sock_connect(server, self.target)
            forward_tasks = [
                asyncio.create_task(self.forward_bytes(client, server)),
                asyncio.create_task(self.forward_bytes(server, client)),
            ]
            await asyncio.gather(*forward_tasks)
            completed = True
        except OSError:
            pass
        finally:
            # Close the sockets only after the tasks have ended: the system reuses their descriptors.
            for task in forward_tasks:
                task.cancel()
            await asyncio.gather(*forward_tasks, return_exceptions=True)
            for connection in (client, server):
                connection.close() if completed else reset_connection(connection)

    async def forward_bytes(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward bytes in one direction up to EOF; data buffered on a reset connection is dropped."""
        loop = asyncio.get_running_loop()
        while True:
            await wait_readable(source)
            await self.path_up.wait()
            if was_reset(source):
                raise ConnectionResetError
            data = await loop.sock_recv(source, CHUNK_SIZE)
            if not data:
                with suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return
            await loop.sock_sendall(sink, data)


async def wait_readable(source: socket.socket) -> None:
    """Wait until data, EOF or an error can be read."""
    loop = asyncio.get_running_loop()
    future = loop.create_future()
    descriptor = source.fileno()
    loop.add_reader(descriptor, lambda: future.done() or future.set_result(None))
    try:
        await future
    finally:
        loop.remove_reader(descriptor)
