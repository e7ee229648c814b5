"""Fault schedules: fixed ones, or random ones from a seed. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

DEFAULT_PROXY_FAULTS = {
    "request_ms": (0, 0),
    "reply_ms": (0, 0),
    "drop_requests": 0.0,
    "drop_replies": 0.0,
    "duplicate": 0.0,
    "cut": False,
}
NO_FAULTS: dict[str, object] = dict(DEFAULT_PROXY_FAULTS)


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault that starts `start` seconds into the run and is cleared after `duration` seconds.

    `kind`: `link` (faults of one conductor's proxy to etcd), `act` (of its proxies to the resources), `stop`
    (SIGSTOP, SIGCONT), `kill` (SIGKILL, then a restart), `engine` (faults of etcd itself), `holder` (a fault
    of the kind `settings["kind"]` at the conductor that holds the lease at that time)."""

    start: float
    duration: float
    kind: str
    conductor_index: int = 0
    settings: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Schedule:
    """A scenario: number of conductors, duration in seconds, faults, and the clock rate of each conductor."""

    name: str
    conductor_count: int
    duration: float
    faults: tuple[Fault, ...]
    clock_rates: tuple[float, ...] = ()
    fenced: bool = True  # resources reject stale tokens; otherwise they only record the actions

    def clock_rate(self, conductor_index: int) -> float:
        return self.clock_rates[conductor_index] if conductor_index < len(self.clock_rates) else 1.0


def draw_proxy_fault(rng: random.Random, ttl: float) -> dict:
    """Draw a fault of a proxy: cut, delays of about the TTL, loss in one direction, or partial loss."""
    slow_range_ms = [round(rng.uniform(0.1, 0.5) * ttl * 1000), round(rng.uniform(0.5, 1.2) * ttl * 1000)]
    return rng.choice(
        (
            {"cut": True},
            {"reply_ms": slow_range_ms},
            {"request_ms": slow_range_ms},
            {"drop_replies": 1.0},
            {"drop_requests": 1.0},
            {"drop_requests": 0.4, "drop_replies": 0.4},
            {"duplicate": 1.0, "request_ms": [0, slow_range_ms[1]]},
        )
    )


def draw_schedule(seed: int, conductor_count: int, ttl: float, drift: float, fenced: bool = True) -> Schedule:
    """Draw a schedule of three to six faults that may overlap, over five to eight times the TTL.

    Without fencing, faults that only a fencing token protects against are left out: delayed actions,
    suspended holders, and an etcd that loses its leases."""
    rng = random.Random(seed)
    duration, faults = rng.uniform(5, 8) * ttl, []
    kinds = ["link", "link", "engine", "kill"] + (["stop", "stop", "act", "engine"] if fenced else [])
    for _ in range(rng.randint(3, 6)):
        kind, conductor_index, start = (
            rng.choice(kinds),
            rng.randrange(conductor_count),
            rng.uniform(1.0, max(1.5, duration - ttl)),
        )
        fault_duration = rng.uniform(0.3, 2.0) * ttl
        settings = draw_proxy_fault(rng, ttl) if kind in ("link", "act") else {}
        if kind == "engine":
            restart = rng.choice(("keep", "lose_leases") if fenced else ("keep",))
            delay_ms = round(ttl * rng.uniform(100, 900))
            settings = rng.choice(({"pause_s": fault_duration}, {"delay_ms": delay_ms}, {"restart": restart}))
        if kind != "engine" and rng.random() < 0.6:
            kind, settings = "holder", {"kind": kind, "what": settings}
        faults.append(Fault(round(start, 3), round(fault_duration, 3), kind, conductor_index, settings))
    clock_rates = tuple(rng.choice((1 - drift, 1.0, 1 + drift)) for _ in range(conductor_count))
    faults.sort(key=lambda fault: fault.start)
    return Schedule(f"seed {seed}", conductor_count, duration, tuple(faults), clock_rates, fenced)
