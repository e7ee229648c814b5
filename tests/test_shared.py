"""Shared state: budgets in a fleet model, counts, outlier detection, and synchronization on a fake etcd."""

import asyncio
import heapq
import random
from collections import deque
from datetime import timedelta

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from lease_world import ms

from hoplane.lab.etcd_stub import EtcdStub
from hoplane.lab.key_value_store import KeyValueStore
from hoplane.lease.elector import monotonic_clock
from hoplane.lease.etcd import EtcdClient
from hoplane.lease.state_machine import LeaseTerms
from hoplane.shared.budget import Budget, Quota
from hoplane.shared.fleet_sync import FleetSync
from hoplane.shared.grow_only_counter import GrowOnlyCounter
from hoplane.shared.outlier_detection import OutlierDetector, OutlierRule

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=120)
BUDGET = Budget(bound=20, window=ms(500), max_members=4, reserve=0.2)
TERMS = LeaseTerms(ttl=ms(3000), action_timeout=ms(500), drift=0.05)


class SpendsUntilLeaseEnd(Quota):
    """Faulty quota that spends its slice until the lease can expire, not until a window before that."""

    def on_lease_renewed(self, sent_at, safe_lifetime):
        self.valid_until = max(self.valid_until, sent_at + safe_lifetime)


class WritesReductionAtOnce(Quota):
    """Faulty quota that writes a reduction at once instead of a window later."""

    def target_slice(self, now, members, granted_to_others):
        if self.reduced_at is not None:
            self.reduced_at = now - self.budget.window
        return super().target_slice(now, members, granted_to_others)


class SendsWithoutRecheck(Quota):
    """Faulty quota that never rejects a send after the decision, however long ago that was."""

    def spend_reserved(self, now):
        if not super().spend_reserved(now):
            self.spend(now)
        return True


class FleetModel:
    """Members that spend all they may. An outage partitions a member from etcd for some ms.

    A send goes out 10 ms after the decision. A stall suspends a member and its pending sends for some ms."""

    def __init__(self, clock_rates, join_times, outages, quota_class=Quota, seed=1, stalls=()):
        self.stalls, self.pending_sends = stalls, [deque() for _ in clock_rates]
        self.store, self.rng, self.now_ms = KeyValueStore(), random.Random(seed), 0
        self.clock_rates, self.join_times, self.outages = clock_rates, join_times, outages
        self.quotas = [quota_class(BUDGET) for _ in clock_rates]
        self.leases, self.granted = [0] * len(clock_rates), {}  # in etcd, by member: (lease, amount)
        self.spends, self.queue = [], [(join_times[index], index) for index in range(len(clock_rates))]
        heapq.heapify(self.queue)

    def local_time(self, index):
        return ms(self.now_ms) * self.clock_rates[index]

    def is_stalled(self, index):
        return any(w == index and start <= self.now_ms < start + length for w, start, length in self.stalls)

    def is_cut_off(self, index):
        return any(w == index and start <= self.now_ms < start + length for w, start, length in self.outages)

    def sync_member(self, index):
        """Renew, read and write as `FleetSync.sync_once` does, unless partitioned or stalled."""
        now, quota = ms(self.now_ms), self.quotas[index]
        self.store.expire(now)
        self.granted = {m: (lease, a) for m, (lease, a) in self.granted.items() if lease in self.store.leases}
        if not self.is_cut_off(index) and not self.is_stalled(index):
            if not self.leases[index] or not self.store.renew(now, self.leases[index]):
                quota.on_lease_lost()
                self.leases[index] = self.store.grant(now, TERMS.ttl)
            quota.on_lease_renewed(self.local_time(index), TERMS.safe_lifetime)
            others = [amount for member, (_, amount) in self.granted.items() if member != index]
            amount = quota.target_slice(self.local_time(index), len(others) + 1, sum(others))
            self.granted[index] = self.leases[index], amount
            quota.on_slice_written(amount)
        heapq.heappush(self.queue, (self.now_ms + self.rng.randint(150, 350), index))

    def run(self, end_ms):
        while self.now_ms < end_ms:
            self.now_ms += 10
            while self.queue and self.queue[0][0] <= self.now_ms:
                self.sync_member(heapq.heappop(self.queue)[1])
            for index, quota in enumerate(self.quotas):
                if self.is_stalled(index):
                    continue
                while self.pending_sends[index] and self.pending_sends[index][0] <= self.now_ms:
                    self.pending_sends[index].popleft()
                    if quota.spend_reserved(self.local_time(index)):
                        self.spends.append(self.now_ms)
                while self.now_ms >= self.join_times[index] and quota.may_spend(self.local_time(index)):
                    quota.reserve_send(self.local_time(index))
                    self.pending_sends[index].append(self.now_ms + 10)
        return self

    def max_spent(self):
        """Return the maximum spent in any window of the fastest clock."""
        window, found, first = BUDGET.window / ms(1) / max(*self.clock_rates, 1.0), 0, 0
        for last, at in enumerate(self.spends):
            while self.spends[first] <= at - window:
                first += 1
            found = max(found, last - first + 1)
        return found


OUTAGES = st.lists(
    st.tuples(st.integers(0, 2), st.integers(500, 6000), st.integers(300, 4000)),
    max_size=5,
)
CLOCK_RATES = st.lists(st.sampled_from([0.95, 1.0, 1.05]), min_size=2, max_size=3)


@DETERMINISTIC
@given(CLOCK_RATES, OUTAGES, st.integers(0, 4000), OUTAGES)
@example([0.95, 0.95, 0.95], [(1, 500, 2461)], 2951, [])  # a reduction within the window of another
def test_fleet_never_exceeds_the_budget_during_partitions_and_stalls(clock_rates, outages, late_join, stalls):
    join_times = [0, *[late_join] * (len(clock_rates) - 1)]
    assert FleetModel(clock_rates, join_times, outages, stalls=stalls).run(9000).max_spent() <= BUDGET.bound


@DETERMINISTIC
@given(CLOCK_RATES)
def test_connected_fleet_uses_most_of_the_budget(clock_rates):
    assert FleetModel(clock_rates, [0] * len(clock_rates), []).run(5000).max_spent() >= BUDGET.bound * 0.6


def overspending_cases(quota_class):
    found = []
    for start in range(600, 3000, 300):
        for join in range(0, 4000, 400):
            for clock_rates in ((0.95, 1.0), (1.0, 1.0)):
                fleet = FleetModel(clock_rates, [0, join], [(0, start, 4000)], quota_class).run(7000)
                found += [(start, join, clock_rates)] if fleet.max_spent() > BUDGET.bound else []
    return found


@pytest.mark.parametrize("quota_class", [SpendsUntilLeaseEnd, WritesReductionAtOnce])
def test_fleet_overspends_if_slices_are_not_void_before_they_are_granted_again(quota_class):
    assert overspending_cases(quota_class)


def test_fleet_overspends_if_sends_decided_before_a_stall_go_out_after_it():
    def max_spent(quota_class, start):
        return (
            FleetModel((1.0, 1.0), [0, 0], [], quota_class, stalls=[(0, start, 4000)])
            .run(start + 4600)
            .max_spent()
        )

    starts = range(1000, 2600, 10)
    assert any(max_spent(SendsWithoutRecheck, start) > BUDGET.bound for start in starts)
    assert all(max_spent(Quota, start) <= BUDGET.bound for start in starts)


def test_reserved_send_counts_against_the_quota_and_goes_out_only_while_it_fits():
    quota = Quota(Budget(bound=10, window=ms(500), max_members=1, reserve=0.2))
    quota.on_lease_renewed(ms(0), ms(2000))
    quota.on_slice_written(8.0)
    for _ in range(10):
        assert quota.may_spend(ms(100))
        quota.reserve_send(ms(100))
    assert not quota.may_spend(ms(599)), "everything is reserved"
    assert [quota.spend_reserved(ms(550)) for _ in range(10)] == [True] * 10
    assert not quota.may_spend(ms(1049)) and quota.may_spend(ms(1050)), "sends count from when they went out"
    for _ in range(10):
        quota.reserve_send(ms(1400))
    assert [quota.spend_reserved(ms(1600)) for _ in range(10)] == [False] * 8 + [True] * 2, (
        "the slice is void"
    )
    assert overspending_cases(Quota) == []


def test_disconnected_conductor_falls_back_to_its_floor():
    quota = Quota(BUDGET)
    quota.on_lease_renewed(ms(0), TERMS.safe_lifetime)
    quota.on_slice_written(quota.target_slice(ms(0), 1, 0.0))
    assert quota.allowance(ms(100)) == BUDGET.bound - 3 * BUDGET.floor
    assert quota.allowance(TERMS.safe_lifetime - BUDGET.window) == BUDGET.floor, (
        "a window before the lease can expire"
    )


