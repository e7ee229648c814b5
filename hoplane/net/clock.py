"""The conductor's clock: it starts at the wall's time and runs on monotonically."""

from __future__ import annotations

import time
from datetime import timedelta


class Clock:
    """Guards against wall-clock steps: timers run monotonically, yet `since_ms` compares with them."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> timedelta:
        """Give the time since the epoch, as if the wall clock was never set since the start."""
        return timedelta(seconds=self.offset + time.monotonic())

    def loop_time(self, moment: timedelta) -> float:
        """Give a moment as the event loop counts time, which is the monotonic clock."""
        return moment.total_seconds() - self.offset
