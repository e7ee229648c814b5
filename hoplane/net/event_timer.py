"""When a stream must have its next event, as clients give up some seconds after the last one. No I/O."""

from __future__ import annotations

from datetime import timedelta

EVENT_TIMEOUT = timedelta(seconds=4.8)  # without an event: clients give up after 5 s
# For an event that is still being written at that time: between its bytes, and from the event before it.
PARTIAL_EVENT_TIMEOUT, MAX_EVENT_DURATION = timedelta(seconds=1), timedelta(seconds=30)
PAUSE_FACTOR = 2  # a server that has paused within an event may pause so much longer


class EventTimer:
    """The time until which a stream's next event is waited for, on the event loop's clock in seconds.

    An event extends it, and so does what can only belong to the next event or to a whole stream's end.
    """

    def __init__(self, now: float) -> None:
        self.last_event_at = self.last_progress_at = now
        self.longest_pause = 0.0  # between two pieces of one event

    def note_event(self, now: float) -> None:
        """Record a complete event."""
        self.last_event_at = self.last_progress_at = now

    def note_progress(self, at: float) -> None:
        """Record when a part of the next event, or of the framing before it, came."""
        if at <= self.last_progress_at:
            return
        if self.last_progress_at > self.last_event_at:
            self.longest_pause = max(self.longest_pause, at - self.last_progress_at)
        self.last_progress_at = at

    @property
    def deadline(self) -> float:
        """When the stream is given up."""
        pause = max(PARTIAL_EVENT_TIMEOUT.total_seconds(), PAUSE_FACTOR * self.longest_pause)
        slow_event = min(
            self.last_progress_at + min(pause, EVENT_TIMEOUT.total_seconds()),
            self.last_event_at + MAX_EVENT_DURATION.total_seconds(),
        )
        return max(self.last_event_at + EVENT_TIMEOUT.total_seconds(), slow_event)
