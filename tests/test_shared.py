"""What conductors share: budgets by a model, counts, verdicts, and rounds at the engine's stand-in."""

import asyncio
import heapq
import random
from collections import deque
from datetime import timedelta

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from lease_world import ms

from hoplane.lab.engine import Engine
from hoplane.lab.store import Store
from hoplane.lease.choice import Terms
from hoplane.lease.etcd import Etcd
from hoplane.lease.keeper import clock
from hoplane.shared.counts import Counter
from hoplane.shared.escrow import Budget, Purse
from hoplane.shared.sharing import Sharing
from hoplane.shared.verdicts import Rule, Verdicts

SAME = settings(derandomize=True, database=None, deadline=None, max_examples=120)
BUDGET = Budget(bound=20, window=ms(500), most=4, reserve=0.2)
TERMS = Terms(ttl=ms(3000), act=ms(500), drift=0.05)


class Lasting(Purse):
    """A purse whose slice is spent until its lease may end, not until a window before that."""

    def renewed(self, sent, span):
        self.until = max(self.until, sent + span)


class Hasty(Purse):
    """A purse whose cut is written at once, not a window later."""

    def wanted(self, now, members, others):
        if self.cut_at is not None:
            self.cut_at = now - self.budget.window
        return super().wanted(now, members, others)


class Trusting(Purse):
    """A purse that lets a send go once it was decided on, however long ago."""

    def go(self, now):
        if not super().go(now):
            self.spend(now)
        return True


class Fleet:
    """Members that spend all they may; an outage cuts a member off from the engine for some ms.

    A decided send goes some ms later. A stall holds a member, with all it does and decided, for some ms."""

    def __init__(self, rates, joins, outages, kind=Purse, seed=1, stalls=()):
        self.stalls, self.decided = stalls, [deque() for _ in rates]
        self.store, self.rng, self.at = Store(), random.Random(seed), 0
        self.rates, self.joins, self.outages = rates, joins, outages
        self.purses = [kind(BUDGET) for _ in rates]
        self.leases, self.held = [0] * len(rates), {}  # at the engine, by member: (lease, amount)
        self.spends, self.queue = [], [(joins[who], who) for who in range(len(rates))]
        heapq.heapify(self.queue)

    def local(self, who):
        return ms(self.at) * self.rates[who]

    def stalled(self, who):
        return any(w == who and start <= self.at < start + length for w, start, length in self.stalls)

    def cut(self, who):
        return any(w == who and start <= self.at < start + length for w, start, length in self.outages)

    def round(self, who):
        """Renew, read and write as `Sharing.round` does; a member that is cut off changes nothing."""
        now, purse = ms(self.at), self.purses[who]
        self.store.expire(now)
        self.held = {m: (lease, a) for m, (lease, a) in self.held.items() if lease in self.store.leases}
        if not self.cut(who) and not self.stalled(who):
            if not self.leases[who] or not self.store.renew(now, self.leases[who]):
                purse.lost()
                self.leases[who] = self.store.grant(now, TERMS.ttl)
            purse.renewed(self.local(who), TERMS.span)
            others = [amount for member, (_, amount) in self.held.items() if member != who]
            amount = purse.wanted(self.local(who), len(others) + 1, sum(others))
            self.held[who] = self.leases[who], amount
            purse.written(amount)
        heapq.heappush(self.queue, (self.at + self.rng.randint(150, 350), who))

    def run(self, until):
        while self.at < until:
            self.at += 10
            while self.queue and self.queue[0][0] <= self.at:
                self.round(heapq.heappop(self.queue)[1])
            for who, purse in enumerate(self.purses):
                if self.stalled(who):
                    continue
                while self.decided[who] and self.decided[who][0] <= self.at:
                    self.decided[who].popleft()
                    if purse.go(self.local(who)):
                        self.spends.append(self.at)
                while self.at >= self.joins[who] and purse.may_spend(self.local(who)):
                    purse.book(self.local(who))
                    self.decided[who].append(self.at + 10)
        return self

    def most(self):
        """Give the most that was spent in any window of the fastest clock."""
        window, found, first = BUDGET.window / ms(1) / max(*self.rates, 1.0), 0, 0
        for last, at in enumerate(self.spends):
            while self.spends[first] <= at - window:
                first += 1
            found = max(found, last - first + 1)
        return found


