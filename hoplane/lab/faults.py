"""Makes system calls of this process fail, stop short or take long, by a seeded plan.

A process loads this module at its start (`python -m hoplane.lab faulty PLAN`, or `install` from a test); no
other process is touched. Calls are wrapped where Python makes them, so that a fault shows as the system would
show it: an `OSError` with its errno. EINTR never reaches Python code (PEP 475): there the call is made again.

A plan is JSON: `{"seed": 7, "faults": [{"call": "accept", "errno": "ENFILE", "share": 0.5, "end": 2}]}`.
`docs/lab.md` lists the fields."""

from __future__ import annotations

import builtins
import errno
import io
import os
import random
import selectors
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from pathlib import Path

import orjson

CALLS = ("accept", "socket", "connect", "send", "recv", "poll", "open", "write", "fsync", "rename", "clock")
RETRIED = errno.EINTR  # the interpreter makes such a call again by itself
NEVER = float("inf")


class PlanError(ValueError):
    """What is wrong with a plan, with the key in front."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One kind of fault of one call, in a span of the process's life.

    `share`: the part of calls that it meets, 0 to 1. `begin`, `end`: seconds since the start. `errno`: what
    the call fails with. `hold_s`: how long the call takes in addition. `short`: the most bytes that a send or
    recv takes. `step_s`: how far the wall clock is off while the fault lasts (`clock` alone). `port`: only
    connections to this port. `descriptor`: only writes to this descriptor. `path`: only files whose path has
    this in it."""

    call: str
    errno: str | None = None
    share: float = 1.0
    begin: float = 0.0
    end: float = NEVER
    hold_s: float = 0.0
    short: int = 0
    step_s: float = 0.0
    port: int | None = None
    descriptor: int | None = None
    path: str | None = None

    @property
    def code(self) -> int | None:
        """Give the number of its errno."""
        return None if self.errno is None else getattr(errno, self.errno)


@dataclass(slots=True, frozen=True)
class Plan:
    """A seed and the faults that are drawn with it."""

    seed: int = 0
    faults: tuple[Fault, ...] = field(default=())


def check_number(key: str, value: object, least: float = 0.0) -> None:
    """Raise a PlanError unless a value is a number that is large enough."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= least:
        raise PlanError(f"{key}: must be a number of at least {least:g}")


def read_fault(at: int, told: object) -> Fault:
    """Check one fault of a plan."""
    key = f"faults[{at}]"
    if not isinstance(told, dict):
        raise PlanError(f"{key}: must be an object")
    known = {each.name for each in fields(Fault)}
    if unknown := sorted(set(told) - known):
        raise PlanError(f"{key}.{unknown[0]}: is not known; known are {', '.join(sorted(known))}")
    if told.get("call") not in CALLS:
        raise PlanError(f"{key}.call: must be one of {', '.join(CALLS)}")
    code = told.get("errno")
    if code is not None and (not isinstance(code, str) or code not in errno.errorcode.values()):
        raise PlanError(f"{key}.errno: {code!r} is no errno of this system")
    for name in ("share", "begin", "end", "hold_s", "short", "port", "descriptor"):
        if told.get(name) is not None:
            check_number(f"{key}.{name}", told[name])
    if not isinstance(told.get("path", ""), str):
        raise PlanError(f"{key}.path: must be text")
    if "step_s" in told:
        check_number(f"{key}.step_s", told["step_s"], float("-inf"))
    return Fault(**told)


def read_plan(told: object) -> Plan:
    """Check a plan; a PlanError names the faulty key."""
    if not isinstance(told, dict):
        raise PlanError("plan: must be an object")
    if unknown := sorted(set(told) - {"seed", "faults"}):
        raise PlanError(f"{unknown[0]}: is not known; known are faults, seed")
    seed, faults = told.get("seed", 0), told.get("faults", [])
    if isinstance(seed, bool) or not isinstance(seed, int):
        raise PlanError("seed: must be a whole number")
    if not isinstance(faults, list):
        raise PlanError("faults: must be a list")
    return Plan(seed, tuple(read_fault(at, each) for at, each in enumerate(faults)))


def load_plan(file: Path) -> Plan:
    """Read a plan from a file."""
    try:
        return read_plan(orjson.loads(file.read_bytes()))
    except OSError as error:
        raise PlanError(f"plan: cannot be read: {error}") from None
    except orjson.JSONDecodeError as error:
        raise PlanError(f"plan: is not JSON: {error}") from None


class Injector:
    """Decides at each call whether a fault of the plan meets it, and counts those that did."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.begun = plan, time.monotonic()
        self.random = random.Random(plan.seed)
        self.counts: Counter[str] = Counter()
        self.by_call = {call: [each for each in plan.faults if each.call == call] for call in CALLS}

    def active(self, call: str) -> list[Fault]:
        """Give the faults of a call whose span this is."""
        if not self.by_call[call]:
            return []
        age = time.monotonic() - self.begun
        return [each for each in self.by_call[call] if each.begin <= age < each.end]

    def meet(
        self, call: str, port: int | None = None, descriptor: int | None = None, path: object = ""
    ) -> int:
        """Raise or wait as the plan says; gives the most bytes that the call may take, 0 for all."""
        short = 0
        for fault in self.active(call):
            if fault.port not in (None, port) or fault.descriptor not in (None, descriptor):
                continue
            if fault.path is not None and fault.path not in str(path):
                continue
            if self.random.random() >= fault.share:
                continue
            self.counts[f"{call} {fault.errno or 'held'}"] += 1
            if fault.hold_s:
                time.sleep(fault.hold_s)
            if fault.code is not None and fault.code != RETRIED:
                raise OSError(fault.code, os.strerror(fault.code))
            short = fault.short or short
        return short

    def step(self) -> float:
        """Give how far the wall clock is off now, in seconds."""
        return sum(each.step_s for each in self.active("clock"))


