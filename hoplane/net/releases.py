"""Releases what endpoints hold for a request: calls them one after the other until one has taken it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from hoplane import log
from hoplane.core import release as releasing
from hoplane.core.border import to_ns
from hoplane.core.events import Release
from hoplane.core.invariants import Violation
from hoplane.core.reducer import Conductor
from hoplane.net.clock import Clock
from hoplane.net.pool import Pool

HELD_EXTRA = timedelta(milliseconds=300)  # what is held has so much more than the settings say


class Releases:
    """Makes the releases of one conductor. `path` gives the path of a request's release, None for none."""

    def __init__(
        self,
        pool: Pool,
        state: Conductor,
        clock: Clock,
        path: Callable[[str], str | None],
        report: Callable[[Violation, str], None],
    ) -> None:
        self.pool, self.state, self.clock, self.path, self.report = pool, state, clock, path, report
        self.loop = asyncio.get_running_loop()

    def released(self, effect: Release, asked: int) -> None:
        """Tell of a release that was taken later than the settings want."""
        limit = self.state.settings.release_within
        if (
            effect.held_since is not None
            and limit
            and (held := to_ns(self.clock.now() - effect.held_since)) > limit
        ):
            log.write_event_limited("release_late", request=effect.id, held_ms=held // 1_000_000, asked=asked)
            if held > limit + to_ns(HELD_EXTRA):
                self.report(Violation.HELD_TOO_LONG, effect.id)

    async def release(self, effect: Release) -> None:
        """Release what is held, and again for a read that was cut off, while nothing else is out for it."""
        await self.release_once(effect)
        for pause in releasing.REPEATS if effect.repeat else ():
            await asyncio.sleep(pause.total_seconds())
            if effect.id in self.state.requests:  # it goes on elsewhere: its end releases all
                return
            await self.release_once(replace(effect, held_since=None))

    async def release_once(self, effect: Release) -> None:
        """Call endpoint after endpoint until one has taken the release, or an answer has begun.

        Guards against a release that ends unheard while something is held: what fails at once is no reason to
        end, and no endpoint has to be the one that answers."""
        path = self.path(effect.id)
        if path is None:
            return
        await asyncio.sleep(effect.delay.total_seconds())
        begun, failures, asked = self.loop.time(), 0, 0
        calls: set[asyncio.Task] = set()
        listed = list(self.state.fleet.values())
        try:
            for endpoint in releasing.order(effect.id, effect.endpoints, listed, self.state.settings.zone):
                call = self.pool.call("DELETE", endpoint.address, path, releasing.PATIENCE)
                calls.add(self.loop.create_task(call))
                asked += 1
                # Guards against a cut-off machine: the next is asked while the last may still answer.
                done, calls = await asyncio.wait(
                    calls, timeout=releasing.TRY.total_seconds(), return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() == 204 for task in done):
                    self.released(effect, asked)
                    return
                failures = failures + 1 if done else 0
                if done:
                    await asyncio.sleep(releasing.pause(failures).total_seconds())
                if self.state.began(effect.id):
                    return
                if self.loop.time() - begun > releasing.MOST.total_seconds():
                    break
            log.write_event_limited("release_unheard", request=effect.id, asked=asked)
        finally:
            for task in calls:
                task.cancel()
