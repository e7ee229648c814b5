"""The simulator's wire on standard input and output, to and from `hoplane.decision.interface`.

Hosts any number of instances that share nothing. It translates and decides nothing.
"""

from __future__ import annotations

import base64
import binascii
import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import TextIO

from hoplane.decision import interface as api
from hoplane.decision.rules import Router

Fields = dict[str, str]

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
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
FLEETS = {"Partial": False, "Complete": True, "Persisted": True}
PLACES = {"1": True, "2": False}


class WireError(Exception):
    """A line that the wire does not allow."""


def split_fields(words: Iterable[str]) -> Fields:
    """Take a line's name=value parts apart."""
    fields: Fields = {}
    for word in words:
        name, sign, value = word.partition("=")
        if not sign or not name:
            raise WireError(f"{word!r} is not of the form name=value")
        fields[name] = value
    return fields


def text(fields: Fields, name: str) -> str:
    """Give a field that must be there."""
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"{name} is missing") from None


def whole(fields: Fields, name: str) -> int:
    """Give a field that must be there as a whole number."""
    value = text(fields, name)
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{name}={value} is not a whole number") from None


def number(fields: Fields, name: str) -> float:
    """Give a field that must be there as a finite number."""
    value = text(fields, name)
    try:
        result = float(value)
    except ValueError:
        raise WireError(f"{name}={value} is not a number") from None
    if result - result != 0:
        raise WireError(f"{name}={value} is not a finite number")
    return result


def ticks(fields: Fields, name: str) -> int:
    """Give a time that must be there; it may be written with a point."""
    value = text(fields, name)
    return int(value) if value.isdecimal() else round(number(fields, name))


def choice(fields: Fields, name: str, words: dict) -> object:
    """Give a field that must be there and one of the words."""
    value = text(fields, name)
    if value not in words:
        raise WireError(f"{name}={value} is none of {', '.join(words)}")
    return words[value]


def flag(fields: Fields, name: str) -> bool:
    """Give a field that must be there as a truth value."""
    return bool(choice(fields, name, BOOLS))


def given(fields: Fields, table: dict[str, tuple[str, Callable]]) -> dict:
    """Translate those fields of a table that are there; the interface says what holds for the rest."""
    return {name: read(fields, key) for name, (key, read) in table.items() if fields.get(key, "") != ""}


def listed(fields: Fields, name: str) -> list[str]:
    """Give a comma-joined list; an absent one is empty."""
    value = fields.get(name, "")
    return value.split(",") if value else []


def at_index(fields: Fields, name: str, index: int) -> Fields:
    """Give one value of a comma-joined list as a field of its own, empty where the list ends before."""
    values = listed(fields, name)
    return {name: values[index]} if index < len(values) else {}


# --- settings

CLASS_FIELDS = {
    "worth": ("worth", number),
    "late_worth": ("late_worth", number),
    "group": ("group", lambda fields, key: choice(fields, key, {group.value: group for group in api.Group})),
    "window": ("window", ticks),
}
TENANT_FIELDS = {"share": ("share", number), "quota_per_s": ("quota_per_s", number)}
SETTING_FIELDS = {
    "routers": ("balancers", whole),
    "position": ("position", whole),
    "zone": ("my_zone", text),
    "tick": ("tick", ticks),
    "over_share_worth": ("over_share_worth", number),
    "max_attempts": ("allowed.attempts_cap", whole),
    "cancel": ("allowed.cancel", flag),
    "second_copies": ("allowed.second_copies", flag),
    "probes": ("allowed.probes", flag),
    "peers": ("allowed.may_tell", flag),
    "retry_after": ("allowed.retry_after", flag),
    "max_retry_after": ("allowed.max_retry_after", ticks),
    "reserve_ahead": ("family_info.ahead", flag),
    "resume": ("family_info.resume", flag),
    "writers_read": ("family_info.local_read", flag),
    "release_within": ("family_info.release_within", ticks),
    "far_price": ("family_info.transfer_price", number),
    "must_subscribe": ("discovery", lambda fields, key: choice(fields, key, {"ask": True, "push": False})),
    "probe_price": ("prices.probe", number),
    "answer_slack": ("rules.answer_slack", ticks),
    "drain_grace": ("rules.drain_grace", ticks),
    "cold": ("rules.cold", ticks),
    "cold_share": ("rules.cold_share", number),
    "fall_multiple": ("rules.overload_factor", number),
    "fall": ("rules.fall", ticks),
}


def part(fields: Fields, path: str) -> Fields:
    """Give the settings below a path."""
    return {name[len(path) :]: value for name, value in fields.items() if name.startswith(path)}


@contextmanager
def below(path: str) -> Iterator[None]:
    """Put the path of a part ahead of what is wrong in it."""
    try:
        yield
    except WireError as error:
        raise WireError(f"{path}{error}") from None


