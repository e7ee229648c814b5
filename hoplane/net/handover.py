"""What each process on an inherited socket tells the others through a file in `$TMPDIR`, every 100 ms."""

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
from hoplane.core.handover import Peer, Verdict, judge

EVERY = timedelta(milliseconds=100)
PREFIX = "hoplane-process-"


def monotonic() -> timedelta:
    """Give the machine's monotonic clock, which all its processes read alike and no step moves."""
    return timedelta(seconds=time.monotonic())


def wall() -> timedelta:
    """Give the wall clock's time."""
    return timedelta(seconds=time.time())


def read_peer(told: dict, told_wall: timedelta, wall: timedelta, monotonic: timedelta) -> Peer:
    """Read what a process told of itself, on the monotonic clock.

    One of a release before 0.5 tells wall times alone: `told_wall`, its file's time, and its start are put on
    our clock by how long ago they are now."""
    if "monotonic_told" in told:
        born, at = (timedelta(seconds=float(told[key])) for key in ("monotonic_born", "monotonic_told"))
    else:
        born = monotonic - (wall - timedelta(seconds=float(told["born"])))
        at = monotonic - (wall - told_wall)
    return Peer(int(told["pid"]), born, int(told["open"]), at)


class Handover:
    """Tells of this process, reads of the others, and acts on the verdict."""

    def __init__(self, folder: Path, open_now: Callable[[], int], give_way: Callable[[], None]) -> None:
        self.folder, self.open_now, self.give_way = folder, open_now, give_way
        self.pid, self.born, self.born_wall = os.getpid(), monotonic(), wall()
        self.path = folder / f"{PREFIX}{self.pid}.json"
        self.verdict = Verdict(False, False)
        self.given_way = False

    @property
    def waiting(self) -> bool:
        """Tell whether an older process still has requests open and this one is to wait."""
        self.look()
        return self.verdict.waiting

    async def run(self) -> None:
        """Tell and look until cancelled; the file goes with the process's end."""
        try:
            while True:
                self.tell()
                self.look()
                await asyncio.sleep(EVERY.total_seconds())
        finally:
            with suppress(OSError):
                self.path.unlink()

    def tell(self) -> None:
        """Write what this process is, by renaming a whole file over the last one."""
        told = {
            "pid": self.pid,
            "born": self.born_wall.total_seconds(),
            "open": self.open_now(),
            "monotonic_born": self.born.total_seconds(),
            "monotonic_told": monotonic().total_seconds(),
        }
        new = self.path.with_suffix(".new")
        try:
            new.write_bytes(orjson.dumps(told))
            new.replace(self.path)
        except OSError as error:
            log.write_event_limited("handover_unwritten", error=str(error))

    def peers(self) -> list[Peer]:
        """Read what the others told; a file that cannot be read counts as none."""
        found = []
        with suppress(OSError):
            for path in self.folder.glob(f"{PREFIX}*.json"):
                with suppress(OSError, ValueError, KeyError, TypeError):
                    told = orjson.loads(path.read_bytes())
                    written = timedelta(seconds=path.stat().st_mtime)
                    found.append(read_peer(told, written, wall(), monotonic()))
        return found

    def look(self) -> None:
        """Judge anew, and give way once a newer process is there."""
        self.verdict = judge(self.pid, self.born, self.peers(), monotonic())
        if self.verdict.superseded and not self.given_way:
            self.given_way = True
            log.write_event("giving_way")
            self.give_way()
