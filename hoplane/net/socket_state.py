"""What the system knows of a socket: unread bytes, the peer's close, and when the last bytes arrived."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from datetime import timedelta

from hoplane.core.transient_errors import RESOURCE_EXHAUSTED


def peer_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed or reset the connection, even if bytes before that are unread."""
    sock = transport and transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    events = poll.poll(0)
    return any(mask & select.POLLRDHUP for _, mask in events) or peek_unread(transport) == b""


def peek_unread(transport: asyncio.BaseTransport | None) -> bytes | None:
    """Peek at the first unread byte: empty after the peer's close, None if nothing has arrived."""
    return receive(transport, 1, socket.MSG_PEEK)


def receive_unread(transport: asyncio.BaseTransport | None, size: int) -> bytes | None:
    """Take unread bytes before the event loop does: empty after the peer's close, None if there are none."""
    return receive(transport, size, 0)


def receive(transport: asyncio.BaseTransport | None, size: int, flags: int) -> bytes | None:
    """Receive without waiting: empty after the peer's close, None if nothing has arrived."""
    sock = transport and transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    duplicate = socket.socket(sock.family, sock.type, sock.proto, sock.fileno())
    try:
        return duplicate.recv(size, flags | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError as error:
        # A lack of memory is no failure of the connection; any other error means that it has ended.
        return None if error.errno in RESOURCE_EXHAUSTED else b""
    finally:
        duplicate.detach()


TCP_INFO_STATE, TCP_INFO_LAST_RECEIVED, TCP_INFO_SIZE = 0, 52, 56  # offsets in Linux's struct tcp_info
ESTABLISHED, CLOSE_WAIT = 1, 8
MAX_UNREAD_TIME = timedelta(seconds=10)  # a larger value is not the waiting time of a request, and is ignored


def time_since_last_received(transport: asyncio.BaseTransport | None) -> timedelta:
    """Return how long ago the connection's last bytes arrived, or zero if the system does not report it.

    They may have waited in the accept queue, or for a busy event loop. Source: `tcpi_last_data_recv` of
    Linux's TCP_INFO, in milliseconds.
    """
    sock = transport and transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except (AttributeError, OSError):
        return timedelta()
    if len(info) < TCP_INFO_SIZE or info[TCP_INFO_STATE] not in (ESTABLISHED, CLOSE_WAIT):
        return timedelta()
    (milliseconds,) = struct.unpack_from("=I", info, TCP_INFO_LAST_RECEIVED)
    elapsed = timedelta(milliseconds=milliseconds)
    return elapsed if elapsed <= MAX_UNREAD_TIME else timedelta()


def bound_socket(host: str, port: int, inherited: int | None = None) -> socket.socket:
    """Return a socket bound to an address: the inherited one if given, else a new one."""
    if inherited is not None:
        sock = socket.socket(fileno=inherited)
        sock.setblocking(False)
        return sock
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock
