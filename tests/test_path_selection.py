"""Selection of path and server: local turns, averages, spilling, session records, determinism."""

import os
import subprocess
import sys

import pytest
from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, Harness, S, entry

from hoplane.decision import interface as api
from hoplane.decision import router
from hoplane.decision.interface import Status
from hoplane.decision.state import MovingAverage

LATER = {"prompt_tokens": 4000, "prefix_tokens": 3500, "session": "s", "prefix": "p"}


@pytest.fixture(autouse=True)
def no_remote_exploration(monkeypatch):
    monkeypatch.setattr(router, "REMOTE_EXPLORATION_SHARE", 0.0)


def with_session_record(**changes):
    harness = Harness(**changes)
    return harness, harness.serve("r1", **LATER)


def set_path_averages(harness, local, remote):
    """Set the averages of every bucket that a later turn may fall into."""
    for long in (0, 1):
        for heavy in (0, 1):
            for load in (0, 1):
                harness.router.path_averages_by_bucket[(long, heavy, load), True] = (
                    MovingAverage(local[0]),
                    MovingAverage(local[1]),
                )
                harness.router.path_averages_by_bucket[(long, heavy, load), False] = (
                    MovingAverage(remote[0]),
                    MovingAverage(remote[1]),
                )


def test_first_turn_is_sent_to_a_reader(harness):
    harness.submit()
    assert harness.sent()[0] in (READER_A, READER_B)


def test_read_state_goes_to_a_writer_in_the_readers_cell(harness):
    harness.submit()
    reader = harness.sent()[0]
    harness.outcome(Status.MISS, reader)
    assert harness.sent() == [{READER_A: WRITER_A, READER_B: WRITER_B}[reader]]


def test_later_turn_without_averages_and_with_few_new_tokens_is_local():
    harness, writer = with_session_record()
    harness.router.path_averages_by_bucket.clear()
    harness.submit("r2", **LATER)
    assert harness.sent() == [writer]


def test_later_turn_without_averages_and_with_many_new_tokens_is_remote():
    harness, _ = with_session_record()
    harness.router.path_averages_by_bucket.clear()
    harness.submit("r2", **{**LATER, "prompt_tokens": 20_000, "prefix_tokens": 17_000})
    assert harness.sent()[0] in (READER_A, READER_B)


def test_turn_with_new_tokens_over_a_quarter_of_the_prompt_is_remote():
    harness, _ = with_session_record()
    harness.submit("r2", **{**LATER, "prefix_tokens": 2900})
    assert harness.sent()[0] in (READER_A, READER_B)


def test_turn_of_an_overloaded_writer_is_remote():
    harness, writer = with_session_record(fleet=(*FLEET, entry(23, "writer", 1)))
    harness.router.servers[writer].streams = 50
    harness.submit("r2", **LATER)
    assert harness.sent()[0] in (READER_A, READER_B)


@pytest.mark.parametrize(
    ("local", "remote", "is_local"),
    [
        ((50 * MS, 10 * MS), (100 * MS, 10 * MS), True),  # earlier first token, same time per output token
        ((100 * MS, 10 * MS), (50 * MS, 10 * MS), False),  # later first token
        (
            (50 * MS, 20 * MS),
            (100 * MS, 10 * MS),
            False,
        ),  # half the TTFT, but twice the time per output token: 0.5 - 1
        ((50 * MS, 14 * MS), (100 * MS, 10 * MS), True),  # 0.5 - 0.4
    ],
)
def test_score_selects_the_path_when_both_averages_are_known(local, remote, is_local):
    harness, writer = with_session_record()
    set_path_averages(harness, local, remote)
    harness.submit("r2", **LATER)
    assert (harness.sent() == [writer]) is is_local


