"""Pacing of one conductor's discovery calls: long-poll wait, timeout and backoff. No I/O.

Where endpoint lists are pushed, an agent on the conductor's own machine answers at once and at no cost, and
what the agent knows counts as known to the conductor. The drain grace then bounds the time between calls,
however many conductors there are.

Where lists are polled, all conductors call one discovery service of fixed capacity. It serves calls in order
of arrival and rejects those that waited too long. A single conductor calls rarely, but many together, and in
step after a mass restart, can overload it: a conductor that gives up and calls again loses its place in the
queue, and its old call is still served for nothing."""

from __future__ import annotations

import random
from datetime import timedelta

from hoplane.core.time_conversion import to_timedelta
from hoplane.decision.interface import Settings

LONG_POLL_WAIT = timedelta(
    seconds=0.5
)  # time that the agent may hold a call open; it costs the agent nothing
NETWORK_MARGIN = timedelta(milliseconds=300)  # for the answer's way
SERVICE_TIME = timedelta(milliseconds=60)  # of a call; one of each conductor may be ahead of ours
MAX_QUEUE_TIME = timedelta(seconds=2)  # a call that has queued for this long is rejected
MAX_CALL_TIMEOUT = timedelta(seconds=3)  # a call unanswered for longer is not in the queue
IMMEDIATE_RETRIERS = 3  # conductors that may retry at once: a watch survives a gap of 200 ms between calls
MAX_STALENESS = timedelta(seconds=6)  # a change counts as known after this, whatever happened to our calls
MAX_BACKOFF = MAX_STALENESS - MAX_QUEUE_TIME  # so that the next call, if queued, is answered by then
NO_WAIT = timedelta(milliseconds=1)  # long-poll wait of a call that only fetches the current list
DEFAULT_DRAIN_GRACE = timedelta(seconds=1)  # if the settings give none
AGENT_TIMEOUT_SHARE, BACKOFF_SHARE = 0.3, 0.1  # of the drain grace: a NO_WAIT call's timeout, and backoff


class Pacing:
    """Gives the timing of one of many conductors' calls, and the backoff after a failed call.

    `settings` gives the kind of discovery, the number of conductors and the drain grace."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng, self.polled = rng, settings.must_subscribe
        self.conductors, self.position = settings.routers, settings.position % settings.routers
        self.consecutive_failures = 0
        grace = to_timedelta(settings.drain_grace) or DEFAULT_DRAIN_GRACE
        self.agent_timeout = AGENT_TIMEOUT_SHARE * grace  # an agent that takes longer is unresponsive
        self.first_answer_timeout = grace if self.polled else self.agent_timeout  # at the start
        if self.polled:
            self.long_poll_wait, self.call_timeout = (
                LONG_POLL_WAIT,
                min(LONG_POLL_WAIT + NETWORK_MARGIN + SERVICE_TIME * settings.routers, MAX_CALL_TIMEOUT),
            )
            # Long enough for all conductors whose calls failed to retry one after the other.
            self.base_backoff = SERVICE_TIME * max(1, settings.routers - IMMEDIATE_RETRIERS)
            self.max_timeout_backoff = MAX_STALENESS - MAX_QUEUE_TIME - self.call_timeout
        else:
            # Changes that discovery has when it recovers count as known at once. A call that was cut off, the
            # backoff and the next call take less than half the grace; the rest is for a blocked event loop
            # and a slow connect.
            self.long_poll_wait, self.call_timeout = (
                min(LONG_POLL_WAIT, grace / 4),
                min(LONG_POLL_WAIT, grace / 4) + self.agent_timeout,
            )
            self.base_backoff = self.max_timeout_backoff = BACKOFF_SHARE * grace

    def next_call(self) -> tuple[timedelta, timedelta]:
        """Return the long-poll wait of the next call, and the timeout for its answer."""
        if self.consecutive_failures and not self.polled:
            return NO_WAIT, self.agent_timeout
        return self.long_poll_wait, self.call_timeout

    def succeeded(self) -> None:
        """Reset the backoff after a call that was answered."""
        self.consecutive_failures = 0

    def failed(self, timed_out: bool, since_success: timedelta = timedelta()) -> timedelta:
        """Return the backoff after a failed call, `since_success` after the last good call began.

        Where discovery is polled, the backoff doubles with each consecutive failure. Conductors that were
        rejected together must not retry together: the first backoff is staggered by position, later ones are
        random. A change counts as known within `MAX_STALENESS` even if a call was refused, rejected or given
        up, so the next call starts within that time as long as some of it is left. A call that timed out was
        never queued: the watch is lost, and all of that time is left but the call's own timeout."""
        limit = self.max_timeout_backoff * 2 / 3 if timed_out else MAX_BACKOFF
        backoff = min(
            self.base_backoff * 2**self.consecutive_failures if self.polled else self.base_backoff, limit
        )
        if not self.polled or timed_out:
            backoff *= self.rng.uniform(0.5, 1.5)
        elif self.consecutive_failures == 0:
            backoff *= (self.position + self.rng.random()) / self.conductors
        else:
            backoff *= self.rng.uniform(0.5, 1)
        self.consecutive_failures = min(self.consecutive_failures + 1, 16)
        time_left = MAX_BACKOFF - since_success
        return (
            min(backoff, time_left * self.rng.uniform(0.5, 1))
            if self.polled and time_left > timedelta()
            else backoff
        )