OUTAGES = st.lists(
    st.tuples(st.integers(0, 2), st.integers(500, 6000), st.integers(300, 4000)),
    max_size=5,
)
RATES = st.lists(st.sampled_from([0.95, 1.0, 1.05]), min_size=2, max_size=3)


@SAME
@given(RATES, OUTAGES, st.integers(0, 4000), OUTAGES)
@example([0.95, 0.95, 0.95], [(1, 500, 2461)], 2951, [])  # a cut within the window of another
def test_the_fleet_never_spends_over_the_bound_whoever_is_cut_off(rates, outages, late, stalls):
    joins = [0, *[late] * (len(rates) - 1)]
    assert Fleet(rates, joins, outages, stalls=stalls).run(9000).most() <= BUDGET.bound


@SAME
@given(RATES)
def test_a_fleet_that_hears_the_engine_spends_most_of_the_bound(rates):
    assert Fleet(rates, [0] * len(rates), []).run(5000).most() >= BUDGET.bound * 0.6


def overspent(kind):
    found = []
    for start in range(600, 3000, 300):
        for join in range(0, 4000, 400):
            for rates in ((0.95, 1.0), (1.0, 1.0)):
                fleet = Fleet(rates, [0, join], [(0, start, 4000)], kind).run(7000)
                found += [(start, join, rates)] if fleet.most() > BUDGET.bound else []
    return found


@pytest.mark.parametrize("kind", [Lasting, Hasty])
def test_the_search_finds_an_overspend_once_slices_are_not_void_before_they_are_granted_again(kind):
    assert overspent(kind)


def test_the_search_finds_an_overspend_once_what_was_decided_before_a_standstill_goes_after_it():
    def most(kind, start):
        return Fleet((1.0, 1.0), [0, 0], [], kind, stalls=[(0, start, 4000)]).run(start + 4600).most()

    starts = range(1000, 2600, 10)
    assert any(most(Trusting, start) > BUDGET.bound for start in starts)
    assert all(most(Purse, start) <= BUDGET.bound for start in starts)


def test_a_booked_send_keeps_its_room_and_goes_only_while_it_fits():
    purse = Purse(Budget(bound=10, window=ms(500), most=1, reserve=0.2))
    purse.renewed(ms(0), ms(2000))
    purse.written(8.0)
    for _ in range(10):
        assert purse.may_spend(ms(100))
        purse.book(ms(100))
    assert not purse.may_spend(ms(599)), "all of it is booked"
    assert [purse.go(ms(550)) for _ in range(10)] == [True] * 10
    assert not purse.may_spend(ms(1049)) and purse.may_spend(ms(1050)), "and spent when it went"
    for _ in range(10):
        purse.book(ms(1400))
    assert [purse.go(ms(1600)) for _ in range(10)] == [False] * 8 + [True] * 2, "the slice is void"
    assert overspent(Purse) == []


def test_a_conductor_that_hears_nothing_falls_back_to_its_floor():
    purse = Purse(BUDGET)
    purse.renewed(ms(0), TERMS.span)
    purse.written(purse.wanted(ms(0), 1, 0.0))
    assert purse.allowance(ms(100)) == BUDGET.bound - 3 * BUDGET.floor
    assert purse.allowance(TERMS.span - BUDGET.window) == BUDGET.floor, "a window before the lease can end"


