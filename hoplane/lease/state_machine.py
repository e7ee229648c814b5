"""State machine of one candidate for a lease: when to campaign, renew, act and release. No I/O.

`LeaseStateMachine.handle(now, event)` takes the outcome of a call or a timer tick and returns the calls to
make next. Times are `timedelta`s of the candidate's own monotonic clock; clocks of two machines are never
compared."""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

REVISION_BITS = 44  # low bits of a fencing token; the bits above hold the epoch


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Timing parameters of a lease.

    `ttl`: how long etcd keeps the lease after a grant or renewal.
    `action_timeout`: upper bound on the duration of one action under the lease, including its call timeouts.
    `drift`: maximum rate error of any clock of the fleet or of etcd, as a fraction of 1.
    `min_backoff`, `max_backoff`: bounds of the backoff after failures.
    `epoch`: incremented by the operators after etcd lost its data, so that fencing tokens keep increasing.

    Raises ValueError if a value is invalid; the message starts with the setting's key."""

    ttl: timedelta
    action_timeout: timedelta
    drift: float = 0.01
    min_backoff: timedelta = timedelta(milliseconds=50)
    max_backoff: timedelta = timedelta(seconds=2)
    epoch: int = 1

    def __post_init__(self) -> None:
        """Reject timings that leave no room for an action, or for a retry of a failed renewal."""
        if not 0 <= self.drift < 0.2:
            raise ValueError("drift: must be at least 0 and under 0.2")
        if self.action_timeout <= timedelta():
            raise ValueError("act_ms: must be above 0")
        if self.safe_lifetime - self.action_timeout < 2 * self.renew_interval:
            raise ValueError(
                "act_ms: too long; ttl_s must leave time for two renewal intervals and one action"
            )
        if not timedelta() < self.min_backoff <= self.max_backoff:
            raise ValueError("least_ms: must be above 0 and at most most_ms")
        if not 0 < self.epoch < 1 << 18:
            raise ValueError("epoch: must be at least 1 and under 262144")

    @property
    def safe_lifetime(self) -> timedelta:
        """Return how long after sending a call its lease is guaranteed to live, by the holder's clock.

        etcd starts the TTL when it receives the call, which is never before the send. The holder's clock may
        be slow and etcd's fast by up to `drift` each: (1 - drift) / (1 + drift) is over 1 - 2 * drift."""
        return self.ttl * (1 - 2 * self.drift)

    @property
    def renew_interval(self) -> timedelta:
        """Return the time from sending a successful call to sending the next renewal."""
        return self.ttl / 3


# --- events; `sent_at` is the send time of the call that the event answers


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer has fired."""


@dataclass(slots=True, frozen=True)
class Acquired:
    """The candidate owns the key under this lease; the key was created at this revision."""

    sent_at: timedelta
    lease_id: int
    revision: int


@dataclass(slots=True, frozen=True)
class HeldByOther:
    """Another candidate owns the key, last modified at or before this revision."""

    sent_at: timedelta
    lease_id: int
    revision: int
    holder: str


@dataclass(slots=True, frozen=True)
class Renewed:
    """etcd has acknowledged a renewal."""

    sent_at: timedelta
    lease_id: int


@dataclass(slots=True, frozen=True)
class LeaseExpired:
    """etcd no longer knows the lease."""

    sent_at: timedelta
    lease_id: int


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A call failed or timed out; `lease_id` is 0 if no lease was granted."""

    sent_at: timedelta
    lease_id: int


@dataclass(slots=True, frozen=True)
class KeyDeleted:
    """The watch reported the deletion of the key, or was canceled by etcd."""


@dataclass(slots=True, frozen=True)
class Stop:
    """The process is shutting down."""


Event = Tick | Acquired | HeldByOther | Renewed | LeaseExpired | CallFailed | KeyDeleted | Stop


# --- effects


@dataclass(slots=True, frozen=True)
class Campaign:
    """Request a lease and try to create the key under it."""

    sent_at: timedelta


@dataclass(slots=True, frozen=True)
class Renew:
    """Renew the lease."""

    sent_at: timedelta
    lease_id: int


