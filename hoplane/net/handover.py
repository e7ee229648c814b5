"""Exchanges the state of processes that share an inherited socket through files in `$TMPDIR`."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

import orjson

from hoplane import log
from hoplane.core.handover import HandoverDecision, Peer, decide_handover

REPORT_INTERVAL = timedelta(milliseconds=100)
FILE_PREFIX = "hoplane-process-"


def monotonic() -> timedelta:
    """Return the machine's monotonic clock, which is the same in all processes and has no steps."""
    return timedelta(seconds=time.monotonic())


def wall_clock() -> timedelta:
    """Return the wall-clock time."""
    return timedelta(seconds=time.time())


def read_peer(report: dict, modified_at: timedelta, wall_now: timedelta, monotonic_now: timedelta) -> Peer:
    """Read the state that a process has reported, in times of the monotonic clock.

    Releases before 0.5 report wall-clock times only: `modified_at`, the modification time of the file, and
    the start time are converted by their age.
    """
    if "monotonic_told" in report:
        started_at, reported_at = (
            timedelta(seconds=float(report[key])) for key in ("monotonic_born", "monotonic_told")
        )
    else:
        started_at = monotonic_now - (wall_now - timedelta(seconds=float(report["born"])))
        reported_at = monotonic_now - (wall_now - modified_at)
    return Peer(int(report["pid"]), started_at, int(report["open"]), reported_at)


class Handover:
    """Reports this process, reads the reports of the others, and acts on the decision."""

    def __init__(
        self, directory: Path, count_open_requests: Callable[[], int], start_handover: Callable[[], None]
    ) -> None:
        self.directory, self.count_open_requests, self.start_handover = (
            directory,
            count_open_requests,
            start_handover,
        )
        self.pid, self.started_at, self.started_at_wall = os.getpid(), monotonic(), wall_clock()
        self.path = directory / f"{FILE_PREFIX}{self.pid}.json"
        self.decision = HandoverDecision(False, False)
        self.handover_started = False

    @property
    def waiting(self) -> bool:
        """Whether an older process still has open requests, so that this one is not ready yet."""
        self.check_peers()
        return self.decision.waiting

    async def run(self) -> None:
        """Report and check until cancelled; the file is removed when the process ends."""
        try:
            while True:
                self.write_report()
                self.check_peers()
                await asyncio.sleep(REPORT_INTERVAL.total_seconds())
        finally:
            with suppress(OSError):
                self.path.unlink()

    def write_report(self) -> None:
        """Write this process's report, replacing the previous file atomically."""
        report = {
            "pid": self.pid,
            "born": self.started_at_wall.total_seconds(),
            "open": self.count_open_requests(),
            "monotonic_born": self.started_at.total_seconds(),
            "monotonic_told": monotonic().total_seconds(),
        }
        new = self.path.with_suffix(".new")
        try:
            new.write_bytes(orjson.dumps(report))
            new.replace(self.path)
        except OSError as error:
            log.write_event_limited("handover_unwritten", error=str(error))

    def peers(self) -> list[Peer]:
        """Read the reports of the others; an unreadable file is ignored."""
        found = []
        with suppress(OSError):
            for path in self.directory.glob(f"{FILE_PREFIX}*.json"):
                with suppress(OSError, ValueError, KeyError, TypeError):
                    report = orjson.loads(path.read_bytes())
                    modified_at = timedelta(seconds=path.stat().st_mtime)
                    found.append(read_peer(report, modified_at, wall_clock(), monotonic()))
        return found

    def check_peers(self) -> None:
        """Decide again, and start draining once a newer process is there."""
        self.decision = decide_handover(self.pid, self.started_at, self.peers(), monotonic())
        if self.decision.superseded and not self.handover_started:
            self.handover_started = True
            log.write_event("giving_way")
            self.start_handover()
