"""Pacing of one conductor's discovery calls: long-poll wait, timeout and backoff. No I/O.

There are two kinds of discovery.

With a local agent (`must_subscribe` false), an agent on the conductor's machine receives the endpoint lists
and answers calls at once and at no cost. A change counts as known to the conductor as soon as the agent has
it, so the time between calls must stay well below the drain grace. The number of conductors doesn't matter.

With a central service (`must_subscribe` true, `polled` below), all conductors call one discovery service of
fixed capacity. It serves calls in order of arrival and rejects a call that was queued too long. One conductor
calls rarely, but many can overload it together, most of all when a mass restart has synchronized them. A
conductor that times out and calls again is queued at the end, and the service still spends time on its
abandoned call."""

from __future__ import annotations

import random
from datetime import timedelta

from hoplane.core.time_conversion import to_timedelta
from hoplane.decision.interface import Settings

# Time that discovery may hold a call open until the list changes; an open call costs it nothing.
LONG_POLL_WAIT = timedelta(seconds=0.5)
NETWORK_MARGIN = timedelta(milliseconds=300)  # part of the call timeout for the network
# Time that the central service takes for a call. A call may be queued behind one of each other conductor.
SERVICE_TIME = timedelta(milliseconds=60)
MAX_QUEUE_TIME = timedelta(seconds=2)  # the central service rejects a call that was queued for this long
MAX_CALL_TIMEOUT = timedelta(seconds=3)  # a call that is unanswered for this long is not in the queue
# Number of conductors whose retries the service can answer within the 200 ms for which a watch remains valid
# between calls.
IMMEDIATE_RETRIERS = 3
MAX_STALENESS = timedelta(seconds=6)  # a change counts as known after this, even if all calls have failed
MAX_BACKOFF = MAX_STALENESS - MAX_QUEUE_TIME  # so that the next call, if queued, is answered in time
NO_WAIT = timedelta(milliseconds=1)  # long-poll wait of a call that only fetches the current list
DEFAULT_DRAIN_GRACE = timedelta(seconds=1)  # if the settings give none
# Fractions of the drain grace: timeout of a NO_WAIT call to the local agent, and backoff.
AGENT_TIMEOUT_FRACTION, BACKOFF_FRACTION = 0.3, 0.1


class Pacing:
    """Timing of one conductor's calls, and its backoff after a failed call.

    `settings` gives the kind of discovery, the number of conductors and the drain grace.
    `polled`: the lists are polled from a central service (setting `must_subscribe`), not from a local agent.
    `position`: this conductor's index among all conductors, which staggers their first retries."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng, self.polled = rng, settings.must_subscribe
        self.conductors, self.position = settings.routers, settings.position % settings.routers
        self.consecutive_failures = 0
        grace = to_timedelta(settings.drain_grace) or DEFAULT_DRAIN_GRACE
        self.agent_timeout = AGENT_TIMEOUT_FRACTION * grace  # an agent that takes longer is unresponsive
        # Time that a starting process waits for its first list before it serves requests without one.
        self.first_answer_timeout = grace if self.polled else self.agent_timeout
        if self.polled:
            self.long_poll_wait, self.call_timeout = (
                LONG_POLL_WAIT,
                min(LONG_POLL_WAIT + NETWORK_MARGIN + SERVICE_TIME * settings.routers, MAX_CALL_TIMEOUT),
            )
            # Long enough for all conductors whose calls failed to retry one after the other.
            self.base_backoff = SERVICE_TIME * max(1, settings.routers - IMMEDIATE_RETRIERS)
            self.max_timeout_backoff = MAX_STALENESS - MAX_QUEUE_TIME - self.call_timeout
        else:
            # Changes that the agent has when it recovers count as known at once. A call that was cut off, the
            # backoff and the next call take less than half the drain grace; the rest is for a blocked event
            # loop and a slow connect.
            self.long_poll_wait, self.call_timeout = (
                min(LONG_POLL_WAIT, grace / 4),
                min(LONG_POLL_WAIT, grace / 4) + self.agent_timeout,
            )
            self.base_backoff = self.max_timeout_backoff = BACKOFF_FRACTION * grace

    def next_call(self) -> tuple[timedelta, timedelta]:
        """Return the long-poll wait of the next call, and the timeout for its answer."""
        if self.consecutive_failures and not self.polled:
            return NO_WAIT, self.agent_timeout
        return self.long_poll_wait, self.call_timeout

    def succeeded(self) -> None:
        """Reset the backoff after a call that was answered."""
        self.consecutive_failures = 0

    def failed(self, timed_out: bool, since_success: timedelta = timedelta()) -> timedelta:
        """Return the backoff after a failed call, `since_success` after the last successful call began.

        With a local agent, the backoff is short, and constant except for jitter.
        With a central service, it doubles with each consecutive failure. Conductors that were rejected at the
        same time must not retry at the same time, so the first backoff is staggered by `position`, and later
        ones are random. A change counts as known after `MAX_STALENESS` even if calls were refused, rejected
        or timed out, so the next call starts within `MAX_BACKOFF` of the start of the last successful one,
        unless that time has already passed. A call that timed out was never queued: the watch is lost, and
        the timeout of that call plus the backoff may fill that time."""
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
