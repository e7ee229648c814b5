"""Connections to endpoints: aiohttp's client with its defaults set for this protocol."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import suppress
from datetime import timedelta
from weakref import WeakSet

import aiohttp
from aiohttp import TraceConfig
from yarl import URL

from hoplane.config import Config
from hoplane.core.transient_errors import LOCAL_FAILURES
from hoplane.net.aio import Connector, never_resend
from hoplane.net.tally import Tally

READ_AHEAD = 16 * 1024  # bytes taken from an endpoint before a slow client has taken them
LAST_BYTE = timedelta(milliseconds=5)  # a round trip to another data centre takes half of that
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a struct linger: on, for 0 s
IDLE_SHARE = 0.5  # of the endpoints' idle time: what is written to a connection later may end as a reset


def failed_here(error: Exception) -> bool:
    """Tell whether a connection failed on our own machine, which tells nothing of its endpoint."""
    return isinstance(error, aiohttp.ClientConnectorError) and error.os_error.errno in LOCAL_FAILURES


class Drained(aiohttp.ClientConnectionError):
    """A call that we held back as it was to go; see `Sending`."""


class Sending(asyncio.Event):
    """Decides, as each part of a call is handed to the system, whether it may go; set as the last part goes.

    `may` is asked before every part, `spend` once, before the first. `told` gives the headers that tell of
    the moment in which the head goes. `denied` is true where a call was held back."""

    def __init__(
        self,
        may: Callable[[], bool] = lambda: True,
        told: Callable[[], Mapping[str, str]] = dict,
        spend: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.may, self.told, self.spend = may, told, spend
        self.denied = self.spent = False
        self.has_body = False  # a head without a body is the whole call

    def check(self) -> None:
        """End the call here, with nothing of this part written, where it may not go."""
        allowed = not self.denied and self.may() and (self.spent or self.spend())
        self.spent = True
        if not allowed:
            self.denied = True
            raise Drained("held back: its endpoint drains, its client has left, its time or budget is over")

    def go(self) -> None:
        """Let the last bytes go, or end the call here."""
        self.check()
        self.set()


class Pool:
    """A client session that never waits for a connection, resends nothing and counts its sockets."""

    def __init__(self, config: Config) -> None:
        self.most, self.sockets = config.limits.upstreams, WeakSet()
        self.tally = Tally()
        # Guards against aiohttp's total of 100, past which attempts would wait unseen: we count ourselves.
        self.connector = Connector(
            limit=0,
            keepalive_timeout=(config.conn_idle * IDLE_SHARE).total_seconds(),
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self.open,
        )
        self.watch(config.discovery)
        trace = TraceConfig(trace_config_ctx_factory=lambda trace_request_ctx=None: trace_request_ctx)
        trace.on_request_headers_sent.append(self.head)
        trace.on_request_chunk_sent.append(self.sent)
        # Guards against a total time-out of five minutes, which would cut long streams, and inflating.
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=config.connect_timeout.total_seconds()),
            auto_decompress=False,
            trace_configs=[trace],
            read_bufsize=READ_AHEAD,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        never_resend(self.session)

    def watch(self, address: tuple[str, int] | None) -> None:
        """Take an address as discovery's: its descriptors are spare ones, and a watch never rests."""
        self.discovery = address
        self.connector.at_once = "{}:{}".format(*address) if address else ""

    def open(self, info: tuple) -> socket.socket:
        """Make a socket, unless that would take more than our part of the descriptors.

        Guards against a watch that cannot come back while attempts that hang hold all of that part."""
        if self.discovery is not None and tuple(info[4][:2]) == self.discovery:
            return self.made(info)
        if len(self.sockets) >= self.most:
            # Guards against counting closed ones, which stay in memory till a garbage collection.
            self.sockets = WeakSet(each for each in self.sockets if each.fileno() >= 0)
        # A dropped one closes a moment later, so one new connection may go before it.
        if len(self.sockets) >= self.most and not self.connector.drop_idle():
            raise OSError(errno.EMFILE, "no socket is left for another connection")
        made = self.made(info)
        self.sockets.add(made)
        return made

    def made(self, info: tuple) -> socket.socket:
        """Make a socket whose close recalls what has not arrived.

        By default the system goes on delivering what it holds after a close, and after the process's end: a
        request that was given up while its path was silent would arrive once the path heals. With a linger
        time of 0 a close is a reset, which discards it. Closed connections carry nothing else: an answer is
        read to its end first."""
        made = socket.socket(*info[:3])
        self.tally["connections"] += 1
        with suppress(OSError):
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return made

    @staticmethod
    async def held_back(body: bytes, sent: Sending) -> AsyncIterator[bytes]:
        """Give a body whose last byte goes a moment after all else; `sent` is set as it goes.

        Guards a request that must not run twice against a connection that was closed or reset unseen: it
        shows in that moment, while the request cannot have run and may go out again."""
        yield body[:-1]
        await asyncio.sleep(LAST_BYTE.total_seconds())
        sent.go()
        yield body[-1:]

    @staticmethod
    async def head(session: object, context: Sending | None, params: object) -> None:
        """Let a call's head go, with what it tells of the moment in which it does."""
        if context is None:
            return
        context.check()
        if not context.has_body:
            context.set()
        params.headers.update(context.told())

    @staticmethod
    async def sent(session: object, context: Sending | None, params: object) -> None:
        """Let a part of a call's body go, the head with the first. What may not go ends here, unwritten.

        aiohttp writes a body in a task of its own, so that a client may leave or a drain be told after the
        head was checked; nothing of either has been written by then."""
        if context is not None and not context.is_set():
            context.go()

    def request(self, method: str, address: str, path: str, sent: Sending | None = None, **more):
        """Send a call; `sent` decides as its bytes go. A POST has an effect, so it needs one."""
        if sent is not None:
            sent.has_body = more.get("data") is not None
        elif method == "POST":
            raise ValueError(f"POST {path}: needs somebody to decide whether it may go")
        # Guards against yarl writing a path or query anew: it passes on as it came.
        url = URL(f"http://{address}{path}", encoded=True)
        return self.session.request(method, url, allow_redirects=False, trace_request_ctx=sent, **more)

    async def get(self, address: str, path: str, within: timedelta) -> tuple[int, bytes] | None:
        """Fetch a short text and give its status with it, None where it did not come."""
        try:
            async with asyncio.timeout(within.total_seconds()):
                async with self.request("GET", address, path) as answer:
                    return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def call(
        self, method: str, address: str, path: str, within: timedelta, sent: Sending | None = None
    ) -> int | None:
        """Make a call without a body and give the answer's status, None where none came."""
        try:
            async with asyncio.timeout(within.total_seconds()):
                async with self.request(method, address, path, sent) as answer:
                    await answer.read()
                    return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def close(self) -> None:
        await self.session.close()
