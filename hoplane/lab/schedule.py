"""Faults and when they come: written by hand or drawn from a seed. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

LINK = {
    "request_ms": (0, 0),
    "reply_ms": (0, 0),
    "drop_requests": 0.0,
    "drop_replies": 0.0,
    "duplicate": 0.0,
    "cut": False,
}
HEALED: dict[str, object] = dict(LINK)


@dataclass(slots=True, frozen=True)
class Fault:
    """Something that begins at a time (seconds from the start) and is healed `length` later.

    `kind`: `link` (faults of one conductor's link to the engine), `act` (of its link to the resources),
    `stop` (SIGSTOP, SIGCONT), `kill` (SIGKILL, then a new start), `engine` (faults of the engine
    itself)."""

    at: float
    length: float
    kind: str
    who: int = 0
    what: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Schedule:
    """A drill: so many conductors for so long, with these faults; clocks run at `rates`."""

    name: str
    conductors: int
    length: float
    faults: tuple[Fault, ...]
    rates: tuple[float, ...] = ()
    fenced: bool = True  # the resources compare tokens; without, they only write down what was done

    def rate(self, who: int) -> float:
        return self.rates[who] if who < len(self.rates) else 1.0


def link_fault(rng: random.Random, ttl: float) -> dict:
    """Draw a fault of a link: cut, slow near the time to live, one way, or unreliable."""
    slow = [round(rng.uniform(0.1, 0.5) * ttl * 1000), round(rng.uniform(0.5, 1.2) * ttl * 1000)]
    return rng.choice(
        (
            {"cut": True},
            {"reply_ms": slow},
            {"request_ms": slow},
            {"drop_replies": 1.0},
            {"drop_requests": 1.0},
            {"drop_requests": 0.4, "drop_replies": 0.4},
            {"duplicate": 1.0, "request_ms": [0, slow[1]]},
        )
    )


def draw(seed: int, conductors: int, ttl: float, drift: float, fenced: bool = True) -> Schedule:
    """Draw a schedule: three to six faults that may overlap, within five to eight times to live.

    Without fencing, nothing is drawn that only a token can help against: acts late on their way, holders
    that are stopped, an engine that loses leases."""
    rng = random.Random(seed)
    length, faults = rng.uniform(5, 8) * ttl, []
    kinds = ["link", "link", "engine", "kill"] + (["stop", "stop", "act", "engine"] if fenced else [])
    for _ in range(rng.randint(3, 6)):
        kind, who, at = rng.choice(kinds), rng.randrange(conductors), rng.uniform(1.0, max(1.5, length - ttl))
        span = rng.uniform(0.3, 2.0) * ttl
        what = link_fault(rng, ttl) if kind in ("link", "act") else {}
        if kind == "engine":
            restart = rng.choice(("keep", "lose_leases") if fenced else ("keep",))
            delay = round(ttl * rng.uniform(100, 900))
            what = rng.choice(({"pause_s": span}, {"delay_ms": delay}, {"restart": restart}))
        if kind != "engine" and rng.random() < 0.6:
            kind, what = "holder", {"kind": kind, "what": what}
        faults.append(Fault(round(at, 3), round(span, 3), kind, who, what))
    rates = tuple(rng.choice((1 - drift, 1.0, 1 + drift)) for _ in range(conductors))
    faults.sort(key=lambda fault: fault.at)
    return Schedule(f"seed {seed}", conductors, length, tuple(faults), rates, fenced)
