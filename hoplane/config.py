"""Reads and validates the configuration and applies defaults; errors name the key at fault."""

from __future__ import annotations

from collections.abc import Mapping
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
from hoplane.raw_settings import (
    NOT_COMPARED_KEYS,
    ConfigError,
    check_known_keys,
    check_no_key_missing,
    check_settings,
    flatten,
    is_number,
)

# Imported on use, because imports take half of the start-up time and a platform's configuration needs none of
# these.
if TYPE_CHECKING:
    from hoplane.lease.state_machine import LeaseTerms
    from hoplane.shared.budget import Budget
    from hoplane.shared.outlier_detection import OutlierRule

MEGABYTE = 1 << 20
MAX_NUMBER = 10**18  # for any setting; 30 years in nanoseconds
MAX_BODY_BYTES = 256 * 1024  # limit of the platform's protocol
BASE_MEMORY = 52 * MEGABYTE  # memory allowance for a process without open requests, which uses 48 MiB

# The sections of a TOML file, and the keys of each that is checked for unknown ones. Others are checked where
# they are parsed, and the settings may hold keys that this program does not use.
FILE_KEYS = (
    "name",
    "listen",
    "operator",
    "seed",
    "limits",
    "upstream",
    "ledger",
    "xds",
    "settings",
    "lease",
    "shared",
)
SECTION_KEYS = {
    "limits": ("memory_mb", "sockets"),
    "upstream": ("connect_timeout_ms", "idle_ms"),
    "ledger": ("ids", "keep_s"),
    "xds": ("clusters", "endpoints"),
}
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


class TransientReadError(ConfigError):
    """A file could not be read because of a transient error; reading it again may succeed."""


def read_error(name: str, error: Exception) -> ConfigError:
    """Return the error for a file that could not be read or parsed."""
    transient = isinstance(error, OSError) and error.errno in TRANSIENT_READ_FAILURES
    return (TransientReadError if transient else ConfigError)(f"{name}: {error}")