def faulty_socket(injector: Injector) -> type[socket.socket]:
    """Give a class of sockets whose calls meet the plan's faults."""

    class FaultySocket(socket.socket):
        def __init__(self, family=-1, type=-1, proto=-1, fileno=None) -> None:
            if fileno is None:
                injector.meet("socket")
            super().__init__(family, type, proto, fileno)

        def accept(self):
            injector.meet("accept")
            return super().accept()

        def connect(self, address):
            injector.meet("connect", port=address[1])
            return super().connect(address)

        def send(self, data, *flags):
            short = injector.meet("send", port=self.peer_port)
            return super().send(data[:short] if short else data, *flags)

        def recv(self, size, *flags):
            if not flags:  # a look at what is there (MSG_PEEK) is no read
                size = injector.meet("recv", port=self.peer_port) or size
            return super().recv(size, *flags)

        @property
        def peer_port(self) -> int | None:
            if self.family not in (socket.AF_INET, socket.AF_INET6):
                return None
            try:
                return self.getpeername()[1]
            except OSError:
                return None

    return FaultySocket


def patched(real: Callable, meet: Callable[..., object]) -> Callable:
    """Give a function that meets the faults of a call before it makes it."""

    def call(*arguments, **more):
        meet(*arguments)
        return real(*arguments, **more)

    return call


def install(plan: Plan | dict) -> Injector:
    """Wrap the system calls of this process. A plan from JSON is checked first."""
    injector = Injector(plan if isinstance(plan, Plan) else read_plan(plan))
    wall, poll = time.time, selectors.DefaultSelector.select
    socket.socket = faulty_socket(injector)

    def select(self, timeout=None):
        injector.meet("poll")
        return poll(self, timeout)

    selectors.DefaultSelector.select = select
    time.time = lambda: wall() + injector.step()
    os.write = patched(os.write, lambda descriptor, *_: injector.meet("write", descriptor=descriptor))
    os.fsync = patched(os.fsync, lambda *_: injector.meet("fsync"))
    os.rename = patched(os.rename, lambda *_: injector.meet("rename"))
    os.replace = patched(os.replace, lambda *_: injector.meet("rename"))
    io.open = builtins.open = patched(io.open, lambda path, *_: injector.meet("open", path=path))
    os.open = patched(os.open, lambda path, *_: injector.meet("open", path=path))
    return injector
