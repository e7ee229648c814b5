"""The mechanism: later turns, averages, spill, rows; and the same actions for the same events."""

import os
import subprocess
import sys

import pytest
from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, Desk, S, entry

from hoplane.decision import interface as api
from hoplane.decision import router
from hoplane.decision.interface import Status
from hoplane.decision.state import MovingAverage

LATER = {"prompt_tokens": 4000, "prefix_len": 3500, "session": "s", "prefix": "p"}


@pytest.fixture(autouse=True)
def no_remote_share(monkeypatch):
    monkeypatch.setattr(router, "REMOTE_EXPLORATION_SHARE", 0.0)


def with_row(**changes):
    desk = Desk(**changes)
    return desk, desk.serve("r1", **LATER)


def fill(desk, local, remote):
    """Set the averages of every cell a later turn here can fall into."""
    for long in (0, 1):
        for heavy in (0, 1):
            for load in (0, 1):
                desk.router.path_averages_by_bucket[(long, heavy, load), True] = (
                    MovingAverage(local[0]),
                    MovingAverage(local[1]),
                )
                desk.router.path_averages_by_bucket[(long, heavy, load), False] = (
                    MovingAverage(remote[0]),
                    MovingAverage(remote[1]),
                )


def test_a_first_turn_passes_through_a_reader(desk):
    desk.ask()
    assert desk.sent()[0] in (READER_A, READER_B)


def test_the_state_goes_to_a_writer_of_the_readers_cell(desk):
    desk.ask()
    reader = desk.sent()[0]
    desk.outcome(Status.MISS, reader)
    assert desk.sent() == [{READER_A: WRITER_A, READER_B: WRITER_B}[reader]]


def test_a_later_turn_in_an_empty_cell_with_few_new_tokens_is_local():
    desk, writer = with_row()
    desk.router.path_averages_by_bucket.clear()
    desk.ask("r2", **LATER)
    assert desk.sent() == [writer]


def test_a_later_turn_in_an_empty_cell_with_many_new_tokens_is_remote():
    desk, _ = with_row()
    desk.router.path_averages_by_bucket.clear()
    desk.ask("r2", **{**LATER, "prompt_tokens": 20_000, "prefix_len": 17_000})
    assert desk.sent()[0] in (READER_A, READER_B)


def test_new_tokens_over_a_quarter_of_the_prompt_are_remote():
    desk, _ = with_row()
    desk.ask("r2", **{**LATER, "prefix_len": 2900})
    assert desk.sent()[0] in (READER_A, READER_B)


def test_a_busy_writer_is_left_for_the_reader_path():
    desk, writer = with_row(fleet=(*FLEET, entry(23, "writer", 1)))
    desk.router.servers[writer].streams = 50
    desk.ask("r2", **LATER)
    assert desk.sent()[0] in (READER_A, READER_B)


@pytest.mark.parametrize(
    ("local", "remote", "goes_local"),
    [
        ((50 * MS, 10 * MS), (100 * MS, 10 * MS), True),  # first tokens sooner, same pace
        ((100 * MS, 10 * MS), (50 * MS, 10 * MS), False),  # first tokens later
        ((50 * MS, 20 * MS), (100 * MS, 10 * MS), False),  # half the wait, but twice the pace: 0.5 - 1
        ((50 * MS, 14 * MS), (100 * MS, 10 * MS), True),  # 0.5 - 0.4
    ],
)
def test_the_score_decides_where_both_averages_are_known(local, remote, goes_local):
    desk, writer = with_row()
    fill(desk, local, remote)
    desk.ask("r2", **LATER)
    assert (desk.sent() == [writer]) is goes_local


def test_a_small_share_goes_remote_all_the_same(monkeypatch):
    desk, _ = with_row()
    fill(desk, (50 * MS, 10 * MS), (100 * MS, 10 * MS))
    monkeypatch.setattr(router, "REMOTE_EXPLORATION_SHARE", 1.0)
    desk.ask("r2", **LATER)
    assert desk.sent()[0] in (READER_A, READER_B)


def test_an_idle_row_is_dropped():
    desk, _ = with_row()
    desk.ask("x", after=121 * S)
    desk.run_timers(desk.now + 100 * MS)
    assert "s" not in desk.router.sessions


def test_a_row_without_a_session_is_kept_by_prefix():
    desk = Desk()
    writer = desk.serve("r1", **{**LATER, "session": None})
    assert desk.router.sessions["p"].writer == writer


def test_answers_feed_both_averages_of_the_path_they_took():
    desk = Desk()
    desk.ask("r1", **LATER)
    desk.outcome(Status.MISS, desk.sent()[0], "r1", after=30 * MS)
    writer = desk.sent()[0]
    desk.first(writer, "r1", after=20 * MS)
    desk.outcome(Status.OK, writer, "r1", 1, after=2 * S, closed=True)
    ((key, (ttft, pace)),) = desk.router.path_averages_by_bucket.items()
    assert key[1] is False and ttft.value == 50 * MS and pace.value == 2 * S / 200


def test_one_prefix_is_read_at_one_home_from_every_router():
    fleet = tuple(entry(100 + n, "reader") for n in range(8)) + FLEET[2:]
    homes = set()
    for seed in range(4):
        desk = Desk(fleet=fleet, seed=seed)
        desk.ask("r", prefix="p7")
        homes.update(desk.sent())
    assert len(homes) == 1


def test_a_home_past_its_bound_spills_in_ring_order():
    fleet = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]
    desk = Desk(fleet=fleet, retry_after=True)  # so that the guess of what is unread stays at the worst case
    desk.router.read_speed = 10_000.0  # half the aim: 5,000 tokens
    order = [server.entry.server for server in desk.router.ring.walk("p7")]
    sent = []
    for number in range(7):
        desk.ask(f"r{number}", session="p7", prompt_tokens=2000)
        sent += desk.sent()
    assert sent == [order[0]] * 3 + [order[1]] * 3 + [order[2]]


