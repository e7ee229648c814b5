"""The one place where configuration is read, checked and given defaults; errors name the key."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from datetime import timedelta
from math import isfinite
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from hoplane.adapter import WireError, read_settings
from hoplane.core.transient_errors import TRANSIENT_READ_FAILURES
from hoplane.decision.interface import Settings

if TYPE_CHECKING:  # a file of ours loads them, the platform's run does not: half of a start is loading
    from hoplane.lease.choice import Terms
    from hoplane.shared.escrow import Budget
    from hoplane.shared.verdicts import Rule

MEGABYTE = 1 << 20
MOST = 10**18  # of any number that is told: 30 years in nanoseconds
BODY_MOST = 256 * 1024  # the protocol's bound on a body
BASE = 52 * MEGABYTE  # what the program takes with no request open, measured at 48


LEASE_KEYS = (
    "engine",
    "key",
    "ttl_s",
    "act_ms",
    "call_ms",
    "every_ms",
    "drift",
    "epoch",
    "clock_rate",
)
SHARED_KEYS = (
    "engine",
    "ttl_s",
    "call_ms",
    "every_ms",
    "drift",
    "clock_rate",
    "most",
    "reserve",
    "cold_sends",
    "window_ms",
    "failures",
    "keep_ms",
)


class ConfigError(Exception):
    """What is wrong, with the key in front."""


class Unreadable(ConfigError):
    """A file could not be read for a reason that passes with time."""


def unread(name: str, error: Exception) -> ConfigError:
    """Give the error for a file that could not be read or understood."""
    transient = isinstance(error, OSError) and error.errno in TRANSIENT_READ_FAILURES
    return (Unreadable if transient else ConfigError)(f"{name}: {error}")


@dataclass(slots=True, frozen=True)
class Limits:
    """What the process may use."""

    memory: int
    sockets: int

    @property
    def spare(self) -> int:
        """Descriptors for all else: discovery, the log, and clients that are turned away."""
        return min(64, self.sockets // 4)

    @property
    def clients(self) -> int:
        """Client connections: at most a third, as a request may need two to endpoints."""
        return self.sockets // 3

    @property
    def turned_away(self) -> int:
        """Client connections over that bound which get their refusal."""
        return self.spare // 2

    @property
    def upstreams(self) -> int:
        """Connections to endpoints, idle ones included."""
        return self.sockets - self.clients - self.spare

    @property
    def bodies(self) -> int:
        """Bytes of request bodies held at once, which count twice for the copies on their way out."""
        return max(8 * BODY_MOST, min(self.memory // 8, (self.memory - BASE) // 4))


@dataclass(slots=True, frozen=True)
class Lease:
    """The lease of the fleet's patrol, see docs/leases.md: where it is kept, and on what terms."""

    engine: tuple[str, ...]  # HOST:PORT of the engine's members
    key: str
    terms: Terms
    call: timedelta  # how long a call to the engine may take
    every: timedelta  # between two rounds of the patrol
    clock_rate: float = 1.0  # for drills: how fast this process's clock runs


@dataclass(slots=True, frozen=True)
class Shared:
    """What the conductors of a fleet share, see docs/shared.md."""

    engine: tuple[str, ...]
    terms: Terms
    call: timedelta
    every: timedelta  # between two rounds at the engine
    cold: Budget  # of sends to each cold endpoint, by all conductors
    rule: Rule
    clock_rate: float = 1.0


@dataclass(slots=True, frozen=True)
class Config:
    """All that a conductor is told."""

    name: str
    listen: tuple[str, int]
    settings: Settings
    seed: int
    limits: Limits
    discovery: tuple[str, int] | None = None
    operator: tuple[str, int] | None = None  # the operator's address, see fronts/operator.py
    known: dict = field(default_factory=dict)
    connect_timeout: timedelta = timedelta(milliseconds=250)
    conn_idle: timedelta = timedelta(seconds=15)
    max_open: int = 20_000
    ledger_most: int = 50_000  # ids that must not run twice, and how long they are remembered
    ledger_keep: timedelta = timedelta(minutes=10)
    lease: Lease | None = None
    shared: Shared | None = None
    files: tuple[Path, ...] = ()  # clusters and endpoints in xDS form, for the v2 front
    inherited: int | None = None  # a listening socket held by the platform, as descriptor `EDGE_SOCKET_FD`
    scratch: Path | None = None  # `$TMPDIR`, which two processes on an inherited socket share
    told: dict = field(default_factory=dict, compare=False, repr=False)  # the file as it was read


