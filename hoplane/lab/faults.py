"""Injects faults into the system calls of this process by a seeded plan: errors, short transfers and delays.

A process loads this module at its start (`python -m hoplane.lab faulty PLAN`, or `install` from a test);
other processes are not affected. Calls are wrapped where Python makes them, so a fault surfaces as the system
would report it: an `OSError` with its errno. EINTR never reaches Python code because the interpreter retries
the call (PEP 475).

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
RETRIED_BY_INTERPRETER = errno.EINTR  # PEP 475: the interpreter retries the call, so no error is raised
UNBOUNDED = float("inf")


class PlanError(ValueError):
    """An invalid fault plan; the message starts with the key at fault."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One kind of fault of one system call, active for a period of the process's lifetime.

    `share`: the probability that a call is affected, 0 to 1. `begin`, `end`: seconds since the start.
    `errno`: the name of the error that the call fails with. `hold_s`: an additional delay of the call in
    seconds. `short`: the maximum number of bytes that a send or recv transfers. `step_s`: the offset of the
    wall clock while the fault is active (`clock` only). `port`: only connections to this port. `descriptor`:
    only writes to this descriptor. `path`: only files whose path contains this."""

    call: str
    errno: str | None = None
    share: float = 1.0
    begin: float = 0.0
    end: float = UNBOUNDED
    hold_s: float = 0.0
    short: int = 0
    step_s: float = 0.0
    port: int | None = None
    descriptor: int | None = None
    path: str | None = None

    @property
    def error_number(self) -> int | None:
        """Return the errno as a number."""
        return None if self.errno is None else getattr(errno, self.errno)


@dataclass(slots=True, frozen=True)
class Plan:
    """The faults to inject, and the seed that decides which calls are affected."""

    seed: int = 0
    faults: tuple[Fault, ...] = field(default=())


def check_number(key: str, value: object, minimum: float = 0.0) -> None:
    """Raise a PlanError unless the value is a number of at least `minimum`."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= minimum:
        raise PlanError(f"{key}: must be a number of at least {minimum:g}")


def parse_fault(index: int, raw: object) -> Fault:
    """Parse and validate one fault of a plan."""
    key = f"faults[{index}]"
    if not isinstance(raw, dict):
        raise PlanError(f"{key}: must be an object")
    known = {item.name for item in fields(Fault)}
    if unknown := sorted(set(raw) - known):
        raise PlanError(f"{key}.{unknown[0]}: is not known; known are {', '.join(sorted(known))}")
    if raw.get("call") not in CALLS:
        raise PlanError(f"{key}.call: must be one of {', '.join(CALLS)}")
    error_name = raw.get("errno")
    if error_name is not None and (
        not isinstance(error_name, str) or error_name not in errno.errorcode.values()
    ):
        raise PlanError(f"{key}.errno: {error_name!r} is no errno of this system")
    for name in ("share", "begin", "end", "hold_s", "short", "port", "descriptor"):
        if raw.get(name) is not None:
            check_number(f"{key}.{name}", raw[name])
    if not isinstance(raw.get("path", ""), str):
        raise PlanError(f"{key}.path: must be text")
    if "step_s" in raw:
        check_number(f"{key}.step_s", raw["step_s"], float("-inf"))
    return Fault(**raw)


def parse_plan(raw: object) -> Plan:
    """Parse and validate a plan; a PlanError names the key at fault."""
    if not isinstance(raw, dict):
        raise PlanError("plan: must be an object")
    if unknown := sorted(set(raw) - {"seed", "faults"}):
        raise PlanError(f"{unknown[0]}: is not known; known are faults, seed")
    seed, faults = raw.get("seed", 0), raw.get("faults", [])
    if isinstance(seed, bool) or not isinstance(seed, int):
        raise PlanError("seed: must be a whole number")
    if not isinstance(faults, list):
        raise PlanError("faults: must be a list")
    return Plan(seed, tuple(parse_fault(index, item) for index, item in enumerate(faults)))


