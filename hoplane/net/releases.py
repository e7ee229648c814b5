"""Releases a request's read state and reservations by calling endpoints in turn until one accepts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from hoplane import log
from hoplane.core import release as releasing
from hoplane.core.events import Release
from hoplane.core.invariants import Violation
from hoplane.core.state import ConductorState
from hoplane.core.time_conversion import to_ns
from hoplane.net.clock import Clock
from hoplane.net.pool import Pool

# A release that is later than the settings allow counts as a violation only if it is later by more than this.
HELD_TOLERANCE = timedelta(milliseconds=300)


class Releases:
    """Makes the release calls of one conductor; `path` returns a request's release path, or None."""

    def __init__(
        self,
        pool: Pool,
        state: ConductorState,
        clock: Clock,
        path: Callable[[str], str | None],
        report: Callable[[Violation, str], None],
    ) -> None:
        self.pool, self.state, self.clock, self.path, self.report = pool, state, clock, path, report
        self.loop = asyncio.get_running_loop()

    def report_late(self, effect: Release, calls_made: int) -> None:
        """Log a release that was accepted later than the settings allow; a much later one is a violation."""
        limit = self.state.settings.release_within
        if (
            effect.held_since is not None
            and limit
            and (held := to_ns(self.clock.now() - effect.held_since)) > limit
        ):
            log.write_event_limited(
                "release_late", request=effect.id, held_ms=held // 1_000_000, asked=calls_made
            )
            if held > limit + to_ns(HELD_TOLERANCE):
                self.report(Violation.HELD_TOO_LONG, effect.id)

    async def release(self, effect: Release) -> None:
        """Release; after a read that was cut off, release again later unless the request is in progress."""
        await self.release_once(effect)
        for pause in releasing.REPEAT_DELAYS if effect.repeat else ():
            await asyncio.sleep(pause.total_seconds())
            # The request is in progress at another endpoint, and its end releases everything.
            if effect.id in self.state.requests:
                return
            await self.release_once(replace(effect, held_since=None))

    async def release_once(self, effect: Release) -> None:
        """Call endpoint after endpoint until one has accepted the release or a response has started.

        The calls continue while a reservation may exist: an immediate failure does not end them, because any
        other endpoint may accept the release. They end after MAX_DURATION, as endpoints free the state of a
        dead conductor after some seconds.
        """
        path = self.path(effect.id)
        if path is None:
            return
        await asyncio.sleep(effect.delay.total_seconds())
        started_at, failures, calls_made = self.loop.time(), 0, 0
        calls: set[asyncio.Task] = set()
        listed = list(self.state.fleet.values())
        try:
            for endpoint in releasing.candidate_endpoints(
                effect.id, effect.endpoints, listed, self.state.settings.zone
            ):
                call = self.pool.call("DELETE", endpoint.address, path, releasing.CALL_TIMEOUT)
                calls.add(self.loop.create_task(call))
                calls_made += 1
                # An endpoint may be unreachable, so the next one is called while this one may still respond.
                done, calls = await asyncio.wait(
                    calls, timeout=releasing.HEDGE_DELAY.total_seconds(), return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() == 204 for task in done):
                    self.report_late(effect, calls_made)
                    return
                failures = failures + 1 if done else 0
                if done:
                    await asyncio.sleep(releasing.retry_delay(failures).total_seconds())
                if self.state.response_started(effect.id):
                    return
                if self.loop.time() - started_at > releasing.MAX_DURATION.total_seconds():
                    break
            log.write_event_limited("release_unheard", request=effect.id, asked=calls_made)
        finally:
            for task in calls:
                task.cancel()
