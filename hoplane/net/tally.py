"""Counts what this conductor costs the fleet, and tells it in the log now and then."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from datetime import timedelta

from hoplane import log

EVERY = timedelta(seconds=10)  # between two lines; each holds the counts since the start


class Tally(Counter):
    """What was done since the start, by name; docs/fleet.md tells what each name counts."""

    def line(self) -> dict[str, object]:
        """Give the counts as facts of a log line, with the processor time used."""
        return {**dict(sorted(self.items())), "cpu_ms": round(time.process_time() * 1000)}

    async def tell(self) -> None:
        """Write a line every so often. One conductor's cost is small: only the sum over a fleet shows it."""
        while True:
            await asyncio.sleep(EVERY.total_seconds())
            log.write_event("tally", **self.line())