@dataclass(slots=True, frozen=True)
class Revoke:
    """Revoke a lease once no action under it is running. Best effort: correctness does not depend on it."""

    lease_id: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Watch the key for its deletion, starting at a revision. Replaces any earlier watch."""

    revision: int


@dataclass(slots=True, frozen=True)
class TenureStarted:
    """The candidate is the leader, under this fencing token."""

    token: int


@dataclass(slots=True, frozen=True)
class TenureEnded:
    """The candidate is no longer the leader."""

    token: int
    reason: str


Effect = Campaign | Renew | Revoke | Watch | TenureStarted | TenureEnded


class Phase(Enum):
    """State of a candidate."""

    BACKING_OFF = "resting"  # until `next_at`
    CAMPAIGNING = "asking"
    WATCHING = "waiting"  # another candidate leads; campaigns at `next_at` if the watch reports nothing
    HOLDING = "holding"  # renews at `next_at`
    STOPPED = "ended"


class LeaseStateMachine:
    """One conductor's candidacy for one lease.

    At any moment `token_for_action` permits at most one conductor of the fleet to act, as long as clocks stay
    within `drift`, etcd keeps its data and the process keeps running. A process that is suspended between the
    check and the action, or whose action is delayed in the network, is not covered by this: the receiver of
    the action has to reject stale fencing tokens."""

    def __init__(self, terms: LeaseTerms, seed: int) -> None:
        self.terms, self.rng = terms, random.Random(seed)
        self.phase, self.next_at = Phase.BACKING_OFF, timedelta()
        self.sent_at = timedelta()  # send time of the pending call
        self.renewal_pending = False
        self.lease_id = self.revision = 0
        self.valid_until = timedelta()
        self.failures = 0

    @property
    def token(self) -> int:
        """Return the fencing token. It increases with each tenure, because etcd's revisions increase."""
        return self.terms.epoch << REVISION_BITS | self.revision

    def token_for_action(self, now: timedelta) -> int | None:
        """Return the token if an action that starts now ends before the lease can expire, else None."""
        in_time = self.phase is Phase.HOLDING and now + self.terms.action_timeout <= self.valid_until
        return self.token if in_time else None

    def handle(self, now: timedelta, event: Event) -> list[Effect]:
        """Process an event and return the resulting effects in order."""
        effects: list[Effect] = []
        match event:
            case Stop():
                effects += self.end_tenure("stopped")
                self.phase = Phase.STOPPED
            case Acquired() | HeldByOther() | CallFailed() if (
                self.phase is Phase.CAMPAIGNING and event.sent_at == self.sent_at
            ):
                effects += self.handle_campaign(now, event)
            case Acquired() | HeldByOther():  # the campaign was abandoned: release its lease
                effects.append(Revoke(event.lease_id))
            case Renewed() if self.is_current(event):
                self.valid_until = max(self.valid_until, event.sent_at + self.terms.safe_lifetime)
                self.renewal_pending, self.failures, self.next_at = (
                    False,
                    0,
                    event.sent_at + self.terms.renew_interval,
                )
            case CallFailed() if self.is_current(event):
                self.renewal_pending, self.next_at = False, now + self.next_backoff()
            case LeaseExpired() if self.is_current(event):
                effects += self.end_tenure("gone", revoke=False)
                self.back_off(now)
            case KeyDeleted() if self.phase is Phase.WATCHING:
                self.phase, self.next_at = Phase.BACKING_OFF, now + self.rng.random() * self.terms.min_backoff
        return effects + self.apply_deadlines(now)

    def is_current(self, event: Renewed | CallFailed | LeaseExpired) -> bool:
        """Return whether an event answers the pending call of the current tenure."""
        return (
            self.phase is Phase.HOLDING and event.lease_id == self.lease_id and event.sent_at == self.sent_at
        )

    def handle_campaign(self, now: timedelta, event: Acquired | HeldByOther | CallFailed) -> list[Effect]:
        """Process the outcome of the pending campaign."""
        if isinstance(event, CallFailed):
            # The key may nevertheless have been created; in that case, revoking the lease deletes it.
            self.back_off(now)
            return [Revoke(event.lease_id)] if event.lease_id else []
        if isinstance(event, HeldByOther):
            self.phase, self.next_at, self.failures = Phase.WATCHING, now + self.terms.ttl, 0
            return [Revoke(event.lease_id), Watch(event.revision + 1)]
        # The reply arrived too late for an action under this lease.
        if now + self.terms.action_timeout > event.sent_at + self.terms.safe_lifetime:
            self.back_off(now)
            return [Revoke(event.lease_id)]
        self.phase, self.lease_id, self.revision = Phase.HOLDING, event.lease_id, event.revision
        self.valid_until, self.failures, self.renewal_pending = (
            event.sent_at + self.terms.safe_lifetime,
            0,
            False,
        )
        self.next_at = event.sent_at + self.terms.renew_interval
        return [TenureStarted(self.token)]

    def apply_deadlines(self, now: timedelta) -> list[Effect]:
        """Apply the deadlines that have passed: change the phase and return the resulting effects."""
        if self.phase is Phase.HOLDING and now + self.terms.action_timeout > self.valid_until:
            effects = self.end_tenure("not renewed in time")
            self.back_off(now)
            return effects
        if self.phase is Phase.HOLDING and not self.renewal_pending and now >= self.next_at:
            self.renewal_pending, self.sent_at = True, now
            return [Renew(now, self.lease_id)]
        if self.phase in (Phase.BACKING_OFF, Phase.WATCHING) and now >= self.next_at:
            self.phase, self.sent_at = Phase.CAMPAIGNING, now
            return [Campaign(now)]
        return []

    def next_wakeup(self) -> timedelta | None:
        """Return the time of the next tick; None while only a reply is pending, and after the stop."""
        if self.phase is Phase.HOLDING:
            deadline = self.valid_until - self.terms.action_timeout + timedelta(microseconds=1)
            return deadline if self.renewal_pending else min(deadline, self.next_at)
        return self.next_at if self.phase in (Phase.BACKING_OFF, Phase.WATCHING) else None

    def end_tenure(self, reason: str, revoke: bool = True) -> list[Effect]:
        """End the current tenure, if any."""
        if self.phase is not Phase.HOLDING:
            return []
        self.phase = Phase.BACKING_OFF
        return [TenureEnded(self.token, reason), *([Revoke(self.lease_id)] if revoke else [])]

    def back_off(self, now: timedelta) -> None:
        self.phase, self.next_at = Phase.BACKING_OFF, now + self.next_backoff()

    def next_backoff(self) -> timedelta:
        """Count a failure and return an exponential backoff with jitter, from the upper half of the interval.

        The jitter keeps a fleet from reconnecting to a recovered etcd all at once."""
        self.failures += 1
        backoff = self.terms.min_backoff * 2 ** min(self.failures, 20)
        return min(backoff, self.terms.max_backoff) * self.rng.uniform(0.5, 1)