def test_in_a_fleet_larger_than_the_bound_some_conductors_can_send():
    budget = Budget(bound=20, window=ms(500), max_members=50, reserve=0.3)
    quotas, granted = [Quota(budget) for _ in range(50)], []
    for quota in quotas:
        quota.on_lease_renewed(ms(0), ms(100_000))
        quota.on_slice_written(quota.target_slice(ms(0), 50, sum(granted)))
        granted.append(quota.granted)
    spending = sum(quota.may_spend(ms(1)) for quota in quotas)
    assert spending == 15 and sum(granted) <= budget.pool


def test_second_reduction_is_written_one_window_after_itself():
    quota = Quota(BUDGET)
    quota.on_lease_renewed(ms(0), ms(100_000))
    quota.on_slice_written(quota.target_slice(ms(0), 1, 0.0))
    quota.target_slice(ms(10), 2, 0.0)
    assert quota.target_slice(ms(400), 4, 0.0) == quota.granted and quota.spendable == BUDGET.pool / 4
    assert quota.target_slice(ms(600), 4, 0.0) == quota.granted, "the second reduction restarts the window"
    assert quota.target_slice(ms(900), 4, 0.0) == BUDGET.pool / 4


def test_slices_follow_the_number_of_conductors():
    quota = Quota(BUDGET)
    quota.on_lease_renewed(ms(0), ms(100_000))
    quota.on_slice_written(quota.target_slice(ms(0), 1, 0.0))
    assert quota.target_slice(ms(10), 2, 0.0) == quota.granted, "the reduction is written a window later"
    assert quota.spendable == BUDGET.pool / 2, "but limits spending at once"
    assert quota.target_slice(ms(510), 2, 0.0) == BUDGET.pool / 2
    quota.on_slice_written(BUDGET.pool / 2)
    assert quota.target_slice(ms(600), 1, 0.0) == BUDGET.pool, (
        "the slice grows again once the other member has left"
    )


@pytest.mark.parametrize(
    ("fields", "text"),
    [
        ({"bound": 0}, "bound: "),
        ({"max_members": 0}, "most: "),
        ({"reserve": 1.5}, "reserve: "),
        ({"window": ms(0)}, "window_ms: "),
    ],
)
def test_invalid_budgets_are_rejected(fields, text):
    with pytest.raises(ValueError, match=text):
        Budget(**{"bound": 1.0, "window": ms(1), "max_members": 1, **fields})


@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("ab"), st.integers(0, 5))), st.randoms())
@DETERMINISTIC
def test_counts_converge_for_any_order_and_repetition_of_reports(adds, rng):
    counters, reports = [GrowOnlyCounter(f"p{n}") for n in range(3)], []
    for index, name, more in adds:
        counters[index].increment(name, more)
        reports.append((counters[index].process_id, dict(counters[index].own_counts)))
    reports += reports
    for counter in counters:
        rng.shuffle(reports)
        for process, counts in reports:
            counter.merge(process, counts)
    expected = {}
    for _, name, more in adds:
        expected[name] = expected.get(name, 0) + more
    assert all(counter.total() == expected for counter in counters)


LISTED = ["a", "b", "c", "d"]


def test_endpoint_is_ejected_after_enough_failures_fleet_wide_and_for_a_limited_time():
    detector = OutlierDetector(OutlierRule(min_failures=3, ejection_time=ms(4000)))
    detector.record_failure(ms(0), "a")
    detector.merge(ms(100), "other", {"a": [ms(50)]})
    assert detector.ejected(ms(100), LISTED) == {}
    detector.merge(ms(200), "third", {"a": [ms(0)]})
    assert detector.ejected(ms(200), LISTED) == {"a": ms(4000)}
    assert detector.ejected(ms(4001), LISTED) == {}, "regardless of how long the reports remain"


def test_success_discards_only_local_failures():
    detector = OutlierDetector(OutlierRule(min_failures=1))
    detector.record_failure(ms(0), "a")
    detector.record_success("a")
    assert detector.ejected(ms(0), LISTED) == {} and detector.report(ms(0)) == {}
    detector.merge(ms(0), "other", {"a": [ms(0)]})
    detector.record_success("a")
    assert "a" in detector.ejected(ms(0), LISTED)