def test_a_session_goes_back_to_the_reader_that_read_it():
    desk = Desk()
    desk.serve("r1", session="s", prefix="p")
    reader = desk.router.sessions["s"].reader
    other = READER_A + READER_B - reader
    desk.router.sessions["s"].reader = other
    desk.ask("r2", session="s", prefix="p")
    assert desk.sent() == [other]


def test_rows_of_a_writer_that_lost_its_kept_tokens_count_no_more():
    desk, writer = with_row()
    desk.ask("r2", **LATER)
    assert desk.sent() == [writer]
    desk.first(writer, "r2", 0)
    desk.outcome(Status.OK, writer, "r2", 0, after=S, closed=True, detail=0)
    desk.router.sessions["old"] = desk.router.sessions["s"]
    desk.router.sessions["old"].updated_at -= 2 * S
    desk.ask("r3", **{**LATER, "session": "old"})
    assert desk.sent()[0] in (READER_A, READER_B)


def test_a_restarted_writer_holds_no_rows():
    desk, writer = with_row()
    cell = {WRITER_A: 0, WRITER_B: 1}[writer]
    desk.do(api.ServerListUpdate((entry(writer, "writer", cell, born=desk.now - S),), whole=False), after=MS)
    desk.ask("r2", **LATER)
    assert desk.sent()[0] in (READER_A, READER_B)


SCRIPT = """
from conftest import Desk, S, MS
from hoplane.decision import interface as api
desk = Desk(seed=5)
out = []
for n in range(200):
    out += desk.ask(f"r{n}", session=f"s{n % 40}", prefix=f"p{n % 7}", prefix_len=1800, after=20 * MS)
    if (sent := desk.sent()) and n % 3:
        out += desk.outcome(api.Status.MISS, sent[0], f"r{n}")
    out += desk.run_timers(desk.now + 5 * MS)
print(out)
"""


def test_the_same_events_give_the_same_actions_under_any_hash_seed():
    here = os.path.dirname(__file__)
    path = os.pathsep.join([here, os.path.dirname(here)])
    results = set()
    for seed in ("0", "1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path}
        run = subprocess.run([sys.executable, "-c", SCRIPT], env=env, capture_output=True, check=True)
        results.add(run.stdout)
    assert len(results) == 1 and len(results.pop()) > 1000


def test_the_same_prefix_has_the_same_home_at_every_router_and_a_hot_one_several():
    fleet = tuple(entry(100 + n, "reader") for n in range(20)) + FLEET[2:]
    homes = {Desk(fleet=fleet, seed=seed).ask("r", prefix="p")[-1].server for seed in range(10)}
    assert len(homes) == 1
    desk, drawn = Desk(fleet=fleet), set()
    for number in range(60):
        desk.ask(f"r{number}", prefix="p", after=S)
        drawn.update(desk.sent())
        desk.leave(f"r{number}")
    assert 3 < len(drawn) <= 20


def test_a_prefix_that_many_routers_have_hardly_seen_is_not_read_at_one_home_by_all_of_them():
    """Each of many sees too little to know a hot one; one that has seen much reads a rare one at its home."""
    fleet = tuple(entry(100 + n, "reader") for n in range(60)) + FLEET[2:]

    def home(router, before, routers):
        desk = Desk(fleet=fleet, seed=router, routers=routers)
        for number in range(before):
            desk.ask(f"b{number}", prefix=f"other {number}")
            desk.leave(f"b{number}")
        desk.ask("r", prefix="hot", session=f"s{router}")
        return desk.sent()[0]

    assert len({home(router, 2, 200) for router in range(40)}) >= 6
    assert len({home(router, 300, 200) for router in range(4)}) == 1
    assert len({home(router, 2, 60) for router in range(40)}) == 1, "as many readers as routers"


def test_a_reader_beside_few_writers_has_less_of_the_ring():
    fleet = (
        *(entry(100 + n, "reader", 0) for n in range(3)),
        entry(200, "writer", 0),
        entry(110, "reader", 1),
        *(entry(210 + n, "writer", 1) for n in range(3)),
    )
    ring = Desk(fleet=fleet).router.ring
    virtual_nodes = [server.entry.server for _, server in ring.virtual_nodes]
    assert virtual_nodes.count(100) * 2 == virtual_nodes.count(110)
    assert 200 not in virtual_nodes


def test_equal_writers_are_not_chosen_alike_by_all_routers():
    fleet = (FLEET[0], *(entry(200 + n, "writer", 0) for n in range(6)))
    chosen = {Desk(fleet=fleet, seed=seed).serve() for seed in range(20)}
    assert len(chosen) > 3


def test_routers_that_count_a_prefix_a_little_differently_mostly_agree_on_a_sessions_reader():
    fleet = tuple(entry(100 + n, "reader") for n in range(20)) + FLEET[2:]
    few, many = Desk(fleet=fleet), Desk(fleet=fleet)
    for desk, count in ((few, 20), (many, 28)):
        for prefix, times in (("p", count), ("other", 80)):
            for number in range(times):
                desk.ask(f"{prefix}{number}", prefix=prefix, after=100 * MS)
                desk.leave(f"{prefix}{number}")
    same = 0
    for number in range(60):
        readers = {desk.ask(f"s{number}", prefix="p") and desk.sent()[0] for desk in (few, many)}
        same += len(readers) == 1
        for desk in (few, many):
            desk.leave(f"s{number}")
    assert same > 36
