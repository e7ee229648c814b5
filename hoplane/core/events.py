"""What goes into the reducer and the effects that it asks for. Plain data; nothing happens here."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from hoplane.decision.interface import Settings, State, Status

ZERO = timedelta()


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A model server as discovery tells it; `started` is on the reducer's clock, zero for long ago."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: State
    weight: float = 1.0
    started: timedelta = ZERO


# --- events


@dataclass(slots=True, frozen=True)
class Asked:
    """A client's request, taken: one final answer is owed. `once` is the id under which it may run once."""

    id: str
    cls: str
    prompt: int
    max_out: int
    patience: timedelta
    session: str | None = None
    prefix: str | None = None
    prefix_len: int = 0
    tenant: str | None = None
    retry: bool = False
    resumed: bool = False
    once: str | None = None


@dataclass(slots=True, frozen=True)
class Left:
    """The client is gone."""

    id: str


@dataclass(slots=True, frozen=True)
class Began:
    """The first event of an attempt's answer is being passed on."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt is over, and its connection free or closed."""

    id: str
    attempt: int
    status: Status
    note: int = 0
    load: dict[str, float] = field(default_factory=dict)
    written: bool = True  # whether its last byte may have been written to the endpoint


@dataclass(slots=True, frozen=True)
class HoldAnswered:
    """What came of a hold: held, not held, or (None) not known. `silent`: the endpoint did not answer."""

    id: str
    attempt: int
    held: bool | None
    silent: bool = False


@dataclass(slots=True, frozen=True)
class Probed:
    """What came of a probe of an endpoint."""

    server: int
    status: Status
    took: timedelta
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Due:
    """A timer asked for with Wake has come."""

    timer: object


@dataclass(slots=True, frozen=True)
class Listed:
    """The list of endpoints, whole or the entries that changed.

    `unread` names those whose entries could not be read: what was known of them stays."""

    endpoints: tuple[Endpoint, ...]
    whole: bool
    unread: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Turned:
    """A request of a class that the front answered itself, before the reducer took it: refused or failed."""

    cls: str
    refused: bool


@dataclass(slots=True, frozen=True)
class Reloaded:
    """A file was read anew at SIGHUP: its settings hold for what comes, or (None) it was turned down."""

    settings: Settings | None


@dataclass(slots=True, frozen=True)
class Judged:
    """The fleet finds that an endpoint fails its requests; the module avoids it for a while."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class Closing:
    """A request is broken off, as the process will be killed and its client asks elsewhere for the rest."""

    id: str


Event = (
    Asked | Left | Began | Ended | HoldAnswered | Probed | Due | Listed | Turned | Reloaded | Judged | Closing
)


# --- effects


@dataclass(slots=True, frozen=True)
class Forward:
    """Open an attempt: send the request to an endpoint, which is told `patience`.

    `once`: it must not run twice, so it has to be known for as long as may be that it cannot have run.
    `until`: when it has to begin, as endpoints discard repeats of what may have run for so long only."""

    id: str
    attempt: int
    endpoint: Endpoint
    patience: timedelta
    reads: bool
    once: bool = False
    until: timedelta | None = None


@dataclass(slots=True, frozen=True)
class Abandon:
    """Give an attempt up by closing its connection; its Ended is still awaited."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AskHold:
    """Ask an endpoint to hold a place, once the reading attempt's last byte is out."""

    id: str
    attempt: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask an endpoint for a sign of life."""

    server: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class LetGo:
    """Release what is held for a request: any endpoint takes the call; those that had part in it first."""

    id: str
    endpoints: tuple[Endpoint, ...]
    wait: timedelta = ZERO
    left: timedelta | None = None  # since when something may be held, on the reducer's clock
    again: bool = False  # a read was cut off and may end well later, so that one release is not enough


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, trying again is harmless, after a pause, None where none may be told."""

    id: str
    pause: timedelta | None
    why: str


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised. `clash`: its id may have run before."""

    id: str
    why: str
    clash: bool = False


@dataclass(slots=True, frozen=True)
class Wake:
    """Feed a Due back at a clock time."""

    at: timedelta
    timer: object


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the log."""

    event: str
    facts: dict[str, object]


Effect = Forward | Abandon | AskHold | Probe | LetGo | Refuse | Fail | Wake | Say
