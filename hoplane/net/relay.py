"""Passes endpoints' answers on to clients: streams event by event, other answers once they are whole."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

import aiohttp

from hoplane import log
from hoplane.core import events as ev
from hoplane.decision.interface import Status
from hoplane.net.aio import Spoilt
from hoplane.net.server import Bodies
from hoplane.net.wire import Exchange, Sink

HEAD_MOST = 64 * 1024  # bytes read of an answer that is not a stream
TAIL = 2048  # bytes kept of a stream's end, where usage and the load report stand
SHORT_WAIT = timedelta(seconds=1)  # for the body of an answer that is no stream
QUIET = timedelta(seconds=4.8)  # without an event: a client must not be left waiting for 5 s


def framed(answer: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer's end is told, so that one cut short can be known."""
    return "Transfer-Encoding" in answer.headers or "Content-Length" in answer.headers


def spoilt(effect: ev.Forward, error: Exception) -> Status:
    """Tell of an answer that cannot be read: the endpoint is up, and the request may have run."""
    log.write_event_limited(
        "answer_spoilt", endpoint=effect.endpoint.name, request=effect.id, error=str(error)[:200]
    )
    return Status.ERROR


async def read_short(answer: aiohttp.ClientResponse) -> bytes | None:
    """Read an answer that is no stream; None where it cannot be read to its end."""
    data = b""
    with suppress(aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
        async with asyncio.timeout(SHORT_WAIT.total_seconds()):
            while len(data) <= HEAD_MOST:
                if not (part := await answer.content.readany()):
                    return data
                data += part
    return None


class Relay:
    """Passes answers on within the memory for them; `feed` takes the event that one has begun."""

    def __init__(self, answers: Bodies, feed: Callable[[ev.Event], None]) -> None:
        self.answers, self.feed = answers, feed

    async def relay(self, effect: ev.Forward, exchange: Exchange, answer: aiohttp.ClientResponse):
        """Pass a stream on, event by event as they come; a break is the client's too once one has gone.

        Guards against passing on as good what a spoilt piece holds: an event goes out once it is whole."""
        sink, tail, began = exchange.sink, b"", False
        if sink.whole:
            return await self.relay_whole(effect, sink, answer)
        sink.begin()
        try:
            last = False
            while not last:
                async with asyncio.timeout(QUIET.total_seconds() if began else None):
                    while not (data := sink.take(part := await answer.content.readany())) and part:
                        pass  # a piece of an event is no sign of life: the quiet time runs on
                last = not part
                if last:
                    data = sink.rest(framed=answer.content.at_eof() and framed(answer))
                if not data:
                    continue
                if not began:
                    began = True
                    self.feed(ev.ResponseStarted(effect.id, effect.attempt))
                    await sink.start()
                tail = (tail + data)[-TAIL:]
                await sink.write(data)
            if not began:
                raise Spoilt("a stream with no event")
        except asyncio.CancelledError:
            if began:
                sink.abort()
            raise
        except Exception as error:
            # Guards against errors of any kind that would leave a client to wait on a stream that has ended.
            if began:
                sink.abort()
            if isinstance(error, Spoilt | ValueError):
                return spoilt(effect, error), tail
            if not isinstance(error, aiohttp.ClientError | OSError | TimeoutError):
                log.write_event("relay_broke", error=repr(error))
            return Status.RESET, tail
        await sink.finish()
        return Status.OK, tail

    async def relay_whole(self, effect: ev.Forward, sink: Sink, answer: aiohttp.ClientResponse):
        """Pass an answer on once it is whole."""
        try:
            data = await self.read_whole(answer, sink)
        except Spoilt as error:
            return spoilt(effect, error), b""
        except (aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
            return Status.RESET, b""
        if data is None:
            return Status.ERROR, b""
        if not sink.sound(data):
            return Status.RESET, b""
        self.feed(ev.ResponseStarted(effect.id, effect.attempt))
        await sink.start()
        await sink.write(data)
        await sink.finish()
        return Status.OK, data

    async def read_whole(self, answer: aiohttp.ClientResponse, sink: Sink) -> bytes | None:
        """Read an answer to its end within the memory for answers, None where it is too much."""
        data = bytearray()
        while part := await answer.content.readany():
            # Guards against endpoints that answer more, all together, than the limit on memory allows.
            if not self.answers.take(len(part)):
                self.answers.give(len(data))
                log.write_event_limited("answer_too_large", read=len(data))
                return None
            data += part
        sink.done.add_done_callback(lambda done: self.answers.give(len(data)))
        return bytes(data)
