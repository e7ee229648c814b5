"""Watches discovery; what it tells goes to the core as it comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta

import orjson

from hoplane import log
from hoplane.config import Config
from hoplane.core.events import Listed
from hoplane.core.pacing import Pacing
from hoplane.decision.interface import State
from hoplane.net.pool import Pool


class Discovery:
    """One watch that goes on for ever, from a version that is known."""

    def __init__(
        self, pool: Pool, address: str, read: Callable[[dict], Listed], feed: Callable, pacing: Pacing
    ) -> None:
        self.pool, self.address, self.read, self.feed = pool, address, read, feed
        self.pacing = pacing
        self.index: int | None = None
        self.failing = False
        self.heard = asyncio.Event()  # set with the first answer
        self.after: Discovery | None = None  # the watch of the configuration after ours

    def __str__(self) -> str:
        return self.address

    def moved(self, config: Config) -> Discovery:
        """Give a new configuration's watch: another agent may number lists anew, so it asks for all."""
        pacing = Pacing(config.settings, self.pacing.rng)
        address = "{}:{}".format(*config.discovery)
        self.after = Discovery(self.pool, address, self.read, self.feed, pacing)
        return self.after

    def take(self, answer: object) -> int:
        """Take an answer in: a whole list replaces all, changes apply to a list we have. Gives its lines."""
        if not isinstance(answer, dict) or not isinstance(answer.get("index"), int):
            raise ValueError("the list has no index")
        whole = bool(answer.get("snapshot"))
        listed = self.read(answer)
        if not whole and self.index is not None and answer["index"] < self.index:
            # Guards against an agent that started anew: its changes belong to a list that we do not have, and
            # the whole one is asked for. Only what they say of drains is told by now, and does no harm.
            log.write_event("list_went_back", index=answer["index"], known=self.index)
            self.index = None
            drains = tuple(each for each in listed.endpoints if each.state is not State.LIVE)
            if drains:
                self.feed(replace(listed, endpoints=drains))
            return len(drains)
        self.index = answer["index"]
        if whole or listed.endpoints:
            self.feed(listed)
        return len(listed.endpoints)

    @property
    def outdated(self) -> bool:
        """Tell whether a watch after ours has answered, however many reloads lie between."""
        after = self.after
        while after is not None and not after.heard.is_set():
            after = after.after
        return after is not None

    async def first(self) -> None:
        """Wait for the first answer, unless discovery is silent: then what is known has to do.

        Guards against requests that go by a list as old as the process before: what came since counts as told
        from this one's first moment."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.pacing.first.total_seconds()):
                await self.heard.wait()

    async def watch(self) -> None:
        """Watch until cancelled, or until the watch after ours does.

        Guards against a list that has come and is not read yet as a reload moves the watch: it counts as told
        though the next agent be silent. So our last call goes on to its end."""
        loop = asyncio.get_running_loop()
        answered = loop.time()  # when the last good call began
        while self.after is None:
            begun = loop.time()
            silent = await self.ask()
            if silent is None:
                answered = begun
                self.pacing.answered()
                self.heard.set()
                if self.failing:
                    log.write_event("discovery_back", index=self.index)
                self.failing = False
            else:
                unheard = timedelta(seconds=loop.time() - answered)
                await asyncio.sleep(self.pacing.failed(silent, unheard).total_seconds())

    async def ask(self) -> bool | None:
        """Make one call and take its answer in; where that fails, tell whether nobody answered."""
        path, (wait, patience) = "/registry/instances", self.pacing.call()
        if self.index is not None:
            path += f"?since={self.index}&timeout_ms={wait // timedelta(milliseconds=1)}"
        self.pool.counters["lists" if self.index is None else "watches"] += 1
        try:
            async with asyncio.timeout(patience.total_seconds()):
                async with self.pool.request("GET", self.address, path) as answer:
                    body = await answer.read()
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            if not self.outdated:
                self.pool.counters["list_lines"] += self.take(orjson.loads(body))
        except Exception as error:
            self.pool.counters["watches_failed"] += 1
            # Guards against an answer of any form that would end the watch, and with it the list, unseen.
            if not self.failing:
                log.write_event("discovery_lost", error=repr(error))
            self.failing = True
            return isinstance(error, TimeoutError)
        return None
