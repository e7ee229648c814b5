"""Draws a soak from a seed: the fleet, its settings, and faults that overlap in time. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

PLAY = 7.0  # seconds of load, after all conductors have started
# SIGKILL follows SIGTERM after the longest deadline, at most `LONGEST`, and `KILL_EXTRA`.
KILL_EXTRA, LONGEST = 0.7, 3.0
CUT_SHARE = 0.4  # of the endpoints may be cut off at once: a release has to have somewhere to go
HOLD = 0.15  # seconds that a conductor may be held up between its clock and its writes

# Faults of system calls that a conductor's own machine may show for a while, with the share of calls met.
CALL_FAULTS = (
    {"call": "accept", "errno": "ENFILE", "share": 0.8},
    {"call": "accept", "errno": "ECONNABORTED", "share": 0.5},
    {"call": "accept", "errno": "ENOBUFS", "share": 0.8},
    {"call": "socket", "errno": "ENFILE", "share": 0.7},
    {"call": "socket", "errno": "ENOBUFS", "share": 0.7},
    {"call": "connect", "errno": "EADDRNOTAVAIL", "share": 0.6},
    {"call": "connect", "errno": "ENETUNREACH", "share": 0.6},
    {"call": "send", "share": 0.5, "short": 40},
    {"call": "recv", "share": 0.5, "short": 7},
    {"call": "recv", "errno": "ETIMEDOUT", "share": 0.01},
    {"call": "send", "errno": "EHOSTUNREACH", "share": 0.01},
    {"call": "poll", "share": 0.02, "hold_s": HOLD},
    {"call": "write", "errno": "ENOSPC", "share": 0.7},
    {"call": "write", "errno": "EIO", "share": 0.7},
    {"call": "open", "errno": "EIO", "share": 0.5, "path": ".json"},
    {"call": "clock", "step_s": 3600.0},
    {"call": "clock", "step_s": -3600.0},
    {"call": "clock", "step_s": 5.0},
    {"call": "clock", "step_s": -5.0},
)


@dataclass(slots=True, frozen=True)
class Event:
    """Something that begins at a time (seconds of play) and lasts; `target` is an endpoint or a conductor.

    Kinds: `cut`, `reset`, `errors`, `spoilt` (an endpoint's path or answers), `drain`, `silent` (discovery),
    `hup`, `term`, `kill`, `pause` (a conductor's signals; `term` is followed by the earliest SIGKILL, and
    both by a new process), `crowd` (idle clients at a conductor)."""

    at: float
    length: float
    kind: str
    target: int = 0


@dataclass(slots=True, frozen=True)
class Plan:
    """One soak."""

    seed: int
    conductors: int
    readers: int
    writers: int
    deadline: float  # of the longest class, in seconds
    clients: int  # of each conductor
    events: tuple[Event, ...]
    call_faults: dict[int, list[dict]] = field(default_factory=dict)  # by conductor

    @property
    def kill_after(self) -> float:
        """Give the earliest SIGKILL after SIGTERM, in seconds."""
        return min(self.deadline, LONGEST) + KILL_EXTRA


def overlapping_cuts(rng: random.Random, endpoints: int) -> list[Event]:
    """Draw cuts of endpoints' paths, of which at most a part of the fleet is cut off at once."""
    targets = rng.sample(range(endpoints), max(1, int(CUT_SHARE * endpoints)))
    return [Event(rng.uniform(0, PLAY - 2), rng.uniform(0.4, 2.5), "cut", each) for each in targets]


def signals(rng: random.Random, conductors: int) -> list[Event]:
    """Draw signals: series of SIGHUP, ends with a restart, kills, and pauses, several at one conductor."""
    events = []
    for who in rng.sample(range(conductors), max(2, conductors // 3)):
        at = rng.uniform(0.5, PLAY - 2.5)
        events.append(Event(at, 0, "term", who))
        if rng.random() < 0.5:
            events += [Event(at + rng.uniform(-0.3, 1.0), 0, "hup", who) for _ in range(rng.randint(1, 4))]
        if rng.random() < 0.2:
            events.append(Event(at + rng.uniform(0, 0.5), 0, "second_term", who))
    for who in rng.sample(range(conductors), max(1, conductors // 5)):
        events += [Event(rng.uniform(0, PLAY - 1), 0, "hup", who) for _ in range(rng.randint(1, 3))]
        events.append(Event(rng.uniform(0, PLAY - 1), rng.uniform(0.05, HOLD), "pause", who))
    events.append(Event(rng.uniform(1, PLAY - 2), 0, "kill", rng.randrange(conductors)))
    return events


def call_faults(rng: random.Random, conductors: int) -> dict[int, list[dict]]:
    """Draw faults of system calls for half of the conductors, each in a span of its life."""
    found: dict[int, list[dict]] = {}
    for who in rng.sample(range(conductors), conductors // 2):
        for fault in rng.sample(CALL_FAULTS, rng.randint(1, 4)):
            begin = rng.uniform(1.0, PLAY)
            found.setdefault(who, []).append({**fault, "begin": begin, "end": begin + rng.uniform(0.3, 1.5)})
    return found


def draw(seed: int, conductors: int | None = None) -> Plan:
    """Draw a soak."""
    rng = random.Random(seed)
    size = conductors or rng.choice((10, 12, 14, 16, 20))
    readers, writers = rng.randint(3, 6), rng.randint(3, 6)
    endpoints = readers + writers
    events = overlapping_cuts(rng, endpoints) + signals(rng, size)
    for kind, most in (("reset", 3), ("errors", 2), ("spoilt", 2), ("drain", 2)):
        for _ in range(rng.randint(0, most)):
            at, length, target = rng.uniform(0, PLAY - 1), rng.uniform(0.3, 2), rng.randrange(endpoints)
            events.append(Event(at, length, kind, target))
    if rng.random() < 0.6:
        events.append(Event(rng.uniform(0, PLAY - 3), rng.uniform(0.5, 3), "silent"))
    if rng.random() < 0.3:
        events.append(Event(rng.uniform(0, PLAY - 3), 2.0, "crowd", rng.randrange(size)))
    ordered = tuple(sorted(events, key=lambda each: (each.at, each.kind, each.target)))
    return Plan(
        seed, size, readers, writers, rng.choice((0.4, 0.8, 1.5, 4.0)), 2, ordered, call_faults(rng, size)
    )
