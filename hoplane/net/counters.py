"""Counts this conductor's requests, its calls to endpoints and discovery, and their outcomes.

The counts are logged regularly.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from datetime import timedelta

from hoplane import log
from hoplane.net.process_memory import peak_memory_mb

LOG_INTERVAL = timedelta(seconds=10)  # between two log lines; each holds the counts since the start


class Counters(Counter):
    """Events since the start, by name; docs/fleet.md describes each name."""

    def log_fields(self) -> dict[str, object]:
        """Return the counts as fields of a log line, with the processor time and the peak memory used."""
        return {
            **dict(sorted(self.items())),
            "cpu_ms": round(time.process_time() * 1000),
            "peak_mb": peak_memory_mb(),
        }

    async def log_regularly(self) -> None:
        """Log the counts regularly: one conductor's cost is small, only a fleet's sum is significant."""
        while True:
            await asyncio.sleep(LOG_INTERVAL.total_seconds())
            log.write_event("tally", **self.log_fields())