@dataclass(slots=True, frozen=True)
class Limits:
    """Resource limits of the process, and how they are divided."""

    memory: int
    sockets: int

    @property
    def spare_descriptors(self) -> int:
        """Descriptors for everything else: discovery, the log and rejected client connections."""
        return min(64, self.sockets // 4)

    @property
    def client_connections(self) -> int:
        """Client connections: at most a third of the descriptors.

        The share is small because a request may need two connections to endpoints."""
        return self.sockets // 3

    @property
    def rejected_connections(self) -> int:
        """Client connections over the limit that are answered with a refusal at the same time."""
        return self.spare_descriptors // 4

    @property
    def endpoint_connections(self) -> int:
        """Connections to endpoints, including idle ones."""
        return self.sockets - self.client_connections - self.spare_descriptors

    @property
    def backlog_bytes(self) -> int:
        """Bytes that clients have sent ahead of the answers to their earlier requests, not parsed yet."""
        return self.memory // 32

    @property
    def body_bytes(self) -> int:
        """Bytes of request bodies in memory; each may be there three times: as read, and being sent twice."""
        return max(8 * MAX_BODY_BYTES, min(self.memory // 16, (self.memory - BASE_MEMORY) // 8))

    @property
    def response_bytes(self) -> int:
        """Bytes of responses that are passed on once they are complete, until they are sent."""
        return self.body_bytes


@dataclass(slots=True, frozen=True)
class Lease:
    """The lease under which one conductor of the fleet health-checks endpoints, see docs/leases.md."""

    etcd_members: tuple[str, ...]  # HOST:PORT of each
    key: str
    terms: LeaseTerms
    call_timeout: timedelta  # of a call to etcd
    interval: timedelta  # between two rounds of health checks
    clock_rate: float = 1.0  # speed of this process's clock, for drills


@dataclass(slots=True, frozen=True)
class Shared:
    """State shared by the conductors of a fleet, see docs/shared.md."""

    etcd_members: tuple[str, ...]
    terms: LeaseTerms
    call_timeout: timedelta
    interval: timedelta  # between two synchronizations with etcd
    cold_budget: Budget  # of sends to each cold endpoint by all conductors together
    outlier_rule: OutlierRule
    clock_rate: float = 1.0


@dataclass(slots=True, frozen=True)
class Config:
    """The complete configuration of a conductor."""

    name: str
    listen: tuple[str, int]
    settings: Settings
    seed: int
    limits: Limits
    discovery: tuple[str, int] | None = None
    operator: tuple[str, int] | None = None  # where the operator interface listens
    known: dict = field(default_factory=dict)  # endpoints to use until discovery responds
    connect_timeout: timedelta = timedelta(milliseconds=250)
    conn_idle: timedelta = timedelta(seconds=15)
    max_open: int = 20_000
    ledger_most: int = 50_000  # maximum number of stored ids of requests that must not run twice
    ledger_keep: timedelta = timedelta(minutes=10)  # how long an id is stored
    lease: Lease | None = None
    shared: Shared | None = None
    files: tuple[Path, ...] = ()  # clusters and endpoints in xDS format, for the KServe v2 front
    inherited: int | None = None  # descriptor `EDGE_SOCKET_FD`: a listening socket owned by the platform
    scratch: Path | None = None  # `$TMPDIR`, shared by the processes on an inherited socket
    raw: dict = field(default_factory=dict, compare=False, repr=False)  # the parsed file

    @property
    def can_hand_over(self) -> bool:
        """Whether another process may serve on the same socket, and share a folder with this one."""
        return self.inherited is not None and self.scratch is not None


RELOADABLE_FIELDS = ("discovery", "files", "limits", "settings")  # others take effect at the next start
# Fields that a reload does not compare: they may differ at each start, and a reload does not use them.
NOT_COMPARED_FIELDS = (*NOT_COMPARED_KEYS, "inherited", "scratch", "raw")


def load(environ: Mapping[str, str], file: Path | None = None, current: Config | None = None) -> Config:
    """Read the platform's configuration, or a TOML file for the KServe v2 front.

    On a reload, `current` is the active configuration. The new file must contain every key of the active one
    except `seed` and `known`."""
    if file is not None:
        config = from_file(file)
        if current is not None:
            check_no_key_missing(current.raw, config.raw)
        return config
    try:
        raw = orjson.loads(Path(environ.get("EDGE_CONFIG", "")).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise read_error("EDGE_CONFIG", error) from None
    if not isinstance(raw, dict):
        raise ConfigError("EDGE_CONFIG: must be an object")
    if current is not None:
        check_no_key_missing(current.raw, raw)
    file_content, is_reload = dict(raw), current is not None
    names = (
        ("name", "EDGE_NAME"),
        ("listen", "EDGE_LISTEN"),
        ("discovery", "EDGE_DISCOVERY"),
        ("operator", "EDGE_OPERATOR"),
    )
    for key, name in names:
        # The environment does not change after the start, so it must not override the file's address on a
        # reload.
        if environ.get(name) and not (is_reload and key in RELOADABLE_FIELDS):
            raw[key] = environ[name]
    scratch = Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None
    inherited = parse_descriptor(environ.get("EDGE_SOCKET_FD"))
    return replace(from_platform(raw), inherited=inherited, scratch=scratch, raw=file_content)


def parse_descriptor(value: str | None) -> int | None:
    """Parse the number of an inherited descriptor, if one is given."""
    if value is None or value == "":
        return None
    if not (value.isascii() and value.isdecimal()) or len(value) > 6:
        raise ConfigError("EDGE_SOCKET_FD: must be a descriptor number")
    return int(value)


def from_platform(raw: dict) -> Config:
    """Validate the platform's configuration."""
    raw_settings = get_section(raw, "settings", required=True)
    check_settings(raw_settings, "settings.")
    allowed = get_section(raw_settings, "allowed", "settings.")
    return Config(
        name=get_text(raw, "name"),
        listen=parse_address(raw, "listen"),
        discovery=parse_address(raw, "discovery"),
        operator=parse_address(raw, "operator") if raw.get("operator") else None,
        settings=parse_settings(raw_settings, "settings."),
        seed=parse_seed(raw.get("seed", 0)),
        limits=parse_limits(get_section(raw, "limits")),
        known=get_section(raw, "known"),
        connect_timeout=get_nanoseconds(allowed, "connect_timeout", 250_000_000, "settings.allowed."),
        conn_idle=get_nanoseconds(allowed, "conn_idle", 15_000_000_000, "settings.allowed."),
        max_open=get_integer(allowed, "max_open", 20_000, 1, "settings.allowed."),
    )


def from_file(path: Path) -> Config:
    """Read and validate a TOML file; relative paths in it are relative to its directory."""
    import tomllib

    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise read_error(path.name, error) from None
    check_known_keys(raw, FILE_KEYS, "")
    files = get_section(raw, "xds", required=True)
    raw_settings = get_section(raw, "settings", required=True)
    check_settings(raw_settings, "settings.")
    upstream, ledger = get_section(raw, "upstream"), get_section(raw, "ledger")
    for name, known in SECTION_KEYS.items():
        check_known_keys(get_section(raw, name), known, f"{name}.")
    return Config(
        name=get_text(raw, "name"),
        listen=parse_address(raw, "listen"),
        operator=parse_address(raw, "operator") if raw.get("operator") else None,
        settings=parse_settings(raw_settings, "settings."),
        seed=parse_seed(raw.get("seed", 0)),
        limits=parse_limits(get_section(raw, "limits")),
        connect_timeout=get_milliseconds(upstream, "connect_timeout_ms", 250, "upstream."),
        conn_idle=get_milliseconds(upstream, "idle_ms", 15_000, "upstream."),
        ledger_most=get_integer(ledger, "ids", 50_000, 1, "ledger."),
        ledger_keep=timedelta(seconds=get_integer(ledger, "keep_s", 600, 1, "ledger.")),
        lease=parse_lease(get_section(raw, "lease")) if "lease" in raw else None,
        shared=parse_shared(get_section(raw, "shared"), raw_settings) if "shared" in raw else None,
        files=tuple(path.parent / get_text(files, key, "xds.") for key in ("clusters", "endpoints")),
        raw=raw,
    )


def parse_lease(raw: dict) -> Lease:
    """Validate the [lease] section."""
    from hoplane.lease.state_machine import LeaseTerms

    etcd_members = parse_members(raw, LEASE_KEYS, "lease.")
    call_timeout = get_milliseconds(raw, "call_ms", 500, "lease.")
    try:
        terms = LeaseTerms(
            ttl=timedelta(seconds=get_integer(raw, "ttl_s", 5, 1, "lease.")),
            action_timeout=get_milliseconds(raw, "act_ms", 500, "lease."),
            drift=get_number(raw, "drift", 0.01, "lease."),
            epoch=get_integer(raw, "epoch", 1, 1, "lease."),
        )
    except ValueError as error:
        raise ConfigError(f"lease.{error}") from None
    if call_timeout > terms.renew_interval:
        raise ConfigError("lease.call_ms: must be at most a third of ttl_s, to leave time to retry a renewal")
    key = get_text(raw, "key", "lease.") if "key" in raw else "hoplane/patrol"
    interval, clock_rate = (
        get_milliseconds(raw, "every_ms", 1000, "lease."),
        get_number(raw, "clock_rate", 1.0, "lease."),
    )
    if not 0.5 <= clock_rate <= 2:
        raise ConfigError("lease.clock_rate: must be from 0.5 to 2")
    return Lease(etcd_members, key, terms, call_timeout, interval, clock_rate)


def parse_members(raw: dict, known: tuple[str, ...], where: str) -> tuple[str, ...]:
    """Return the addresses of the etcd members, after a check that the section has no unknown keys."""
    check_known_keys(raw, known, where)
    members = raw.get("engine")
    if not isinstance(members, list) or not members:
        raise ConfigError(f"{where}engine: must be a non-empty list of HOST:PORT")
    for index in range(len(members)):
        parse_address({f"{where}engine.{index}": members[index]}, f"{where}engine.{index}")
    return tuple(members)


def parse_shared(raw: dict, raw_settings: dict) -> Shared:
    """Validate the [shared] section."""
    from hoplane.lease.state_machine import LeaseTerms
    from hoplane.shared.budget import Budget
    from hoplane.shared.outlier_detection import OutlierRule

    etcd_members = parse_members(raw, SHARED_KEYS, "shared.")
    if isinstance(family := raw_settings.get("family_info"), dict) and family.get("ahead"):
        raise ConfigError(
            "shared: not supported with settings.family_info.ahead, which reserves without a budget"
        )
    window = get_milliseconds(raw, "window_ms", 1000, "shared.")
    call_timeout = get_milliseconds(raw, "call_ms", 300, "shared.")
    interval, ttl = (
        get_milliseconds(raw, "every_ms", 500, "shared."),
        get_integer(raw, "ttl_s", 5, 1, "shared."),
    )
    if "most" not in raw:
        raise ConfigError(
            "shared.most: is missing; set it to the maximum number of conductors that run at once"
        )
    try:
        cold_budget = Budget(
            get_number(raw, "cold_sends", 10.0, "shared."),
            window,
            get_integer(raw, "most", 1, 1, "shared."),
            get_number(raw, "reserve", 0.3, "shared."),
        )
        outlier_rule = OutlierRule(
            get_integer(raw, "failures", 3, 1, "shared."), get_milliseconds(raw, "keep_ms", 4000, "shared.")
        )
        # The window is used as `action_timeout`, because a quota slice expires one window before the lease.
        terms = LeaseTerms(timedelta(seconds=ttl), window, get_number(raw, "drift", 0.01, "shared."))
    except ValueError as error:
        key, _, message = str(error).partition(":")
        setting_keys = {"act_ms": "window_ms", "bound": "cold_sends", "need": "failures"}
        raise ConfigError(f"shared.{setting_keys.get(key, key)}:{message}") from None
    if 2 * (interval + 3 * call_timeout) > terms.safe_lifetime - window:
        raise ConfigError(
            "shared.ttl_s: too short; it must cover window_ms "
            "and two rounds of every_ms plus 3 * call_ms each"
        )
    return Shared(
        etcd_members,
        terms,
        call_timeout,
        interval,
        cold_budget,
        outlier_rule,
        get_number(raw, "clock_rate", 1.0, "shared."),
    )


def get_number(raw: dict, key: str, default: float, where: str) -> float:
    """Return a number, or the default if the key is absent."""
    value = raw.get(key, default)
    if not is_number(value):
        raise ConfigError(f"{where}{key}: must be a number")
    return float(value)


def parse_settings(raw_settings: dict, where: str) -> Settings:
    """Validate the settings, which use the simulator's names and units."""
    fields = dict(flatten(raw_settings))
    for key, value in fields.items():
        # A duration beyond the clock's range would end the program later, without naming the key.
        with suppress(ValueError):
            if not abs(float(value)) <= MAX_NUMBER:
                raise ConfigError(f"{where}{key}: must be a number of at most {MAX_NUMBER}")
    try:
        return read_settings(fields)
    except (WireError, ValueError) as error:
        raise ConfigError(f"{where}{error}") from None


def parse_limits(raw: dict) -> Limits:
    """Validate the [limits] section."""
    return Limits(
        memory=get_integer(raw, "memory_mb", 192, 32, "limits.") * MEGABYTE,
        sockets=get_integer(raw, "sockets", 1024, 64, "limits."),
    )


def get_section(raw: dict, key: str, where: str = "", required: bool = False) -> dict:
    """Return a section, which must be an object; an optional one defaults to an empty object."""
    value = raw.get(key)
    if value is None and not required:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"{where}{key}: " + ("is missing" if value is None else "must be an object"))
    return value


def get_text(raw: dict, key: str, where: str = "") -> str:
    """Return a required, non-empty string."""
    value = raw.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{where}{key}: " + ("is missing" if value is None else "must be a string"))
    return value


def get_integer(raw: dict, key: str, default: int, minimum: int, where: str = "") -> int:
    """Return an integer that is at least `minimum`, or the default if the key is absent."""
    value = raw.get(key, default)
    if not is_number(value) or not isfinite(value) or value % 1:
        raise ConfigError(f"{where}{key}: must be a whole number")
    if value < minimum:
        raise ConfigError(f"{where}{key}: must be at least {minimum}")
    if value > MAX_NUMBER:
        raise ConfigError(f"{where}{key}: must be at most {MAX_NUMBER}")
    return int(value)


def get_nanoseconds(raw: dict, key: str, default: int, where: str) -> timedelta:
    """Return a duration given in nanoseconds."""
    return timedelta(microseconds=get_integer(raw, key, default, 1, where) / 1000)


def get_milliseconds(raw: dict, key: str, default: int, where: str) -> timedelta:
    """Return a duration given in milliseconds."""
    return timedelta(milliseconds=get_integer(raw, key, default, 1, where))


def parse_address(raw: dict, key: str) -> tuple[str, int]:
    """Parse a HOST:PORT address."""
    host, separator, port = get_text(raw, key).rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"{key}: must be HOST:PORT")
    return host.strip("[]"), int(port)


def parse_seed(value: object) -> int:
    """Parse the seed, an integer or a hexadecimal string."""
    try:
        return value if isinstance(value, int) else int(str(value), 16)
    except ValueError:
        raise ConfigError("seed: must be an integer or a hexadecimal string") from None
