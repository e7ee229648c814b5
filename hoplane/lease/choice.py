"""When to ask for a lease, renew it, act under it and let it go. No I/O.

`Holder.take(now, event)` takes what came of a call, or the time, and gives the calls to make next. Times are
`timedelta`s of the holder's own monotonic clock; nothing here compares two machines' clocks."""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

EPOCH_BITS = 44  # of a token are the engine's revision, the rest its epoch


@dataclass(slots=True, frozen=True)
class Terms:
    """What a lease is held by.

    `ttl`: how long the engine keeps it after a grant or renewal. `drift`: the most by which any clock of
    the fleet or the engine runs fast or slow, as a part of 1. `act`: the longest that one act takes, its
    calls' time-outs included. `least` and `most`: bounds of the pauses after failures. `epoch`: raised by
    the operators when the engine has lost its data, so that tokens go on growing. Raises ValueError with
    the key in front."""

    ttl: timedelta
    act: timedelta
    drift: float = 0.01
    least: timedelta = timedelta(milliseconds=50)
    most: timedelta = timedelta(seconds=2)
    epoch: int = 1

    def __post_init__(self) -> None:
        """Refuse terms under which no act, or no second renewal, would ever be in time."""
        if not 0 <= self.drift < 0.2:
            raise ValueError("drift: must be at least 0 and under 0.2")
        if self.act <= timedelta():
            raise ValueError("act_ms: must be above 0")
        if self.span - self.act < 2 * self.renew:
            raise ValueError("act_ms: too long, two renewals must fit into ttl_s before an act outlasts it")
        if not timedelta() < self.least <= self.most:
            raise ValueError("least_ms: must be above 0 and at most most_ms")
        if not 0 < self.epoch < 1 << 18:
            raise ValueError("epoch: must be at least 1 and under 262144")

    @property
    def span(self) -> timedelta:
        """Give how long after a call was sent its lease surely lives, by the holder's clock.

        The engine counts from when the call came, so no earlier. A holder's slow clock and an engine's fast
        one are both off by `drift` at the most: (1 - drift) / (1 + drift) is over 1 - 2 * drift."""
        return self.ttl * (1 - 2 * self.drift)

    @property
    def renew(self) -> timedelta:
        """Give how long after a call that was heard the next one goes out."""
        return self.ttl / 3


# --- what comes in; `sent` is the time given with the call


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True, frozen=True)
class Won:
    """The key is ours, under this lease, created at this revision."""

    sent: timedelta
    lease: int
    revision: int


@dataclass(slots=True, frozen=True)
class Taken:
    """Another holds the key, last changed at this revision."""

    sent: timedelta
    lease: int
    revision: int
    holder: str


@dataclass(slots=True, frozen=True)
class Renewed:
    """The engine has heard a renewal."""

    sent: timedelta
    lease: int


@dataclass(slots=True, frozen=True)
class Gone:
    """The engine does not know the lease any more."""

    sent: timedelta
    lease: int


@dataclass(slots=True, frozen=True)
class Failed:
    """A call failed or was not answered in time; `lease` is 0 where none was granted."""

    sent: timedelta
    lease: int


@dataclass(slots=True, frozen=True)
class Freed:
    """The watch tells that the key is gone, or has broken."""


@dataclass(slots=True, frozen=True)
class Stop:
    """The program ends."""


Event = Tick | Won | Taken | Renewed | Gone | Failed | Freed | Stop


# --- what goes out


@dataclass(slots=True, frozen=True)
class Ask:
    """Have a lease granted and try to take the key with it."""

    sent: timedelta


@dataclass(slots=True, frozen=True)
class Renew:
    """Renew a lease."""

    sent: timedelta
    lease: int


@dataclass(slots=True, frozen=True)
class Revoke:
    """Give a lease back, once no act under it is under way; nothing hangs on whether it is heard."""

    lease: int


@dataclass(slots=True, frozen=True)
class Watch:
    """Watch the key from a revision on until it is gone; an older watch ends."""

    revision: int


@dataclass(slots=True, frozen=True)
class Begin:
    """The task may begin, under this fencing token."""

    token: int


@dataclass(slots=True, frozen=True)
class End:
    """The task must have ended."""

    token: int
    reason: str


Effect = Ask | Renew | Revoke | Watch | Begin | End


class Phase(Enum):
    """What a holder is at."""

    RESTING = "resting"  # until `at`
    ASKING = "asking"
    WAITING = "waiting"  # another holds it; asked again at `at` where the watch is silent
    HOLDING = "holding"  # renewed at `at`
    ENDED = "ended"


