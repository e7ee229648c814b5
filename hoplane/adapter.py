"""Serves the simulator's wire protocol on standard input and output.

Hosts any number of independent routers. It only translates between lines and `hoplane.decision.interface`;
the routers make all decisions.
"""

from __future__ import annotations

import base64
import binascii
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import TextIO

from hoplane.decision import interface as api
from hoplane.decision.router import Router

Fields = dict[str, str]

IDEMPOTENCY_BY_WIRE_NAME = {
    "pure": api.Idempotency.SAFE,
    "token": api.Idempotency.KEYED,
    "side_effect": api.Idempotency.UNSAFE,
}
STATES = {"live": api.State.LIVE, "quiescing": api.State.DRAINING, "dead": api.State.GONE}
STATUSES = {
    "done": api.Status.OK,
    "err": api.Status.ERROR,
    "busy": api.Status.FULL,
    "etimedout": api.Status.TIMEOUT,
    "econnrefused": api.Status.CONNECT_FAILED,
    "econnreset": api.Status.RESET,
    "ecanceled": api.Status.CANCELLED,
    "skipped": api.Status.MOOT,
    "handover": api.Status.MISS,
}
BOOLS = {"1": True, "0": False, "true": True, "false": False}
COMPLETE_BY_LIST_KIND = {"Partial": False, "Complete": True, "Persisted": True}
RESERVED_BY_TOPIC = {"1": True, "2": False}


class WireError(Exception):
    """A line that violates the wire protocol."""


def split_fields(parts: Iterable[str]) -> Fields:
    """Parse the name=value parts of a line."""
    fields: Fields = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise WireError(f"{part!r} is not of the form name=value")
        fields[name] = value
    return fields


def get_text(fields: Fields, name: str) -> str:
    """Return a required field."""
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"{name} is missing") from None


def get_integer(fields: Fields, name: str) -> int:
    """Return a required field as an integer."""
    value = get_text(fields, name)
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{name}={value} is not a whole number") from None


def get_number(fields: Fields, name: str) -> float:
    """Return a required field as a finite number."""
    value = get_text(fields, name)
    try:
        result = float(value)
    except ValueError:
        raise WireError(f"{name}={value} is not a number") from None
    if result - result != 0:
        raise WireError(f"{name}={value} is not a finite number")
    return result


def get_rounded_integer(fields: Fields, name: str) -> int:
    """Return a required time in nanoseconds or count of tokens; a decimal fraction is rounded."""
    value = get_text(fields, name)
    return int(value) if value.isdecimal() else round(get_number(fields, name))


def get_choice(fields: Fields, name: str, values: dict) -> object:
    """Return the value that a required field selects from a table."""
    value = get_text(fields, name)
    if value not in values:
        raise WireError(f"{name}={value} is not one of {', '.join(values)}")
    return values[value]


def get_flag(fields: Fields, name: str) -> bool:
    """Return a required field as a boolean."""
    return bool(get_choice(fields, name, BOOLS))


def convert_present(fields: Fields, table: dict[str, tuple[str, Callable]]) -> dict:
    """Convert the fields of a table that are present; the interface has defaults for the rest."""
    return {name: read(fields, key) for name, (key, read) in table.items() if fields.get(key, "") != ""}


def get_list(fields: Fields, name: str) -> list[str]:
    """Return a comma-separated list, empty if the field is absent."""
    value = fields.get(name, "")
    return value.split(",") if value else []


def get_list_item(fields: Fields, name: str, index: int) -> Fields:
    """Return one item of a comma-separated list as a field of its own, or no field if the list is shorter."""
    values = get_list(fields, name)
    return {name: values[index]} if index < len(values) else {}


# --- settings

