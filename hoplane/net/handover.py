"""Exchanges the heartbeats of processes that share an inherited socket, as files in `$TMPDIR`.

The decision on a handover is made in `core/handover.py`.
"""

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

HEARTBEAT_INTERVAL = timedelta(milliseconds=100)
FILE_PREFIX = "hoplane-process-"


def monotonic() -> timedelta:
    """Return the machine's monotonic clock, which is the same in all processes and has no steps."""
    return timedelta(seconds=time.monotonic())


def wall_clock() -> timedelta:
    """Return the wall-clock time."""
    return timedelta(seconds=time.time())


def read_peer(heartbeat: dict, modified_at: timedelta, wall_now: timedelta, monotonic_now: timedelta) -> Peer:
    """Convert the heartbeat that another process has written, to times of the monotonic clock.

    The keys are the file format, which processes of other releases read and write, so they stay.
    Releases before 0.5 write wall-clock times only: `modified_at`, the modification time of the file, and
    the start time are converted by their age.
    """
    if "monotonic_told" in heartbeat:
        started_at, heartbeat_at = (
            timedelta(seconds=float(heartbeat[key])) for key in ("monotonic_born", "monotonic_told")
        )
    else:
        started_at = monotonic_now - (wall_now - timedelta(seconds=float(heartbeat["born"])))
        heartbeat_at = monotonic_now - (wall_now - modified_at)
    return Peer(int(heartbeat["pid"]), started_at, int(heartbeat["open"]), heartbeat_at)


class Handover:
    """Writes this process's heartbeats, reads those of the others, and acts on the decision."""

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
        """Write heartbeats and check those of the others until cancelled; then remove this process's file."""
        try:
            while True:
                self.write_heartbeat()
                self.check_peers()
                await asyncio.sleep(HEARTBEAT_INTERVAL.total_seconds())
        finally:
            with suppress(OSError):
                self.path.unlink()

    def write_heartbeat(self) -> None:
        """Write this process's heartbeat, replacing the previous file atomically.

        `born` is the start time on the wall clock, `monotonic_told` the time of the heartbeat.
        """
        heartbeat = {
            "pid": self.pid,
            "born": self.started_at_wall.total_seconds(),
            "open": self.count_open_requests(),
            "monotonic_born": self.started_at.total_seconds(),
            "monotonic_told": monotonic().total_seconds(),
        }
        new = self.path.with_suffix(".new")
        try:
            new.write_bytes(orjson.dumps(heartbeat))
            new.replace(self.path)
        except OSError as error:
            log.write_event_limited("handover_unwritten", error=str(error))

    def peers(self) -> list[Peer]:
        """Read the heartbeats of all processes; an unreadable file is ignored."""
        found = []
        with suppress(OSError):
            for path in self.directory.glob(f"{FILE_PREFIX}*.json"):
                with suppress(OSError, ValueError, KeyError, TypeError):
                    heartbeat = orjson.loads(path.read_bytes())
                    modified_at = timedelta(seconds=path.stat().st_mtime)
                    found.append(read_peer(heartbeat, modified_at, wall_clock(), monotonic()))
        return found

    def check_peers(self) -> None:
        """Decide again, and start the handover once there is a newer process."""
        self.decision = decide_handover(self.pid, self.started_at, self.peers(), monotonic())
        if self.decision.superseded and not self.handover_started:
            self.handover_started = True
            log.write_event("giving_way")
            self.start_handover()
