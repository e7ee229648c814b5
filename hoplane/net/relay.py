"""Passes endpoints' responses on to clients: streams event by event, others once they are complete."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

import aiohttp

from hoplane import log
from hoplane.core import events as ev
from hoplane.decision.interface import Status
from hoplane.net.endpoint_connection import MalformedResponseError
from hoplane.net.interface import Exchange, Sink
from hoplane.net.memory_budget import MemoryBudget, MemoryLease
from hoplane.net.pool import has_framing
from hoplane.net.relay_result import RelayResult, log_malformed
from hoplane.net.response_body import MAX_SHORT_RESPONSE_BYTES, read_body
from hoplane.net.stream_relay import StreamRelay

# For the body of a response that is not a stream: without a byte, and in all.
SHORT_RESPONSE_TIMEOUT, MAX_SHORT_RESPONSE_DURATION = timedelta(seconds=1), timedelta(seconds=5)


async def read_short_response(response: aiohttp.ClientResponse) -> bytes | None:
    """Read a response that is not a stream; return None if it cannot be read to its end."""
    with suppress(aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
        async with asyncio.timeout(MAX_SHORT_RESPONSE_DURATION.total_seconds()):
            return await read_body(response, MAX_SHORT_RESPONSE_BYTES, SHORT_RESPONSE_TIMEOUT)
    return None


class Relay:
    """Passes responses on within a memory budget.

    `start_response` is called before an attempt's first bytes go to the client, and returns whether they may.
    """

    def __init__(self, response_memory: MemoryBudget, start_response: Callable[[ev.Forward], bool]) -> None:
        self.response_memory, self.start_response = response_memory, start_response

    async def relay(
        self, effect: ev.Forward, exchange: Exchange, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Pass a response on: a stream event by event, another one once it is complete."""
        if exchange.sink.buffered:
            return await self.relay_buffered(effect, exchange.sink, response)
        lease = MemoryLease(self.response_memory)
        stream = StreamRelay(effect, exchange.sink, response, self.start_response, lease)
        try:
            return await stream.run()
        except asyncio.CancelledError:
            stream.abandoned()
            raise
        except Exception as error:
            # Any other error must be handled too, or the client would wait on a stream that has ended.
            stream.abort()
            return stream.failed(error)
        finally:
            lease.release()

    async def relay_buffered(
        self, effect: ev.Forward, sink: Sink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Pass a response on once it is complete; the sink keeps its memory until it is sent."""
        lease = MemoryLease(self.response_memory)
        try:
            result = await self.relay_leased(effect, sink, response, lease)
        except BaseException:
            lease.release()
            raise
        if result.status is not Status.OK:
            lease.release()
        return result

    async def relay_leased(
        self, effect: ev.Forward, sink: Sink, response: aiohttp.ClientResponse, lease: MemoryLease
    ) -> RelayResult:
        """Read a response into leased memory and pass it on if it is complete and still awaited."""
        try:
            data = await self.read_buffered(response, lease)
        except MalformedResponseError as error:
            return RelayResult(log_malformed(effect, error))
        except (aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
            return RelayResult(Status.RESET)
        if data is None:
            return RelayResult(Status.ERROR)
        if not sink.is_complete(data, has_framing(response)):
            return RelayResult(Status.RESET)
        if not self.start_response(effect):
            return RelayResult(Status.CANCELLED)
        sink.hold_memory(lease)
        await sink.start()
        await sink.write(data)
        await sink.finish()
        return RelayResult(Status.OK)

    async def read_buffered(self, response: aiohttp.ClientResponse, lease: MemoryLease) -> bytearray | None:
        """Read a complete response, or return None if the memory budget has no room for it."""
        data = bytearray()
        while piece := await response.content.readany():
            if not lease.extend(len(piece)):
                log.write_event_limited("answer_too_large", read=len(data))
                return None
            data += piece
        return data