def test_report_on_most_endpoints_is_ignored_and_half_of_the_endpoints_stay_in_use():
    detector = OutlierDetector(OutlierRule(min_failures=2))
    detector.merge(ms(0), "ill", {name: [ms(0), ms(0)] for name in "abc"})
    assert detector.ejected(ms(0), LISTED) == {}
    for conductor, names in (("x", "ab"), ("y", "bc"), ("z", "cd")):
        detector.merge(ms(0), conductor, {name: [ms(0), ms(0)] for name in names})
    assert sorted(detector.ejected(ms(0), LISTED)) == ["b", "c"], "the two with the most failures"


def test_late_report_counts_from_the_time_of_its_failures():
    detector = OutlierDetector(OutlierRule(min_failures=1, ejection_time=ms(1000)))
    detector.merge(ms(5000), "other", {"a": [ms(400)]}, report_age=ms(700))
    assert detector.ejected(ms(5000), LISTED) == {}


def member(engine, name, seed=1):
    sync = FleetSync(
        name,
        EtcdClient([engine.address], ms(300)),
        TERMS,
        OutlierRule(min_failures=2),
        ms(50),
        monotonic_clock(),
        seed,
    )
    return sync, sync.quota_for("cold/x", BUDGET)


async def sync_rounds(*syncs, times=6):
    for _ in range(times):
        for sync in syncs:
            await sync.sync_once()
        await asyncio.sleep(0.15)


def test_sync_shares_slices_counts_and_failures_and_releases_slices():
    async def run_test():
        async with EtcdStub() as engine:
            (one, quota), (two, other) = member(engine, "one"), member(engine, "two")
            try:
                await one.sync_once()
                assert quota.granted == BUDGET.pool and one.members == 1
                one.counter.increment("only/answered", 3)
                two.counter.increment("only/answered", 4)
                one.outlier_detector.record_failure(one.now(), "e")
                two.outlier_detector.record_failure(two.now(), "e")
                await sync_rounds(one, two)
                assert quota.granted == other.granted == BUDGET.pool / 2 and one.members == two.members == 2
                assert one.counter.total() == two.counter.total() == {"only/answered": 7}
                assert set(two.outlier_detector.ejected(two.now(), ["e", "f"])) == {"e"}
                await one.stop()
                await sync_rounds(two, times=2)
                assert other.granted == BUDGET.pool and two.members == 1
                assert two.counter.total() == {"only/answered": 7}, "the counts of a stopped process remain"
            finally:
                await one.etcd.close()
                await two.etcd.close()

    asyncio.run(run_test())


def test_concurrent_increases_do_not_both_commit():
    async def run_test():
        async with EtcdStub() as engine:
            pair = [member(engine, name) for name in ("one", "two")]
            try:
                await asyncio.gather(*(sync.sync_once() for sync, _ in pair))
                assert sum(quota.granted for _, quota in pair) <= BUDGET.pool
                await sync_rounds(*(sync for sync, _ in pair))
                assert sum(quota.granted for _, quota in pair) == BUDGET.pool
            finally:
                for sync, _ in pair:
                    await sync.etcd.close()

    asyncio.run(run_test())


def test_malformed_values_of_other_processes_are_ignored():
    async def run_test():
        async with EtcdStub() as engine:
            sync, quota = member(engine, "one")
            try:
                for at, value in enumerate((b"{", b"[]", b'{"slices": 3}', b'{"slices": {"cold/x": "y"}}')):
                    await sync.etcd.commit({}, [(b"hoplane/shared/live/bad%d" % at, value, 0)])
                await sync.sync_once()
                assert quota.granted > 0
            finally:
                await sync.etcd.close()

    asyncio.run(run_test())


def test_lost_lease_voids_slices_until_they_are_granted_again():
    async def run_test():
        async with EtcdStub() as engine:
            sync, quota = member(engine, "one")
            try:
                await sync.sync_once()
                engine.store.revoke(timedelta(), sync.lease)
                sync.discard_lease()
                assert quota.allowance(sync.now()) == BUDGET.floor
                await sync.sync_once()
                assert quota.granted == BUDGET.pool
            finally:
                await sync.etcd.close()

    asyncio.run(run_test())