def load_plan(file: Path) -> Plan:
    """Load a plan from a file; raise PlanError if it can't be read or is invalid."""
    try:
        return parse_plan(orjson.loads(file.read_bytes()))
    except OSError as error:
        raise PlanError(f"plan: cannot be read: {error}") from None
    except orjson.JSONDecodeError as error:
        raise PlanError(f"plan: is not JSON: {error}") from None


class Injector:
    """Decides at each call which faults of the plan to inject, and counts the injected ones."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.started_at = plan, time.monotonic()
        self.random = random.Random(plan.seed)
        self.counts: Counter[str] = Counter()
        self.faults_by_call = {call: [fault for fault in plan.faults if fault.call == call] for call in CALLS}

    def active_faults(self, call: str) -> list[Fault]:
        """Return the faults of a call that are active now."""
        if not self.faults_by_call[call]:
            return []
        age = time.monotonic() - self.started_at
        return [fault for fault in self.faults_by_call[call] if fault.begin <= age < fault.end]

    def inject(
        self, call: str, port: int | None = None, descriptor: int | None = None, path: object = ""
    ) -> int:
        """Raise or sleep as planned; return the maximum number of bytes to transfer, 0 for no limit."""
        max_bytes = 0
        for fault in self.active_faults(call):
            if fault.port not in (None, port) or fault.descriptor not in (None, descriptor):
                continue
            if fault.path is not None and fault.path not in str(path):
                continue
            if self.random.random() >= fault.share:
                continue
            self.counts[f"{call} {fault.errno or 'held'}"] += 1
            if fault.hold_s:
                time.sleep(fault.hold_s)
            if fault.error_number is not None and fault.error_number != RETRIED_BY_INTERPRETER:
                raise OSError(fault.error_number, os.strerror(fault.error_number))
            max_bytes = fault.short or max_bytes
        return max_bytes

    def clock_offset(self) -> float:
        """Return the current offset of the wall clock in seconds."""
        return sum(fault.step_s for fault in self.active_faults("clock"))


def make_socket_class(injector: Injector) -> type[socket.socket]:
    """Create a socket class that injects the plan's faults into its calls."""

    class FaultySocket(socket.socket):
        def __init__(self, family=-1, type=-1, proto=-1, fileno=None) -> None:
            if fileno is None:
                injector.inject("socket")
            super().__init__(family, type, proto, fileno)

        def accept(self):
            injector.inject("accept")
            return super().accept()

        def connect(self, address):
            injector.inject("connect", port=address[1])
            return super().connect(address)

        def send(self, data, *flags):
            max_bytes = injector.inject("send", port=self.peer_port)
            return super().send(data[:max_bytes] if max_bytes else data, *flags)

        def recv(self, size, *flags):
            if not flags:  # MSG_PEEK consumes nothing
                size = injector.inject("recv", port=self.peer_port) or size
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


def wrap_call(function: Callable, inject: Callable[..., object]) -> Callable:
    """Wrap a function so that faults are injected before each call."""

    def wrapper(*arguments, **keywords):
        inject(*arguments)
        return function(*arguments, **keywords)

    return wrapper


def install(plan: Plan | dict) -> Injector:
    """Wrap the system calls of this process; a plan given as a dict is validated first."""
    injector = Injector(plan if isinstance(plan, Plan) else parse_plan(plan))
    real_time, real_select = time.time, selectors.DefaultSelector.select
    socket.socket = make_socket_class(injector)

    def select(self, timeout=None):
        injector.inject("poll")
        return real_select(self, timeout)

    selectors.DefaultSelector.select = select
    time.time = lambda: real_time() + injector.clock_offset()
    os.write = wrap_call(os.write, lambda descriptor, *_: injector.inject("write", descriptor=descriptor))
    os.fsync = wrap_call(os.fsync, lambda *_: injector.inject("fsync"))
    os.rename = wrap_call(os.rename, lambda *_: injector.inject("rename"))
    os.replace = wrap_call(os.replace, lambda *_: injector.inject("rename"))
    io.open = builtins.open = wrap_call(io.open, lambda path, *_: injector.inject("open", path=path))
    os.open = wrap_call(os.open, lambda path, *_: injector.inject("open", path=path))
    return injector
