"""The conductor's clock: it starts at the wall-clock time and continues monotonically."""

from __future__ import annotations

import time
from datetime import timedelta


class Clock:
    """A clock that is not affected by wall-clock steps.

    Its times count from the Unix epoch, so they can be compared with `since_ms`.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> timedelta:
        """Return the time since the epoch, as if the wall clock had not been set since the start."""
        return timedelta(seconds=self.offset + time.monotonic())

    def loop_time(self, moment: timedelta) -> float:
        """Convert a time to the event loop's time, which is the monotonic clock."""
        return moment.total_seconds() - self.offset
