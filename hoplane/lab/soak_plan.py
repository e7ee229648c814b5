"""Draws a soak test from a seed: the fleet, its settings, and faults that overlap in time. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .answer_generator import Defect

LOAD_DURATION = 7.0  # seconds, after all conductors have started
# Seconds from SIGTERM to SIGKILL: the longest deadline, capped at `MAX_KILL_WAIT`, plus `KILL_MARGIN`.
KILL_MARGIN, MAX_KILL_WAIT = 0.7, 3.0
MAX_PARTITIONED_SHARE = 0.4  # of the endpoints at the same time; releases need reachable endpoints
CROWD_VARIANTS = ("short fields", "long fields", "half a body", "small chunks", "trailers", "noise")
FLOOD_VARIANTS = ("small", "unsound", "new names", "long waits", "no text")
ANSWER_VARIANTS = (Defect.ENDLESS_ZEROS.name, Defect.CHUNK_OVER_LIMIT.name, Defect.NONE.name)
MAX_PROCESS_DELAY = 0.15  # seconds that may pass between a conductor's clock reading and its writes

# Temporary system call faults of a conductor's own machine; `share` is the probability for each call.
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
    {"call": "poll", "share": 0.02, "hold_s": MAX_PROCESS_DELAY},
    {"call": "write", "errno": "ENOSPC", "share": 0.7},
    {"call": "write", "errno": "EIO", "share": 0.7},
    {"call": "open", "errno": "EIO", "share": 0.5, "path": ".json"},
    {"call": "clock", "step_s": 3600.0},
    {"call": "clock", "step_s": -3600.0},
    {"call": "clock", "step_s": 5.0},
    {"call": "clock", "step_s": -5.0},
)


@dataclass(slots=True, frozen=True)
class FaultEvent:
    """A fault or signal at `start` (seconds of load) for `duration`; `target` is an endpoint or a conductor.

    Kinds for an endpoint: `cut` (partition), `reset` (of its connections), `errors`, `spoilt` (malformed
    responses), `drain`. For discovery: `silent` (no responses). For a conductor: `hup`, `term`,
    `second_term`, `kill` and `pause` (signals; `term` is followed by the earliest permitted SIGKILL, `term`
    and `kill` by a restart), `crowd` (idle clients), `stopped_crowd` and `flood` (`soak_peers.py`, where
    `variant` names what they send). With `SoakPlan.peers` endpoints also `slow_write`, `slow_read`,
    `end_early` (a last chunk before the final event), `endless` (comments in place of events) and `generated`
    (answers of `answer_generator.py`; `variant` names their defect, else each answer's is drawn)."""

    start: float
    duration: float
    kind: str
    target: int = 0
    variant: str = ""


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """The parameters and fault events of one soak test."""

    seed: int
    conductors: int
    readers: int
    writers: int
    deadline: float  # the longest of all classes, in seconds
    clients_per_conductor: int
    events: tuple[FaultEvent, ...]
    call_faults: dict[int, list[dict]] = field(default_factory=dict)  # by conductor
    cancel: bool = True  # the setting `allowed.cancel`: conductors may cancel attempts
    peers: bool = False  # some peers send, or take, without a bound

    @property
    def kill_after(self) -> float:
        """Return the shortest time from SIGTERM to SIGKILL, in seconds."""
        return min(self.deadline, MAX_KILL_WAIT) + KILL_MARGIN


def draw_partitions(rng: random.Random, endpoints: int) -> list[FaultEvent]:
    """Draw partitions of endpoints, limited to a share of the fleet; each endpoint has at most one."""
    targets = rng.sample(range(endpoints), max(1, int(MAX_PARTITIONED_SHARE * endpoints)))
    return [
        FaultEvent(rng.uniform(0, LOAD_DURATION - 2), rng.uniform(0.4, 2.5), "cut", endpoint)
        for endpoint in targets
    ]


def draw_signals(rng: random.Random, conductors: int) -> list[FaultEvent]:
    """Draw series of SIGHUP, SIGTERM and SIGKILL with restarts, and pauses, several at one conductor."""
    events = []
    for conductor in rng.sample(range(conductors), max(2, conductors // 3)):
        start = rng.uniform(0.5, LOAD_DURATION - 2.5)
        events.append(FaultEvent(start, 0, "term", conductor))
        if rng.random() < 0.5:
            events += [
                FaultEvent(start + rng.uniform(-0.3, 1.0), 0, "hup", conductor)
                for _ in range(rng.randint(1, 4))
            ]
        if rng.random() < 0.2:
            events.append(FaultEvent(start + rng.uniform(0, 0.5), 0, "second_term", conductor))
    for conductor in rng.sample(range(conductors), max(1, conductors // 5)):
        events += [
            FaultEvent(rng.uniform(0, LOAD_DURATION - 1), 0, "hup", conductor)
            for _ in range(rng.randint(1, 3))
        ]
        events.append(
            FaultEvent(
                rng.uniform(0, LOAD_DURATION - 1), rng.uniform(0.05, MAX_PROCESS_DELAY), "pause", conductor
            )
        )
    events.append(FaultEvent(rng.uniform(1, LOAD_DURATION - 2), 0, "kill", rng.randrange(conductors)))
    return events


def draw_call_faults(rng: random.Random, conductors: int) -> dict[int, list[dict]]:
    """Draw system call faults for half of the conductors, each for a limited time."""
    faults_by_conductor: dict[int, list[dict]] = {}
    for conductor in rng.sample(range(conductors), conductors // 2):
        for fault in rng.sample(CALL_FAULTS, rng.randint(1, 4)):
            begin = rng.uniform(1.0, LOAD_DURATION)
            faults_by_conductor.setdefault(conductor, []).append(
                {**fault, "begin": begin, "end": begin + rng.uniform(0.3, 1.5)}
            )
    return faults_by_conductor


def draw_peer_faults(rng: random.Random, conductors: int, readers: int, writers: int) -> list[FaultEvent]:
    """Draw crowds and floods at conductors, and endpoints that write or read slowly or end streams badly."""
    events = []
    for kind, variants in (("stopped_crowd", CROWD_VARIANTS), ("flood", FLOOD_VARIANTS)):
        for _ in range(rng.randint(1, 2)):
            start, duration = rng.uniform(0, LOAD_DURATION - 3), rng.uniform(1.5, 3)
            events.append(FaultEvent(start, duration, kind, rng.randrange(conductors), rng.choice(variants)))
    for kind in ("slow_write", "end_early", "endless", "slow_read"):
        start, duration = rng.uniform(0, LOAD_DURATION - 2), rng.uniform(0.5, 2)
        target = rng.randrange(readers) if kind == "slow_read" else readers + rng.randrange(writers)
        events.append(FaultEvent(start, duration, kind, target))
    return events


def draw_answer_faults(rng: random.Random, readers: int, writers: int) -> list[FaultEvent]:
    """Draw writers whose answers are generated: of any kind, with huge chunks, and with one other defect."""
    events = []
    for variant in ("", Defect.HUGE_CHUNK.name, rng.choice(ANSWER_VARIANTS)):
        start, duration = rng.uniform(0, LOAD_DURATION - 3), rng.uniform(2, 3)
        target = readers + rng.randrange(writers)
        events.append(FaultEvent(start, duration, "generated", target, variant))
    return events


def draw_plan(seed: int, conductors: int | None = None, cancel: bool = True, peers: bool = False) -> SoakPlan:
    """Draw the plan of a soak test; `cancel` and `peers` have no influence on the rest of what is drawn."""
    rng = random.Random(seed)
    conductor_count = conductors or rng.choice((10, 12, 14, 16, 20))
    readers, writers = rng.randint(3, 6), rng.randint(3, 6)
    endpoints = readers + writers
    events = draw_partitions(rng, endpoints) + draw_signals(rng, conductor_count)
    for kind, max_count in (("reset", 3), ("errors", 2), ("spoilt", 2), ("drain", 2)):
        for _ in range(rng.randint(0, max_count)):
            start, duration, target = (
                rng.uniform(0, LOAD_DURATION - 1),
                rng.uniform(0.3, 2),
                rng.randrange(endpoints),
            )
            events.append(FaultEvent(start, duration, kind, target))
    if rng.random() < 0.6:
        events.append(FaultEvent(rng.uniform(0, LOAD_DURATION - 3), rng.uniform(0.5, 3), "silent"))
    if rng.random() < 0.3:
        events.append(
            FaultEvent(rng.uniform(0, LOAD_DURATION - 3), 2.0, "crowd", rng.randrange(conductor_count))
        )
    if peers:
        events += draw_peer_faults(random.Random(f"{seed}/peers"), conductor_count, readers, writers)
        events += draw_answer_faults(random.Random(f"{seed}/answers"), readers, writers)
    ordered = tuple(sorted(events, key=lambda event: (event.start, event.kind, event.target)))
    return SoakPlan(
        seed,
        conductor_count,
        readers,
        writers,
        rng.choice((0.4, 0.8, 1.5, 4.0)),
        2,
        ordered,
        draw_call_faults(rng, conductor_count),
        cancel,
        peers,
    )