def class_settings(fields: Fields, index: int) -> api.ClassSettings:
    """Translate one class of requests."""
    path = f"lanes.{index}."
    own = part(fields, path)
    key = "family_info.token_aim"
    extra = given(at_index(fields, key, index), {"token_aim": (key, ticks)})
    key = "family_info.aim_us_per_1000_prompt_tokens"
    if stretch := at_index(fields, key, index):
        extra["aim_per_1000"] = round(number(stretch, key) * 1000)
    with below(path):
        extra |= given(own, CLASS_FIELDS)
        times = ticks(own, "target"), ticks(own, "hard_limit")
        return api.ClassSettings(text(own, "name"), *times, choice(own, "idempotency", EFFECTS), **extra)


def kind_settings(fields: Fields, name: str, index: int) -> api.KindSettings:
    """Translate one kind of server."""
    duty = at_index(fields, "family_info.duty_by_kind", index)
    role = choice(duty, "family_info.duty_by_kind", {role.value: role for role in api.Role})
    key = "family_info.memory_tokens"
    return api.KindSettings(name, role, **given(at_index(fields, key, index), {"memory": (key, ticks)}))


def tenant_settings(fields: Fields, index: int) -> api.TenantSettings:
    """Translate one tenant."""
    path = f"projects.{index}."
    own = part(fields, path)
    with below(path):
        return api.TenantSettings(text(own, "name"), **given(own, TENANT_FIELDS))


def count(fields: Fields, name: str) -> range:
    """Give the indices of a list of objects; an absent list is empty."""
    return range(whole(fields, name)) if name in fields else range(0)


REPORTS = {"waiting_tokens_field": "thousands_of_prompt_tokens", "held_memory_field": "share_of_memory"}


def read_reports(fields: Fields) -> dict[str, str]:
    """Find the columns of load reports that we know, by what the settings say that they tell."""
    columns = listed(fields, "reporting.columns")
    told = {name: fields.get(f"family_info.report_{name}", "").replace(" ", "_") for name in columns}
    return {key: name for key, start in REPORTS.items() for name in columns if told[name].startswith(start)}


def read_settings(fields: Fields) -> api.Settings:
    """Translate what an instance is told at start."""
    return api.Settings(
        kinds=tuple(kind_settings(fields, name, index) for index, name in enumerate(listed(fields, "kinds"))),
        classes=tuple(class_settings(fields, index) for index in count(fields, "lanes.count")),
        tenants=tuple(tenant_settings(fields, index) for index in count(fields, "projects.count")),
        **given(fields, SETTING_FIELDS),
        **read_reports(fields),
    )


# --- events

REQUEST_FIELDS = {
    "session": ("thread", text),
    "prefix": ("prefix", text),
    "prefix_len": ("shared_len", whole),
    "hint": ("estimate", ticks),
    "tenant": ("party", text),
    "retry": ("repeat", flag),
    "resumed": ("came_back", flag),
}


def read_entry(fields: Fields) -> api.ServerEntry:
    """Translate a line of a server list."""
    return api.ServerEntry(
        server=whole(fields, "engine"),
        kind=text(fields, "kind"),
        zone=text(fields, "dc"),
        cell=whole(fields, "unit_group"),
        state=choice(fields, "condition", STATES),
        **given(fields, {"weight": ("weight", number), "started_at": ("born", ticks)}),
    )


def read_gauge(fields: Fields) -> dict[str, float]:
    """Translate a load report; there may be none."""
    pairs = (pair.partition(":") for pair in listed(fields, "gauge"))
    return {name: number({name: value}, name) for name, _, value in pairs}


def read_request(fields: Fields) -> api.Request:
    """Translate a request."""
    return api.Request(
        text(fields, "req"),
        text(fields, "priority"),
        whole(fields, "n_prompt"),
        whole(fields, "max_tokens"),
        ticks(fields, "grace"),
        **given(fields, REQUEST_FIELDS),
    )


def attempt_fields(fields: Fields) -> tuple[str, int, int]:
    """Give what names an attempt."""
    return text(fields, "req"), whole(fields, "attempt"), whole(fields, "engine")


def read_first(fields: Fields) -> api.FirstToken:
    """Translate the begin of a stream."""
    return api.FirstToken(*attempt_fields(fields), ticks(fields, "wait_time"))


def read_outcome(fields: Fields) -> api.Outcome:
    """Translate the end of an attempt."""
    status = choice(fields, "ending", STATUSES)
    extra = given(fields, {"closed": ("closed", flag), "detail": ("info", whole)})
    return api.Outcome(
        *attempt_fields(fields), status, ticks(fields, "wait_time"), load=read_gauge(fields), **extra
    )