def test_in_a_fleet_larger_than_the_bound_some_hold_what_a_whole_send_needs():
    budget = Budget(bound=20, window=ms(500), most=50, reserve=0.3)
    purses, held = [Purse(budget) for _ in range(50)], []
    for purse in purses:
        purse.renewed(ms(0), ms(100_000))
        purse.written(purse.wanted(ms(0), 50, sum(held)))
        held.append(purse.held)
    spending = sum(purse.may_spend(ms(1)) for purse in purses)
    assert spending == 15 and sum(held) <= budget.pool


def test_a_second_cut_is_written_a_window_after_itself():
    purse = Purse(BUDGET)
    purse.renewed(ms(0), ms(100_000))
    purse.written(purse.wanted(ms(0), 1, 0.0))
    purse.wanted(ms(10), 2, 0.0)
    assert purse.wanted(ms(400), 4, 0.0) == purse.held and purse.slice == BUDGET.pool / 4
    assert purse.wanted(ms(600), 4, 0.0) == purse.held, "not a window after the first"
    assert purse.wanted(ms(900), 4, 0.0) == BUDGET.pool / 4


def test_slices_follow_the_number_of_conductors():
    purse = Purse(BUDGET)
    purse.renewed(ms(0), ms(100_000))
    purse.written(purse.wanted(ms(0), 1, 0.0))
    assert purse.wanted(ms(10), 2, 0.0) == purse.held, "the cut is written a window later"
    assert purse.slice == BUDGET.pool / 2, "but spent by at once"
    assert purse.wanted(ms(510), 2, 0.0) == BUDGET.pool / 2
    purse.written(BUDGET.pool / 2)
    assert purse.wanted(ms(600), 1, 0.0) == BUDGET.pool, "and back as the other goes"


@pytest.mark.parametrize(
    ("told", "text"),
    [
        ({"bound": 0}, "bound: "),
        ({"most": 0}, "most: "),
        ({"reserve": 1.5}, "reserve: "),
        ({"window": ms(0)}, "window_ms: "),
    ],
)
def test_budgets_that_bound_nothing_are_refused(told, text):
    with pytest.raises(ValueError, match=text):
        Budget(**{"bound": 1.0, "window": ms(1), "most": 1, **told})


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("ab"), st.integers(0, 5))), st.randoms())
@SAME
def test_counts_agree_whatever_the_order_and_number_of_reports(adds, rng):
    counters, reports = [Counter(f"p{n}") for n in range(3)], []
    for who, name, more in adds:
        counters[who].add(name, more)
        reports.append((counters[who].me, dict(counters[who].mine)))
    reports += reports
    for counter in counters:
        rng.shuffle(reports)
        for process, counts in reports:
            counter.take(process, counts)
    whole = {}
    for _, name, more in adds:
        whole[name] = whole.get(name, 0) + more
    assert all(counter.total() == whole for counter in counters)


LISTED = ["a", "b", "c", "d"]


def test_the_fleet_avoids_an_endpoint_after_so_many_failures_of_all_and_for_a_stated_time():
    verdicts = Verdicts(Rule(need=3, keep=ms(4000)))
    verdicts.failed(ms(0), "a")
    verdicts.take(ms(100), "other", {"a": [ms(50)]})
    assert verdicts.avoided(ms(100), LISTED) == {}
    verdicts.take(ms(200), "third", {"a": [ms(0)]})
    assert verdicts.avoided(ms(200), LISTED) == {"a": ms(4000)}
    assert verdicts.avoided(ms(4001), LISTED) == {}, "however long the reports stay"


def test_an_answer_takes_back_our_own_evidence_alone():
    verdicts = Verdicts(Rule(need=1))
    verdicts.failed(ms(0), "a")
    verdicts.answered("a")
    assert verdicts.avoided(ms(0), LISTED) == {} and verdicts.report(ms(0)) == {}
    verdicts.take(ms(0), "other", {"a": [ms(0)]})
    verdicts.answered("a")
    assert "a" in verdicts.avoided(ms(0), LISTED)


