"""Repeats of KEYED requests: in their window and group until they have arrived, not until they are sent."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import pytest
from conftest import FLEET, S, entry
from standins import KEYED_LANE, SETTINGS, Server, chat, message, platform, within
from standins import entry as listed
from test_hard_rules import keyed_request
from test_platform import complete_read, stream_response
from test_reducer import ReducerHarness

from hoplane.core import events as ev
from hoplane.core.permits import Denial
from hoplane.core.time_conversion import to_ns
from hoplane.core.timers import AttemptTimer
from hoplane.decision import interface as api
from hoplane.decision.interface import Group, Status
from hoplane.lab.partition import PartitionProxy

WINDOW = timedelta(seconds=1)
FAILURE = message("HTTP/1.1 500 Internal Server Error")


def keyed_settings(group):
    lane = {**KEYED_LANE, "group": group, "window": to_ns(WINDOW)}
    return {**SETTINGS, "lanes": [*SETTINGS["lanes"], lane]}


class Writers:
    """Two writers, of which the one that gets the request `q` first runs it and answers with a failure.

    As it does so, the path to the other one is partitioned, if `cut` is set."""

    def __init__(self, cut):
        self.cut, self.paths, self.ran_at = cut, {}, []

    def respond_at(self, name):
        async def respond(call, writer):
            if not call[0].startswith("POST /v1/chat") or call[1]["x-correlation-id"] != "q":
                await stream_response(call, writer)
                return
            self.ran_at.append(name)
            if len(self.ran_at) > 1:
                await stream_response(call, writer)
                return
            if self.cut:
                (other,) = (path for path_name, path in self.paths.items() if path_name != name)
                other.partition()
            writer.write(FAILURE)

        return respond


@asynccontextmanager
async def conductor(tmp_path, group, writers):
    """Run a conductor with a reader and the writers, each behind a path that can be partitioned."""
    async with AsyncExitStack() as stack:
        reader = await stack.enter_async_context(Server(complete_read))
        entries = [listed("r1", reader.address, "prefill")]
        for name in ("w1", "w2"):
            server = await stack.enter_async_context(Server(writers.respond_at(name)))
            path = writers.paths[name] = await stack.enter_async_context(PartitionProxy(server.address))
            entries.append(listed(name, path.address, "decode"))
        program = platform(tmp_path, entries, settings=keyed_settings(group))
        yield await stack.enter_async_context(program)


@pytest.mark.parametrize("group, status", [("zone", "502"), ("all", "503")])
def test_repeat_behind_a_partition_does_not_run_after_its_window(tmp_path, group, status):
    # Guards against a repeat, sent within its window, that arrives and runs after the window has ended.
    async def test():
        writers = Writers(cut=True)
        async with conductor(tmp_path, group, writers) as program:
            answer = await program.send_request(chat("q", "record", left=5000))
            assert answer[0].split()[1] == status
            for path in writers.paths.values():
                path.heal()
            await asyncio.sleep(0.5)
            assert len(writers.ran_at) == 1

    asyncio.run(within(test(), 30))


def test_repeat_that_arrives_within_its_window_is_served(tmp_path):
    async def test():
        writers = Writers(cut=False)
        async with conductor(tmp_path, "zone", writers) as program:
            answer = await program.send_request(chat("q", "record", left=5000))
            assert answer[0].split()[1] == "200" and len(set(writers.ran_at)) == 2

    asyncio.run(within(test(), 30))


def keyed_reducer():
    cls = api.ClassSettings("keyed", S, 4 * S, api.Idempotency.KEYED, group=Group.ZONE, window=to_ns(WINDOW))
    return ReducerHarness(classes=(cls,))


@pytest.mark.parametrize("response_started", [False, True])
def test_unanswered_repeat_is_recalled_at_the_end_of_its_window(response_started):
    # Guards against a window that is checked as bytes are sent, and never again.
    harness = keyed_reducer()
    harness.submit(cls="keyed")
    harness.finish_read()
    forward = harness.fail_first_write(Status.RESET)
    (timer,) = (each for each in harness.effects_of(ev.SetTimer) if isinstance(each.timer, AttemptTimer))
    assert timer.at == forward.repeat_until and forward.time_left == forward.repeat_until - harness.now
    if response_started:
        harness.apply(ev.ResponseStarted("q", forward.attempt))
    harness.apply(ev.TimerFired(timer.timer), timer.at - harness.now)
    recalled = [] if response_started else [ev.AbandonAttempt("q", forward.attempt)]
    assert harness.effects_of(ev.AbandonAttempt) == recalled
    if not response_started:
        harness.apply(ev.AttemptEnded("q", forward.attempt, Status.CANCELLED))
        assert harness.effects_of(ev.Fail) and not harness.effects_of(ev.Forward)


@pytest.mark.parametrize("change", [{"zone": "other"}, {"cell": 7}, {"address": "moved:1"}])
def test_repeat_is_not_sent_to_an_endpoint_that_has_left_the_group_since_it_was_chosen(change):
    # Guards against a group that is checked as the endpoint is chosen, and not as the bytes are sent.
    harness = keyed_reducer()
    harness.submit(cls="keyed")
    harness.finish_read()
    forward = harness.fail_first_write(Status.RESET)
    limits = harness.now, False, harness.now + forward.time_left
    assert harness.state.send_denial(forward, *limits) is None
    harness.apply(ev.EndpointsUpdated((replace(forward.endpoint, **change),), complete=False))
    assert harness.state.send_denial(forward, *limits) is Denial.NOT_LISTED


def test_group_of_a_repeat_is_that_of_the_first_send():
    # Guards against a list update that moves the endpoint of the first attempt into another group.
    harness, writer = keyed_request(Group.CELL)
    cell = {each.server: each.cell for each in FLEET}.get(writer, writer - 23)
    moved = entry(writer, "writer", 1 - cell)
    harness.send_event(api.ServerListUpdate((moved,), whole=False))
    harness.outcome(Status.ERROR, writer, attempt=1)
    cells = {**{each.server: each.cell for each in FLEET}, 23: 0, 24: 1, writer: 1 - cell}
    assert [cells[server] for server in harness.sent()] == [cell]
