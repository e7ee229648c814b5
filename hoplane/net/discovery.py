"""Watches discovery and passes its lists to the core as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta

import orjson

from hoplane import log
from hoplane.config import Config
from hoplane.core.events import EndpointsUpdated
from hoplane.core.pacing import Pacing
from hoplane.decision.interface import State
from hoplane.net.endpoint_connection import ResponseLimits
from hoplane.net.pool import Pool
from hoplane.net.response_body import read_body

MAX_LIST_BYTES = 4 * 1024 * 1024  # an entry takes some 200 bytes, or 300 if the list is indented


class Discovery:
    """An endless watch that continues from the last known version."""

    def __init__(
        self,
        pool: Pool,
        address: str,
        parse: Callable[[dict], EndpointsUpdated],
        feed: Callable,
        pacing: Pacing,
    ) -> None:
        self.pool, self.address, self.parse, self.feed = pool, address, parse, feed
        self.pacing = pacing
        self.index: int | None = None
        self.failing = False
        self.responded = asyncio.Event()  # set by the first response
        self.successor: Discovery | None = None  # the watch that has replaced this one on a reload

    def __str__(self) -> str:
        return self.address

    def reconfigure(self, config: Config) -> Discovery:
        """Return the watch for a new configuration.

        It requests the complete list, as another agent may number lists differently.
        """
        pacing = Pacing(config.settings, self.pacing.rng)
        address = "{}:{}".format(*config.discovery)
        self.successor = Discovery(self.pool, address, self.parse, self.feed, pacing)
        return self.successor

    def process_response(self, response: object) -> int:
        """Process a response and return its number of entries.

        A complete list replaces the known one, changes apply to a list that is known.
        """
        if not isinstance(response, dict) or not isinstance(response.get("index"), int):
            raise ValueError("the list has no index")
        complete = bool(response.get("snapshot"))
        listed = self.parse(response)
        if not complete and self.index is not None and response["index"] < self.index:
            # The agent was restarted: its changes apply to a list that is unknown here, so the complete list
            # is requested next. Drains among the changes are applied at once: they count as reported by now,
            # and a drain does no harm if the rest of the list is unknown.
            log.write_event("list_went_back", index=response["index"], known=self.index)
            self.index = None
            drains = tuple(each for each in listed.endpoints if each.state is not State.LIVE)
            if drains:
                self.feed(replace(listed, endpoints=drains))
            return len(drains)
        self.index = response["index"]
        if complete or listed.endpoints:
            self.feed(listed)
        return len(listed.endpoints)

    @property
    def successor_responded(self) -> bool:
        """Whether a watch that replaces this one, at once or after further reloads, has a response."""
        successor = self.successor
        while successor is not None and not successor.responded.is_set():
            successor = successor.successor
        return successor is not None

    async def wait_until_ready(self) -> None:
        """Wait for the first response, at most `first_answer_timeout`.

        The caller then starts with the list it has. Without the wait, requests would be served by a list as
        old as the previous process, although changes since then count as reported from the start of this one.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(self.pacing.first_answer_timeout.total_seconds()):
                await self.responded.wait()

    async def watch(self) -> None:
        """Watch until cancelled, or until a reload has replaced this watch and its last call is completed.

        A list that has arrived but is not read yet when a reload replaces the watch counts as reported, even
        if the next agent does not respond.
        """
        loop = asyncio.get_running_loop()
        last_success = loop.time()  # when the last successful call started
        while self.successor is None:
            started_at = loop.time()
            timed_out = await self.poll()
            if timed_out is None:
                last_success = started_at
                self.pacing.succeeded()
                self.responded.set()
                if self.failing:
                    log.write_event("discovery_back", index=self.index)
                self.failing = False
            else:
                since_success = timedelta(seconds=loop.time() - last_success)
                await asyncio.sleep(self.pacing.failed(timed_out, since_success).total_seconds())

    async def poll(self) -> bool | None:
        """Make one call and process the response. Return None if it succeeded, else whether it timed out."""
        path, (long_poll_wait, response_timeout) = "/registry/instances", self.pacing.next_call()
        if self.index is not None:
            path += f"?since={self.index}&timeout_ms={long_poll_wait // timedelta(milliseconds=1)}"
        self.pool.counters["lists" if self.index is None else "watches"] += 1
        try:
            async with asyncio.timeout(response_timeout.total_seconds()):
                limits = ResponseLimits(MAX_LIST_BYTES)
                async with self.pool.request("GET", self.address, path, limits=limits) as response:
                    body = await read_body(response, MAX_LIST_BYTES)
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            if body is None:
                raise ValueError(f"the list exceeds {MAX_LIST_BYTES} bytes")
            if not self.successor_responded:
                self.pool.counters["list_lines"] += self.process_response(orjson.loads(body))
        except Exception as error:
            self.pool.counters["watches_failed"] += 1
            # Catch every error: an unexpected response must not end the watch, because the list would then no
            # longer be updated.
            if not self.failing:
                log.write_event("discovery_lost", error=repr(error))
            self.failing = True
            return isinstance(error, TimeoutError)
        return None