CLASS_FIELDS = {
    "worth": ("worth", get_number),
    "late_worth": ("late_worth", get_number),
    "group": (
        "group",
        lambda fields, key: get_choice(fields, key, {group.value: group for group in api.Group}),
    ),
    "window": ("window", get_rounded_integer),
}
TENANT_FIELDS = {"share": ("share", get_number), "quota_per_s": ("quota_per_s", get_number)}
SETTING_FIELDS = {
    "routers": ("balancers", get_integer),
    "position": ("position", get_integer),
    "zone": ("my_zone", get_text),
    "tick": ("tick", get_rounded_integer),
    "over_share_worth": ("over_share_worth", get_number),
    "max_attempts": ("allowed.attempts_cap", get_integer),
    "cancel": ("allowed.cancel", get_flag),
    "second_copies": ("allowed.second_copies", get_flag),
    "probes": ("allowed.probes", get_flag),
    "peers": ("allowed.may_tell", get_flag),
    "retry_after": ("allowed.retry_after", get_flag),
    "max_retry_after": ("allowed.max_retry_after", get_rounded_integer),
    "reserve_ahead": ("family_info.ahead", get_flag),
    "resume": ("family_info.resume", get_flag),
    "writers_read": ("family_info.local_read", get_flag),
    "release_within": ("family_info.release_within", get_rounded_integer),
    "far_price": ("family_info.transfer_price", get_number),
    "must_subscribe": (
        "discovery",
        lambda fields, key: get_choice(fields, key, {"ask": True, "push": False}),
    ),
    "probe_price": ("prices.probe", get_number),
    "answer_slack": ("rules.answer_slack", get_rounded_integer),
    "drain_grace": ("rules.drain_grace", get_rounded_integer),
    "cold": ("rules.cold", get_rounded_integer),
    "cold_share": ("rules.cold_share", get_number),
    "fall_multiple": ("rules.overload_factor", get_number),
    "fall": ("rules.fall", get_rounded_integer),
}


def get_section(fields: Fields, path: str) -> Fields:
    """Return the settings below a path, with the path removed from their names."""
    return {name[len(path) :]: value for name, value in fields.items() if name.startswith(path)}


@contextmanager
def error_path(path: str) -> Iterator[None]:
    """Prefix the errors raised in a section with its path."""
    try:
        yield
    except WireError as error:
        raise WireError(f"{path}{error}") from None


def class_settings(fields: Fields, index: int) -> api.ClassSettings:
    """Convert the settings of one request class."""
    path = f"lanes.{index}."
    section = get_section(fields, path)
    key = "family_info.token_aim"
    optional = convert_present(get_list_item(fields, key, index), {"token_aim": (key, get_rounded_integer)})
    key = "family_info.aim_us_per_1000_prompt_tokens"
    if item := get_list_item(fields, key, index):
        optional["aim_per_1000"] = round(get_number(item, key) * 1000)
    with error_path(path):
        optional |= convert_present(section, CLASS_FIELDS)
        times = get_rounded_integer(section, "target"), get_rounded_integer(section, "hard_limit")
        return api.ClassSettings(
            get_text(section, "name"),
            *times,
            get_choice(section, "idempotency", IDEMPOTENCY_BY_WIRE_NAME),
            **optional,
        )


def kind_settings(fields: Fields, name: str, index: int) -> api.KindSettings:
    """Convert the settings of one kind of server."""
    duty = get_list_item(fields, "family_info.duty_by_kind", index)
    role = get_choice(duty, "family_info.duty_by_kind", {role.value: role for role in api.Role})
    key = "family_info.memory_tokens"
    return api.KindSettings(
        name,
        role,
        **convert_present(get_list_item(fields, key, index), {"memory": (key, get_rounded_integer)}),
    )


def tenant_settings(fields: Fields, index: int) -> api.TenantSettings:
    """Convert the settings of one tenant."""
    path = f"projects.{index}."
    section = get_section(fields, path)
    with error_path(path):
        return api.TenantSettings(get_text(section, "name"), **convert_present(section, TENANT_FIELDS))


def list_indices(fields: Fields, name: str) -> range:
    """Return the indices of a list of objects; an absent list is empty."""
    return range(get_integer(fields, name)) if name in fields else range(0)


LOAD_COLUMN_DESCRIPTIONS = {
    "waiting_tokens_field": "thousands_of_prompt_tokens",
    "held_memory_field": "share_of_memory",
}


def read_load_columns(fields: Fields) -> dict[str, str]:
    """Map the router's load report settings to column names, by the descriptions in the settings."""
    columns = get_list(fields, "reporting.columns")
    descriptions = {name: fields.get(f"family_info.report_{name}", "").replace(" ", "_") for name in columns}
    return {
        key: name
        for key, prefix in LOAD_COLUMN_DESCRIPTIONS.items()
        for name in columns
        if descriptions[name].startswith(prefix)
    }


def read_settings(fields: Fields) -> api.Settings:
    """Convert the settings of a router."""
    return api.Settings(
        kinds=tuple(
            kind_settings(fields, name, index) for index, name in enumerate(get_list(fields, "kinds"))
        ),
        classes=tuple(class_settings(fields, index) for index in list_indices(fields, "lanes.count")),
        tenants=tuple(tenant_settings(fields, index) for index in list_indices(fields, "projects.count")),
        **convert_present(fields, SETTING_FIELDS),
        **read_load_columns(fields),
    )