class Holder:
    """One conductor's claim on one task.

    At most one holder of a fleet is told that it may act, at any moment, while clocks keep to `drift`, the
    engine keeps its data, and the holder runs. A holder that is stopped between its look and its act, or
    whose act is late on its way, is beyond that: there the token decides, where the act lands."""

    def __init__(self, terms: Terms, seed: int) -> None:
        self.terms, self.rng = terms, random.Random(seed)
        self.phase, self.at = Phase.RESTING, timedelta()
        self.sent = timedelta()  # of the call that is out
        self.calling = False  # a renewal is out
        self.lease = self.revision = 0
        self.until = timedelta()
        self.failures = 0

    @property
    def token(self) -> int:
        """Give the fencing token: it grows with each holder, as the engine's revisions do."""
        return self.terms.epoch << EPOCH_BITS | self.revision

    def may_act(self, now: timedelta) -> int | None:
        """Give the token if an act that begins now is over before the lease can end, else None."""
        held = self.phase is Phase.HOLDING and now + self.terms.act <= self.until
        return self.token if held else None

    def take(self, now: timedelta, event: Event) -> list[Effect]:
        """Take an event in and give the calls that it leads to, in order."""
        effects: list[Effect] = []
        match event:
            case Stop():
                effects += self.drop("stopped")
                self.phase = Phase.ENDED
            case Won() | Taken() | Failed() if self.phase is Phase.ASKING and event.sent == self.sent:
                effects += self.asked(now, event)
            case Won() | Taken():  # given up since: what it got is given back
                effects.append(Revoke(event.lease))
            case Renewed() if self.holds(event):
                self.until = max(self.until, event.sent + self.terms.span)
                self.calling, self.failures, self.at = False, 0, event.sent + self.terms.renew
            case Failed() if self.holds(event):
                self.calling, self.at = False, now + self.pause()
            case Gone() if self.holds(event):
                effects += self.drop("gone", revoke=False)
                self.rest(now)
            case Freed() if self.phase is Phase.WAITING:
                self.phase, self.at = Phase.RESTING, now + self.rng.random() * self.terms.least
        return effects + self.due(now)

    def holds(self, event: Renewed | Failed | Gone) -> bool:
        return self.phase is Phase.HOLDING and event.lease == self.lease and event.sent == self.sent

    def asked(self, now: timedelta, event: Won | Taken | Failed) -> list[Effect]:
        """Take in what came of asking."""
        if isinstance(event, Failed):
            # Whether the key was taken is not known: the lease is given back, which frees it if so.
            self.rest(now)
            return [Revoke(event.lease)] if event.lease else []
        if isinstance(event, Taken):
            self.phase, self.at, self.failures = Phase.WAITING, now + self.terms.ttl, 0
            return [Revoke(event.lease), Watch(event.revision + 1)]
        if now + self.terms.act > event.sent + self.terms.span:  # the answer came too late to act by
            self.rest(now)
            return [Revoke(event.lease)]
        self.phase, self.lease, self.revision = Phase.HOLDING, event.lease, event.revision
        self.until, self.failures, self.calling = event.sent + self.terms.span, 0, False
        self.at = event.sent + self.terms.renew
        return [Begin(self.token)]

    def due(self, now: timedelta) -> list[Effect]:
        """Do what its time has come for."""
        if self.phase is Phase.HOLDING and now + self.terms.act > self.until:
            effects = self.drop("not renewed in time")
            self.rest(now)
            return effects
        if self.phase is Phase.HOLDING and not self.calling and now >= self.at:
            self.calling, self.sent = True, now
            return [Renew(now, self.lease)]
        if self.phase in (Phase.RESTING, Phase.WAITING) and now >= self.at:
            self.phase, self.sent = Phase.ASKING, now
            return [Ask(now)]
        return []

    def wake(self) -> timedelta | None:
        """Give the time at which to tick next; None where an answer or nothing is awaited."""
        if self.phase is Phase.HOLDING:
            over = self.until - self.terms.act + timedelta(microseconds=1)
            return over if self.calling else min(over, self.at)
        return self.at if self.phase in (Phase.RESTING, Phase.WAITING) else None

    def drop(self, reason: str, revoke: bool = True) -> list[Effect]:
        """End the tenure, if there is one."""
        if self.phase is not Phase.HOLDING:
            return []
        self.phase = Phase.RESTING
        return [End(self.token, reason), *([Revoke(self.lease)] if revoke else [])]

    def rest(self, now: timedelta) -> None:
        self.phase, self.at = Phase.RESTING, now + self.pause()

    def pause(self) -> timedelta:
        """Give a pause that grows with failures in a row, at random between a half and all of it.

        Guards against a fleet that comes back to an engine all at once."""
        self.failures += 1
        grown = self.terms.least * 2 ** min(self.failures, 20)
        return min(grown, self.terms.most) * self.rng.uniform(0.5, 1)
