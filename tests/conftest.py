"""Shared helpers: a small fleet, a router over it, and short calls for its events."""

from __future__ import annotations

from pathlib import Path

import pytest

from hoplane.decision import interface as api
from hoplane.decision.router import Router

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
REVIEW_FOLDER = "review/"  # its scripts are no tests of this run; their entries are printed only


def read_known_red():
    """Return the entries of KNOWN-RED.txt that are tests of this run, and those that are review scripts."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    entries = [line.split(" | ", 1) for line in lines if line.strip()]
    if malformed := [entry[0] for entry in entries if len(entry) != 2]:
        raise pytest.UsageError(f"{KNOWN_RED.name}: no reason is given: {malformed[0]}")
    names = [name for name, _ in entries]
    if repeated := [name for name in names if names.count(name) > 1]:
        raise pytest.UsageError(f"{KNOWN_RED.name}: listed twice: {repeated[0]}")
    scripts = {name: reason for name, reason in entries if name.startswith(REVIEW_FOLDER)}
    if missing := [name for name in scripts if not (ROOT / name).is_file()]:
        raise pytest.UsageError(f"{KNOWN_RED.name}: no such script: {missing[0]}")
    return {name: reason for name, reason in entries if name not in scripts}, scripts


def pytest_collection_modifyitems(config, items):
    """Mark the tests of KNOWN-RED.txt as xfail, so that they run and the summary shows how each ended."""
    known, _ = read_known_red()
    found = {item.nodeid: item for item in items}
    runs_all_tests = not config.option.keyword and all(
        Path(str(argument).split("::")[0]).is_dir() for argument in config.args
    )
    if runs_all_tests and (missing := set(known) - set(found)):
        raise pytest.UsageError(f"{KNOWN_RED.name}: no such test: {min(missing)}")
    for name in known.keys() & found.keys():
        found[name].add_marker(pytest.mark.xfail(reason=f"known red: {known[name]}", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the entries that are no tests of this run."""
    for name, reason in read_known_red()[1].items():
        terminalreporter.write_line(f"known red, not run here: {name} - {reason}")


MS, S = 1_000_000, 1_000_000_000
READER_A, READER_B, WRITER_A, WRITER_B, MIXED = 11, 12, 21, 22, 31


def entry(server, kind, cell=0, state=api.State.LIVE, started_at=0, zone="z"):
    return api.ServerEntry(server, kind, zone, cell, state, 1.0, started_at)


FLEET = (
    entry(READER_A, "reader", 0),
    entry(READER_B, "reader", 1),
    entry(WRITER_A, "writer", 0),
    entry(WRITER_B, "writer", 1),
)


def settings(effect=api.Idempotency.SAFE, **changes):
    values = {
        "kinds": (
            api.KindSettings("reader", api.Role.READ, 200_000),
            api.KindSettings("writer", api.Role.WRITE, 150_000),
            api.KindSettings("mixed", api.Role.BOTH, 200_000),
        ),
        "classes": (api.ClassSettings("c", S, 4 * S, effect, window=5 * S),),
        "tenants": (api.TenantSettings("small", 0.1, 1.0), api.TenantSettings("large", 0.9, 1000.0)),
        "tick": 2 * MS,
        "cancel": True,
        "max_attempts": 5,
        "writers_read": True,
        "release_within": 500 * MS,
        "drain_grace": 250 * MS,
        "cold": 10 * S,
        "cold_share": 0.3,
        "fall_multiple": 2.5,
        "fall": S,
    }
    return api.Settings(**{**values, **changes})


class Harness:
    """A router with a clock, which records the actions of the last event and the pending timers."""

    def __init__(self, fleet=FLEET, seed=1, **changes):
        self.router = Router(settings(**changes), seed)
        self.now = 1000 * S
        self.count = 0
        self.timers = []
        self.send_event(api.ServerListUpdate(fleet, whole=True))

    def send_event(self, event, after=0):
        self.now += after
        self.actions = self.router.handle(self.now, event)
        self.timers += [
            (action.at, action.timer) for action in self.actions if isinstance(action, api.SetTimer)
        ]
        return self.actions

    def submit(self, request="r", after=0, **fields):
        values = {
            "prompt_tokens": 2000,
            "max_output_tokens": 200,
            "time_left": 4 * S,
            "session": request,
            "prefix": None,
        }
        return self.send_event(api.Request(request, "c", **{**values, **fields}), after)

    def outcome(self, status, server, request="r", attempt=0, after=10 * MS, **fields):
        return self.send_event(api.Outcome(request, attempt, server, status, after, **fields), after)

    def first_token(self, server, request="r", attempt=1, after=10 * MS):
        return self.send_event(api.FirstToken(request, attempt, server, after), after)

    def serve(self, request="r", **fields):
        """Run a request through reader and writer to its end; return the writer."""
        self.submit(request, **fields)
        reader = self.sent()[0]
        self.outcome(api.Status.MISS, reader, request)
        writer = self.sent()[0]
        self.first_token(writer, request)
        self.outcome(api.Status.OK, writer, request, 1, after=S, closed=True)
        return writer

    def disconnect(self, request):
        """Disconnect the client; attempts in flight are cancelled."""
        in_flight = [
            (action.index, action.server.entry.server) for action in self.router.jobs[request].in_flight
        ]
        self.send_event(api.ClientDisconnected(request))
        for attempt, server in in_flight:
            self.outcome(api.Status.CANCELLED, server, request, attempt, after=0)

    def run_timers(self, until):
        """Advance the clock and fire due timers in order; return all actions."""
        all_actions = []
        while due := [t for t in self.timers if t[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            all_actions += self.send_event(api.TimerFired(timer[1]))
        self.now = max(self.now, until)
        self.actions = all_actions
        return all_actions

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def sent(self):
        return [action.server for action in self.actions_of(api.Send)]

    def final_answers(self):
        return [type(action) for action in self.actions if isinstance(action, api.Refuse | api.Fail)]


@pytest.fixture
def harness():
    return Harness()