# --- events

REQUEST_FIELDS = {
    "session": ("thread", get_text),
    "prefix": ("prefix", get_text),
    "prefix_tokens": ("shared_len", get_integer),
    "hint": ("estimate", get_rounded_integer),
    "tenant": ("party", get_text),
    "retry": ("repeat", get_flag),
    "resumed": ("came_back", get_flag),
}


def read_entry(fields: Fields) -> api.ServerEntry:
    """Convert one entry of a server list."""
    return api.ServerEntry(
        server=get_integer(fields, "engine"),
        kind=get_text(fields, "kind"),
        zone=get_text(fields, "dc"),
        cell=get_integer(fields, "unit_group"),
        state=get_choice(fields, "condition", STATES),
        **convert_present(
            fields, {"weight": ("weight", get_number), "started_at": ("born", get_rounded_integer)}
        ),
    )


def read_load(fields: Fields) -> dict[str, float]:
    """Convert a load report, empty if absent."""
    pairs = (pair.partition(":") for pair in get_list(fields, "gauge"))
    return {name: get_number({name: value}, name) for name, _, value in pairs}


def read_request(fields: Fields) -> api.Request:
    """Convert a request."""
    return api.Request(
        get_text(fields, "req"),
        get_text(fields, "priority"),
        get_integer(fields, "n_prompt"),
        get_integer(fields, "max_tokens"),
        get_rounded_integer(fields, "grace"),
        **convert_present(fields, REQUEST_FIELDS),
    )


def attempt_fields(fields: Fields) -> tuple[str, int, int]:
    """Return the request id, attempt number and server that identify an attempt."""
    return get_text(fields, "req"), get_integer(fields, "attempt"), get_integer(fields, "engine")


def read_first_token(fields: Fields) -> api.FirstToken:
    """Convert the start of an answer's stream."""
    return api.FirstToken(*attempt_fields(fields), get_rounded_integer(fields, "wait_time"))


def read_outcome(fields: Fields) -> api.Outcome:
    """Convert the outcome of an attempt."""
    status = get_choice(fields, "ending", STATUSES)
    optional = convert_present(fields, {"closed": ("closed", get_flag), "detail": ("info", get_integer)})
    return api.Outcome(
        *attempt_fields(fields),
        status,
        get_rounded_integer(fields, "wait_time"),
        load=read_load(fields),
        **optional,
    )


def read_reservation_result(fields: Fields) -> api.ReservationResult:
    """Convert the result of a reservation."""
    return api.ReservationResult(
        *attempt_fields(fields), bool(get_choice(fields, "topic", RESERVED_BY_TOPIC))
    )


def read_probe_result(fields: Fields) -> api.ProbeResult:
    """Convert the result of a probe."""
    status = get_choice(fields, "ending", STATUSES)
    return api.ProbeResult(
        get_integer(fields, "engine"), status, get_rounded_integer(fields, "wait_time"), read_load(fields)
    )


def read_peer_message(fields: Fields) -> api.PeerMessage:
    """Convert a message from another router."""
    data = get_text(fields, "msg")
    try:
        return api.PeerMessage(
            get_integer(fields, "origin_peer"), b"" if data == "-" else base64.b64decode(data, validate=True)
        )
    except binascii.Error:
        raise WireError(f"msg={data} is not base64") from None


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "query": read_request,
    "headers": read_first_token,
    "report_back": read_outcome,
    "hold_result": read_reservation_result,
    "timed_out_client": lambda fields: api.ClientDisconnected(get_text(fields, "req")),
    "bell": lambda fields: api.TimerFired(get_integer(fields, "handle")),
    "probed": read_probe_result,
    "note_from": read_peer_message,
}


# --- actions


def write_peer_message(action: api.SendPeerMessage) -> str:
    """Format a message to other routers."""
    data = base64.b64encode(action.data).decode() or "-"
    return f"dest={-1 if action.to is None else action.to} msg={data}"