def test_exploration_share_is_remote(monkeypatch):
    harness, _ = with_session_record()
    set_path_averages(harness, (50 * MS, 10 * MS), (100 * MS, 10 * MS))
    monkeypatch.setattr(router, "REMOTE_EXPLORATION_SHARE", 1.0)
    harness.submit("r2", **LATER)
    assert harness.sent()[0] in (READER_A, READER_B)


def test_idle_session_record_is_dropped():
    harness, _ = with_session_record()
    harness.submit("x", after=121 * S)
    harness.run_timers(harness.now + 100 * MS)
    assert "s" not in harness.router.sessions


def test_record_without_a_session_is_stored_by_prefix():
    harness = Harness()
    writer = harness.serve("r1", **{**LATER, "session": None})
    assert harness.router.sessions["p"].writer == writer


def test_answers_update_both_averages_of_their_path():
    harness = Harness()
    harness.submit("r1", **LATER)
    harness.outcome(Status.MISS, harness.sent()[0], "r1", after=30 * MS)
    writer = harness.sent()[0]
    harness.first_token(writer, "r1", after=20 * MS)
    harness.outcome(Status.OK, writer, "r1", 1, after=2 * S, closed=True)
    ((key, (ttft, pace)),) = harness.router.path_averages_by_bucket.items()
    assert key[1] is False and ttft.value == 50 * MS and pace.value == 2 * S / 200


def test_all_routers_send_a_prefix_to_one_reader():
    fleet = tuple(entry(100 + n, "reader") for n in range(8)) + FLEET[2:]
    readers = set()
    for seed in range(4):
        harness = Harness(fleet=fleet, seed=seed)
        harness.submit("r", prefix="p7")
        readers.update(harness.sent())
    assert len(readers) == 1


def test_reader_over_its_backlog_bound_spills_in_ring_order():
    fleet = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]
    harness = Harness(
        fleet=fleet, retry_after=True
    )  # with retry_after the estimate of unread tokens is pessimistic
    harness.router.read_speed = 10_000.0  # half the aim: 5,000 tokens
    order = [server.entry.server for server in harness.router.ring.walk("p7")]
    sent = []
    for number in range(7):
        harness.submit(f"r{number}", session="p7", prompt_tokens=2000)
        sent += harness.sent()
    assert sent == [order[0]] * 3 + [order[1]] * 3 + [order[2]]


def test_session_returns_to_its_last_reader():
    harness = Harness()
    harness.serve("r1", session="s", prefix="p")
    reader = harness.router.sessions["s"].reader
    other = READER_A + READER_B - reader
    harness.router.sessions["s"].reader = other
    harness.submit("r2", session="s", prefix="p")
    assert harness.sent() == [other]


def test_session_records_of_a_writer_that_lost_its_cache_are_void():
    harness, writer = with_session_record()
    harness.submit("r2", **LATER)
    assert harness.sent() == [writer]
    harness.first_token(writer, "r2", 0)
    harness.outcome(Status.OK, writer, "r2", 0, after=S, closed=True, detail=0)
    harness.router.sessions["old"] = harness.router.sessions["s"]
    harness.router.sessions["old"].updated_at -= 2 * S
    harness.submit("r3", **{**LATER, "session": "old"})
    assert harness.sent()[0] in (READER_A, READER_B)


def test_session_records_of_a_restarted_writer_are_void():
    harness, writer = with_session_record()
    cell = {WRITER_A: 0, WRITER_B: 1}[writer]
    harness.send_event(
        api.ServerListUpdate((entry(writer, "writer", cell, started_at=harness.now - S),), whole=False),
        after=MS,
    )
    harness.submit("r2", **LATER)
    assert harness.sent()[0] in (READER_A, READER_B)


SCRIPT = """
from conftest import Harness, S, MS
from hoplane.decision import interface as api
harness = Harness(seed=5)
out = []
for n in range(200):
    fields = {"session": f"s{n % 40}", "prefix": f"p{n % 7}", "prefix_tokens": 1800}
    out += harness.submit(f"r{n}", after=20 * MS, **fields)
    if (sent := harness.sent()) and n % 3:
        out += harness.outcome(api.Status.MISS, sent[0], f"r{n}")
    out += harness.run_timers(harness.now + 5 * MS)
print(out)
"""