RELOADED = ("discovery", "files", "limits", "settings")  # what a reload puts in force; the rest waits
IGNORED = ("seed", "known", "inherited", "scratch", "told")  # new with each start, of no use to a reload


def load(environ: Mapping[str, str], file: Path | None = None, before: Config | None = None) -> Config:
    """Read what the platform tells, or a file of ours for the v2 front; `before` is the one in force.

    A file read anew must hold every key that the one in force holds, but for `seed` and `known`."""
    if file is not None:
        config = from_file(file)
        if before is not None:
            kept(before.told, config.told)
        return config
    try:
        raw = orjson.loads(Path(environ.get("EDGE_CONFIG", "")).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise unread("EDGE_CONFIG", error) from None
    if not isinstance(raw, dict):
        raise ConfigError("EDGE_CONFIG: must be an object")
    if before is not None:
        kept(before.told, raw)
    told, again = dict(raw), before is not None
    names = (
        ("name", "EDGE_NAME"),
        ("listen", "EDGE_LISTEN"),
        ("discovery", "EDGE_DISCOVERY"),
        ("operator", "EDGE_OPERATOR"),
    )
    for key, name in names:
        # Guards against an environment as old as the process, which must not hide a reload's new address.
        if environ.get(name) and not (again and key in RELOADED):
            raw[key] = environ[name]
    scratch = Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None
    inherited = descriptor(environ.get("EDGE_SOCKET_FD"))
    return replace(platform(raw), inherited=inherited, scratch=scratch, told=told)


def descriptor(value: str | None) -> int | None:
    """Give the number of an inherited descriptor, where one is named."""
    if value is None or value == "":
        return None
    if not (value.isascii() and value.isdecimal()) or len(value) > 6:
        raise ConfigError("EDGE_SOCKET_FD: must be the number of a descriptor")
    return int(value)


def platform(raw: dict) -> Config:
    """Check the platform's configuration."""
    told = group(raw, "settings", needed=True)
    limited(told, "settings.")
    allowed = group(told, "allowed", "settings.")
    return Config(
        name=text(raw, "name"),
        listen=address(raw, "listen"),
        discovery=address(raw, "discovery"),
        operator=address(raw, "operator") if raw.get("operator") else None,
        settings=settings(told, "settings."),
        seed=seed(raw.get("seed", 0)),
        limits=limits(group(raw, "limits")),
        known=group(raw, "known"),
        connect_timeout=nanoseconds(allowed, "connect_timeout", 250_000_000, "settings.allowed."),
        conn_idle=nanoseconds(allowed, "conn_idle", 15_000_000_000, "settings.allowed."),
        max_open=whole(allowed, "max_open", 20_000, 1, "settings.allowed."),
    )


def from_file(path: Path) -> Config:
    """Check a file of ours, in TOML; relative paths in it count from its folder."""
    import tomllib

    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise unread(path.name, error) from None
    files = group(raw, "xds", needed=True)
    told = group(raw, "settings", needed=True)
    limited(told, "settings.")
    upstream, ledger = group(raw, "upstream"), group(raw, "ledger")
    return Config(
        name=text(raw, "name"),
        listen=address(raw, "listen"),
        operator=address(raw, "operator") if raw.get("operator") else None,
        settings=settings(told, "settings."),
        seed=seed(raw.get("seed", 0)),
        limits=limits(group(raw, "limits")),
        connect_timeout=milliseconds(upstream, "connect_timeout_ms", 250, "upstream."),
        conn_idle=milliseconds(upstream, "idle_ms", 15_000, "upstream."),
        ledger_most=whole(ledger, "ids", 50_000, 1, "ledger."),
        ledger_keep=timedelta(seconds=whole(ledger, "keep_s", 600, 1, "ledger.")),
        lease=lease(group(raw, "lease")) if "lease" in raw else None,
        shared=shared(group(raw, "shared"), told) if "shared" in raw else None,
        files=tuple(path.parent / text(files, key, "xds.") for key in ("clusters", "endpoints")),
        told=raw,
    )


def lease(raw: dict) -> Lease:
    """Check the lease's part of a file of ours."""
    from hoplane.lease.choice import Terms

    engine = members(raw, LEASE_KEYS, "lease.")
    call = milliseconds(raw, "call_ms", 500, "lease.")
    try:
        terms = Terms(
            ttl=timedelta(seconds=whole(raw, "ttl_s", 5, 1, "lease.")),
            act=milliseconds(raw, "act_ms", 500, "lease."),
            drift=number(raw, "drift", 0.01, "lease."),
            epoch=whole(raw, "epoch", 1, 1, "lease."),
        )
    except ValueError as error:
        raise ConfigError(f"lease.{error}") from None
    if call > terms.renew:
        raise ConfigError("lease.call_ms: must be at most a third of ttl_s, to try a renewal again")
    key = text(raw, "key", "lease.") if "key" in raw else "hoplane/patrol"
    every, rate = milliseconds(raw, "every_ms", 1000, "lease."), number(raw, "clock_rate", 1.0, "lease.")
    if not 0.5 <= rate <= 2:
        raise ConfigError("lease.clock_rate: must be from 0.5 to 2")
    return Lease(engine, key, terms, call, every, rate)


def members(raw: dict, known: tuple[str, ...], where: str) -> tuple[str, ...]:
    """Give the addresses of an engine's members, and check that a part has no unknown keys."""
    if unknown := set(raw) - set(known):
        raise ConfigError(f"{where}{min(unknown)}: is not known")
    engine = raw.get("engine")
    if not isinstance(engine, list) or not engine:
        raise ConfigError(f"{where}engine: must be a list of HOST:PORT, at least one")
    for at in range(len(engine)):
        address({f"{where}engine.{at}": engine[at]}, f"{where}engine.{at}")
    return tuple(engine)


def shared(raw: dict, told: dict) -> Shared:
    """Check the part of a file of ours that tells what the fleet shares."""
    from hoplane.lease.choice import Terms
    from hoplane.shared.escrow import Budget
    from hoplane.shared.verdicts import Rule

    engine = members(raw, SHARED_KEYS, "shared.")
    if isinstance(family := told.get("family_info"), dict) and family.get("ahead"):
        raise ConfigError("shared: cannot go with settings.family_info.ahead, whose places no budget covers")
    window = milliseconds(raw, "window_ms", 1000, "shared.")
    call = milliseconds(raw, "call_ms", 300, "shared.")
    every, ttl = milliseconds(raw, "every_ms", 500, "shared."), whole(raw, "ttl_s", 5, 1, "shared.")
    if "most" not in raw:
        raise ConfigError("shared.most: is missing: the most conductors that ever run at a time")
    try:
        budget = Budget(
            number(raw, "cold_sends", 10.0, "shared."),
            window,
            whole(raw, "most", 1, 1, "shared."),
            number(raw, "reserve", 0.3, "shared."),
        )
        rule = Rule(whole(raw, "failures", 3, 1, "shared."), milliseconds(raw, "keep_ms", 4000, "shared."))
        # A slice's term ends a window before the lease: what `act` is to a task, the window is to a slice.
        terms = Terms(timedelta(seconds=ttl), window, number(raw, "drift", 0.01, "shared."))
    except ValueError as error:
        key, _, what = str(error).partition(":")
        ours = {"act_ms": "window_ms", "bound": "cold_sends", "need": "failures"}
        raise ConfigError(f"shared.{ours.get(key, key)}:{what}") from None
    if 2 * (every + 3 * call) > terms.span - window:
        raise ConfigError("shared.ttl_s: too short, two rounds (every_ms, 3 calls) must fit beside window_ms")
    return Shared(engine, terms, call, every, budget, rule, number(raw, "clock_rate", 1.0, "shared."))


def number(raw: dict, key: str, default: float, where: str) -> float:
    """Give a number."""
    value = raw.get(key, default)
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ConfigError(f"{where}{key}: must be a number")
    return float(value)


def settings(told: dict, where: str) -> Settings:
    """Check the settings, whose names and units are the simulator's."""
    fields = dict(flatten(told))
    for key, value in fields.items():
        # Guards against a span that no clock can count, which would end the program without its key's name.
        with suppress(ValueError):
            if not abs(float(value)) <= MOST:
                raise ConfigError(f"{where}{key}: must be a number of at most {MOST}")
    try:
        return read_settings(fields)
    except (WireError, ValueError) as error:
        raise ConfigError(f"{where}{error}") from None


def limited(told: dict, where: str) -> None:
    """Check that each class's times and the number of attempts are numbers above 0, as the file writes them.

    Guards against a file in which a string or 0 stands for them: the simulator's wire cannot tell them."""
    lanes = told.get("lanes")
    if not isinstance(lanes, list) or not lanes:
        raise ConfigError(f"{where}lanes: " + ("is missing" if lanes is None else "must be a list"))
    for index, lane in enumerate(lanes):
        if not isinstance(lane, dict):
            raise ConfigError(f"{where}lanes.{index}: must be an object")
        if "name" in lane and lane["name"] in [each.get("name") for each in lanes[:index]]:
            raise ConfigError(f"{where}lanes.{index}.name: is another class's too")
        for key in ("target", "hard_limit"):
            above_zero(lane, key, f"{where}lanes.{lane.get('name', index)}.")
    allowed = told.get("allowed")
    if isinstance(allowed, dict) and "attempts_cap" in allowed:
        above_zero(allowed, "attempts_cap", f"{where}allowed.")


def above_zero(raw: dict, key: str, where: str) -> None:
    """Check a number that must be there and above 0."""
    value = raw.get(key)
    if value is None:
        raise ConfigError(f"{where}{key}: is missing")
    if not isinstance(value, int | float) or isinstance(value, bool) or not value > 0:
        raise ConfigError(f"{where}{key}: must be a number above 0")


def kept(old: object, new: object, where: str = "") -> None:
    """Check that a file read anew has every key of the one in force, in all objects below the top.

    Guards against a file cut short or written in part, which would take defaults for what it lacks."""
    if not isinstance(old, dict):
        return
    if not isinstance(new, dict):
        raise ConfigError(f"{where.rstrip('.')}: must be an object")
    for key, value in old.items():
        if where == "" and key in IGNORED:
            continue
        if key not in new:
            raise ConfigError(f"{where}{key}: is missing")
        kept(value, new[key], f"{where}{key}.")


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Give nested settings as the simulator's wire writes them."""
    if isinstance(value, dict):
        for key, each in value.items():
            yield from flatten(each, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and all(isinstance(each, dict) for each in value):
        yield f"{path}.count", str(len(value))
        for index, each in enumerate(value):
            yield from flatten(each, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "1" if value else "0"
    elif value is not None:
        yield path, str(value)


def limits(raw: dict) -> Limits:
    """Check the limits."""
    return Limits(
        memory=whole(raw, "memory_mb", 192, 32, "limits.") * MEGABYTE,
        sockets=whole(raw, "sockets", 1024, 64, "limits."),
    )


def group(raw: dict, key: str, where: str = "", needed: bool = False) -> dict:
    """Give a part that must be an object, empty where it may be left out."""
    value = raw.get(key)
    if value is None and not needed:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"{where}{key}: " + ("is missing" if value is None else "must be an object"))
    return value


def text(raw: dict, key: str, where: str = "") -> str:
    """Give a text that must be there."""
    value = raw.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{where}{key}: " + ("is missing" if value is None else "must be a text"))
    return value


def whole(raw: dict, key: str, default: int, least: int, where: str = "") -> int:
    """Give a whole number with a least value."""
    value = raw.get(key, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not isfinite(value) or value % 1:
        raise ConfigError(f"{where}{key}: must be a whole number")
    if value < least:
        raise ConfigError(f"{where}{key}: must be at least {least}")
    if value > MOST:
        raise ConfigError(f"{where}{key}: must be at most {MOST}")
    return int(value)


def nanoseconds(raw: dict, key: str, default: int, where: str) -> timedelta:
    """Give a span that is written in nanoseconds."""
    return timedelta(microseconds=whole(raw, key, default, 1, where) / 1000)


def milliseconds(raw: dict, key: str, default: int, where: str) -> timedelta:
    """Give a span that is written in milliseconds."""
    return timedelta(milliseconds=whole(raw, key, default, 1, where))


def address(raw: dict, key: str) -> tuple[str, int]:
    """Give a host and port."""
    host, sign, port = text(raw, key).rpartition(":")
    if not sign or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"{key}: must be HOST:PORT")
    return host.strip("[]"), int(port)


def seed(value: object) -> int:
    """Give the seed, which is told in hex."""
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError:
        raise ConfigError("seed: must be a number in hex") from None