def test_a_conductor_that_tells_of_most_endpoints_is_not_heard_and_half_stay_in_use():
    verdicts = Verdicts(Rule(need=2))
    verdicts.take(ms(0), "ill", {name: [ms(0), ms(0)] for name in "abc"})
    assert verdicts.avoided(ms(0), LISTED) == {}
    for who, names in (("x", "ab"), ("y", "bc"), ("z", "cd")):
        verdicts.take(ms(0), who, {name: [ms(0), ms(0)] for name in names})
    assert sorted(verdicts.avoided(ms(0), LISTED)) == ["b", "c"], "the surest two"


def test_a_late_report_counts_from_when_its_failures_were():
    verdicts = Verdicts(Rule(need=1, keep=ms(1000)))
    verdicts.take(ms(5000), "other", {"a": [ms(400)]}, since=ms(700))
    assert verdicts.avoided(ms(5000), LISTED) == {}


def member(engine, name, seed=1):
    sharing = Sharing(name, Etcd([engine.address], ms(300)), TERMS, Rule(need=2), ms(50), clock(), seed)
    return sharing, sharing.budget("cold/x", BUDGET)


async def rounds(*sharings, times=6):
    for _ in range(times):
        for sharing in sharings:
            await sharing.round()
        await asyncio.sleep(0.15)


def test_rounds_share_slices_counts_and_verdicts_and_give_them_back():
    async def play():
        async with Engine() as engine:
            (one, purse), (two, other) = member(engine, "one"), member(engine, "two")
            try:
                await one.round()
                assert purse.held == BUDGET.pool and one.members == 1
                one.counter.add("only/answered", 3)
                two.counter.add("only/answered", 4)
                one.verdicts.failed(one.now(), "e")
                two.verdicts.failed(two.now(), "e")
                await rounds(one, two)
                assert purse.held == other.held == BUDGET.pool / 2 and one.members == two.members == 2
                assert one.counter.total() == two.counter.total() == {"only/answered": 7}
                assert set(two.verdicts.avoided(two.now(), ["e", "f"])) == {"e"}
                await one.stop()
                await rounds(two, times=2)
                assert other.held == BUDGET.pool and two.members == 1
                assert two.counter.total() == {"only/answered": 7}, "what an ended process counted stays"
            finally:
                await one.engine.close()
                await two.engine.close()

    asyncio.run(play())


def test_two_raises_at_the_same_moment_do_not_both_pass():
    async def play():
        async with Engine() as engine:
            pair = [member(engine, name) for name in ("one", "two")]
            try:
                await asyncio.gather(*(sharing.round() for sharing, _ in pair))
                assert sum(purse.held for _, purse in pair) <= BUDGET.pool
                await rounds(*(sharing for sharing, _ in pair))
                assert sum(purse.held for _, purse in pair) == BUDGET.pool
            finally:
                for sharing, _ in pair:
                    await sharing.engine.close()

    asyncio.run(play())


def test_what_others_wrote_badly_holds_nothing_and_breaks_nothing():
    async def play():
        async with Engine() as engine:
            sharing, purse = member(engine, "one")
            try:
                for at, value in enumerate((b"{", b"[]", b'{"slices": 3}', b'{"slices": {"cold/x": "y"}}')):
                    await sharing.engine.commit({}, [(b"hoplane/shared/live/bad%d" % at, value, 0)])
                await sharing.round()
                assert purse.held > 0
            finally:
                await sharing.engine.close()

    asyncio.run(play())


def test_a_lost_lease_voids_slices_until_they_are_granted_anew():
    async def play():
        async with Engine() as engine:
            sharing, purse = member(engine, "one")
            try:
                await sharing.round()
                engine.store.revoke(timedelta(), sharing.lease)
                sharing.lose()
                assert purse.allowance(sharing.now()) == BUDGET.floor
                await sharing.round()
                assert purse.held == BUDGET.pool
            finally:
                await sharing.engine.close()

    asyncio.run(play())