def test_actions_do_not_depend_on_the_hash_seed():
    here = os.path.dirname(__file__)
    path = os.pathsep.join([here, os.path.dirname(here)])
    results = set()
    for seed in ("0", "1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path}
        run = subprocess.run([sys.executable, "-c", SCRIPT], env=env, capture_output=True, check=True)
        results.add(run.stdout)
    assert len(results) == 1 and len(results.pop()) > 1000


def test_prefix_has_the_same_reader_at_every_router_and_a_hot_one_several():
    fleet = tuple(entry(100 + n, "reader") for n in range(20)) + FLEET[2:]
    readers = {Harness(fleet=fleet, seed=seed).submit("r", prefix="p")[-1].server for seed in range(10)}
    assert len(readers) == 1
    harness, chosen = Harness(fleet=fleet), set()
    for number in range(60):
        harness.submit(f"r{number}", prefix="p", after=S)
        chosen.update(harness.sent())
        harness.disconnect(f"r{number}")
    assert 3 < len(chosen) <= 20


def test_prefix_that_each_of_many_routers_sees_rarely_is_spread_over_readers():
    """A router that has seen few requests spreads a prefix, since other routers may see it too.

    A router that has seen many requests sends a rare prefix to its first reader."""
    fleet = tuple(entry(100 + n, "reader") for n in range(60)) + FLEET[2:]

    def first_reader(router, before, routers):
        harness = Harness(fleet=fleet, seed=router, routers=routers)
        for number in range(before):
            harness.submit(f"b{number}", prefix=f"other {number}")
            harness.disconnect(f"b{number}")
        harness.submit("r", prefix="hot", session=f"s{router}")
        return harness.sent()[0]

    assert len({first_reader(router, 2, 200) for router in range(40)}) >= 6
    assert len({first_reader(router, 300, 200) for router in range(4)}) == 1
    assert len({first_reader(router, 2, 60) for router in range(40)}) == 1, (
        "with as many readers as routers there is no spreading"
    )


def test_reader_in_a_cell_with_few_writers_has_fewer_virtual_nodes():
    fleet = (
        *(entry(100 + n, "reader", 0) for n in range(3)),
        entry(200, "writer", 0),
        entry(110, "reader", 1),
        *(entry(210 + n, "writer", 1) for n in range(3)),
    )
    ring = Harness(fleet=fleet).router.ring
    virtual_nodes = [server.entry.server for _, server in ring.virtual_nodes]
    assert virtual_nodes.count(100) * 2 == virtual_nodes.count(110)
    assert 200 not in virtual_nodes


def test_routers_choose_different_writers_among_equal_ones():
    fleet = (FLEET[0], *(entry(200 + n, "writer", 0) for n in range(6)))
    chosen = {Harness(fleet=fleet, seed=seed).serve() for seed in range(20)}
    assert len(chosen) > 3


def test_routers_with_slightly_different_prefix_counts_mostly_agree_on_a_sessions_reader():
    fleet = tuple(entry(100 + n, "reader") for n in range(20)) + FLEET[2:]
    low_count, high_count = Harness(fleet=fleet), Harness(fleet=fleet)
    for harness, count in ((low_count, 20), (high_count, 28)):
        for prefix, times in (("p", count), ("other", 80)):
            for number in range(times):
                harness.submit(f"{prefix}{number}", prefix=prefix, after=100 * MS)
                harness.disconnect(f"{prefix}{number}")
    same = 0
    for number in range(60):
        readers = {
            harness.submit(f"s{number}", prefix="p") and harness.sent()[0]
            for harness in (low_count, high_count)
        }
        same += len(readers) == 1
        for harness in (low_count, high_count):
            harness.disconnect(f"s{number}")
    assert same > 36