# The wire has no word for withdrawing a timer; a late expiry changes nothing.
UNWRITTEN_ACTIONS = (api.CancelTimer,)
ACTIONS: dict[type, tuple[str, Callable[..., str]]] = {
    api.Send: ("pass_on", lambda a: f"req={a.request_id} within={a.timeout} engine={a.server}"),
    api.Reserve: ("hold_place", lambda a: f"req={a.request_id} engine={a.server}"),
    api.Release: ("unpin", lambda a: f"req={a.request_id}"),
    api.Cancel: ("undo_send", lambda a: f"req={a.request_id} attempt={a.attempt}"),
    api.Refuse: ("shed", lambda a: f"req={a.request_id} pause={a.retry_after}"),
    api.Fail: ("drop_request", lambda a: f"req={a.request_id}"),
    api.EndStream: ("reassign", lambda a: f"req={a.request_id}"),
    api.SetTimer: ("wake_me", lambda a: f"fire_at={a.at} handle={a.timer}"),
    api.Probe: ("ping", lambda a: f"engine={a.server}"),
    api.SendPeerMessage: ("broadcast_to", write_peer_message),
    api.SubscribeServerList: ("observe", lambda a: "want=1"),
    api.Log: ("remark", lambda a: f"line={' '.join(a.text.split())}"),
}


def write_action(instance: str, action: api.Action) -> str:
    """Format one action as a line."""
    name, fields = ACTIONS[type(action)]
    return f"{name} router_id={instance} {fields(action)}"


# --- the loop


class RouterHost:
    """Passes batches of events to the routers and collects their actions."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.server_lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.now = 0

    def process(self, parts: list[str], lines: Iterator[str]) -> Iterator[str]:
        """Process one event line and the list entries that follow it; yield the lines of the actions."""
        name, fields = parts[0], split_fields(parts[1:])
        if name == "list":
            self.server_lists[get_integer(fields, "slot")] = tuple(
                self.next_entry(next(lines, "")) for _ in range(get_integer(fields, "records"))
            )
            return
        if name not in EVENTS and name not in ("enlist", "fleet", "destroy"):
            raise WireError(f"unknown message {name!r}")
        instance = get_text(fields, "router_id")
        if name == "enlist":
            self.routers[instance] = Router(read_settings(fields), get_integer(fields, "random_seed"))
            return
        if instance not in self.routers:
            raise WireError(f"router_id={instance} has not been started")
        if name == "destroy":
            del self.routers[instance]
            return
        event = self.read_list_update(fields) if name == "fleet" else EVENTS[name](fields)
        for action in self.routers[instance].handle(self.now, event):
            if type(action) not in UNWRITTEN_ACTIONS:
                yield write_action(instance, action)

    def next_entry(self, line: str) -> api.ServerEntry:
        """Parse a line, which must be an entry of a list."""
        parts = line.split()
        if not parts or parts[0] != "entry":
            raise WireError("an entry of the list is missing")
        return read_entry(split_fields(parts[1:]))

    def read_list_update(self, fields: Fields) -> api.ServerListUpdate:
        """Convert a server list update."""
        if get_text(fields, "kind") == "Error":
            return api.ServerListUpdate(None, whole=False)
        complete = bool(get_choice(fields, "kind", COMPLETE_BY_LIST_KIND))
        slot = get_integer(fields, "slot")
        if slot not in self.server_lists:
            raise WireError(f"slot={slot} has not been declared")
        return api.ServerListUpdate(self.server_lists[slot], complete)

    def run(self, lines: Iterator[str], out: TextIO) -> None:
        """Answer batches until the end of the input."""
        for line in lines:
            parts = line.split()
            if not parts or parts[0] != "begin_batch":
                raise WireError("a batch must start with begin_batch")
            self.now = get_rounded_integer(split_fields(parts[1:]), "clock")
            reply: list[str] = []
            for event in lines:
                parts = event.split()
                if not parts:
                    raise WireError("a line within a batch is empty")
                if parts[0] == "eof_batch":
                    break
                reply.extend(self.process(parts, lines))
            else:
                raise WireError("the input ends within a batch")
            reply.append("ok\n")
            out.write("\n".join(reply))
            out.flush()


class LineCounter:
    """Iterates over input lines and counts them."""

    def __init__(self, source: Iterable[str]) -> None:
        self.source = iter(source)
        self.number = 0

    def __iter__(self) -> LineCounter:
        return self

    def __next__(self) -> str:
        line = next(self.source)
        self.number += 1
        return line


def main() -> int:
    """Serve the wire protocol on standard input and output."""
    lines = LineCounter(sys.stdin)
    try:
        RouterHost().run(lines, sys.stdout)
    except (WireError, ValueError) as error:
        print(f"adapter: line {lines.number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