def read_place(fields: Fields) -> api.ReservationResult:
    """Translate the answer to a hold."""
    return api.ReservationResult(*attempt_fields(fields), bool(choice(fields, "topic", PLACES)))


def read_probed(fields: Fields) -> api.ProbeResult:
    """Translate the result of a probe."""
    status = choice(fields, "ending", STATUSES)
    return api.ProbeResult(whole(fields, "engine"), status, ticks(fields, "wait_time"), read_gauge(fields))


def read_peer(fields: Fields) -> api.PeerMessage:
    """Translate a message of another router."""
    data = text(fields, "msg")
    try:
        return api.PeerMessage(
            whole(fields, "origin_peer"), b"" if data == "-" else base64.b64decode(data, validate=True)
        )
    except binascii.Error:
        raise WireError(f"msg={data} is not base64") from None


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "query": read_request,
    "headers": read_first,
    "report_back": read_outcome,
    "hold_result": read_place,
    "timed_out_client": lambda fields: api.ClientDisconnected(text(fields, "req")),
    "bell": lambda fields: api.TimerFired(whole(fields, "handle")),
    "probed": read_probed,
    "note_from": read_peer,
}


# --- actions


def write_tell(action: api.SendPeerMessage) -> str:
    """Write a message to other routers."""
    data = base64.b64encode(action.data).decode() or "-"
    return f"dest={-1 if action.to is None else action.to} msg={data}"


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
    api.SendPeerMessage: ("broadcast_to", write_tell),
    api.SubscribeServerList: ("observe", lambda a: "want=1"),
    api.Log: ("remark", lambda a: f"line={' '.join(a.text.split())}"),
}


def write_action(instance: str, action: api.Action) -> str:
    """Write one action as a line."""
    name, fields = ACTIONS[type(action)]
    return f"{name} router_id={instance} {fields(action)}"


# --- the loop


class Host:
    """Plays batches to the instances and gathers their actions."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.now = 0

    def play(self, words: list[str], lines: Iterator[str]) -> Iterator[str]:
        """Take one event line, with the list lines that belong to it, and give the actions' lines."""
        name, fields = words[0], split_fields(words[1:])
        if name == "list":
            self.lists[whole(fields, "slot")] = tuple(
                self.next_entry(next(lines, "")) for _ in range(whole(fields, "records"))
            )
            return
        if name not in EVENTS and name not in ("enlist", "fleet", "destroy"):
            raise WireError(f"unknown message {name!r}")
        instance = text(fields, "router_id")
        if name == "enlist":
            self.routers[instance] = Router(read_settings(fields), whole(fields, "random_seed"))
            return
        if instance not in self.routers:
            raise WireError(f"{instance} has not been started")
        if name == "destroy":
            del self.routers[instance]
            return
        event = self.read_fleet(fields) if name == "fleet" else EVENTS[name](fields)
        for action in self.routers[instance].handle(self.now, event):
            yield write_action(instance, action)

    def next_entry(self, line: str) -> api.ServerEntry:
        """Translate a line that must be a list's entry."""
        words = line.split()
        if not words or words[0] != "entry":
            raise WireError("an entry of the list is missing")
        return read_entry(split_fields(words[1:]))

    def read_fleet(self, fields: Fields) -> api.ServerListUpdate:
        """Translate a server list event."""
        if text(fields, "kind") == "Error":
            return api.ServerListUpdate(None, whole=False)
        is_whole = bool(choice(fields, "kind", FLEETS))
        slot = whole(fields, "slot")
        if slot not in self.lists:
            raise WireError(f"slot={slot} has not been declared")
        return api.ServerListUpdate(self.lists[slot], is_whole)

    def run(self, lines: Iterator[str], out: TextIO) -> None:
        """Answer batches until the input ends."""
        for line in lines:
            words = line.split()
            if not words or words[0] != "begin_batch":
                raise WireError("a batch must open with begin_batch")
            self.now = ticks(split_fields(words[1:]), "clock")
            reply: list[str] = []
            for event in lines:
                words = event.split()
                if not words:
                    raise WireError("an empty line")
                if words[0] == "eof_batch":
                    break
                reply.extend(self.play(words, lines))
            else:
                raise WireError("the input ends within a batch")
            reply.append("ok\n")
            out.write("\n".join(reply))
            out.flush()


class Lines:
    """Input lines, counted."""

    def __init__(self, source: Iterable[str]) -> None:
        self.source = iter(source)
        self.number = 0

    def __iter__(self) -> Lines:
        return self

    def __next__(self) -> str:
        line = next(self.source)
        self.number += 1
        return line


def main() -> int:
    """Serve the wire on standard input and output."""
    lines = Lines(sys.stdin)
    try:
        Host().run(lines, sys.stdout)
    except (WireError, ValueError) as error:
        print(f"adapter: line {lines.number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
