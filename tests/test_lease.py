"""Leader election: the state machine in a fleet model and in single cases, and the client on a fake etcd."""

import asyncio
from datetime import timedelta

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lease_world import CountsFromReply, NoDriftMargin, Outage, World, copy_terms, ms

from hoplane.lab.etcd_stub import EtcdStub
from hoplane.lab.key_value_store import Compare, Delete, KeyValueStore, Put, RevisionCompacted, UnknownLease
from hoplane.lease.etcd import EtcdClient, EtcdUnavailable, LeaseNotFound
from hoplane.lease.state_machine import (
    Acquired,
    CallFailed,
    Campaign,
    HeldByOther,
    LeaseExpired,
    LeaseStateMachine,
    LeaseTerms,
    Phase,
    Renew,
    Renewed,
    Revoke,
    Stop,
    TenureEnded,
    TenureStarted,
    Tick,
)

TERMS = LeaseTerms(ttl=ms(2000), action_timeout=ms(200), drift=0.05)
DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=150)
OUTAGE_KINDS = st.sampled_from(["request lost", "reply lost", "slow request", "slow reply"])
OUTAGES = st.lists(
    st.builds(
        Outage,
        st.integers(0, 1),
        st.integers(0, 5000),
        st.integers(500, 3000),
        OUTAGE_KINDS,
        st.one_of(st.integers(250, 299), st.integers(20, 2500)),
    ),
    max_size=5,
)
CLOCK_RATES = st.lists(st.sampled_from([0.95, 1.0, 1.05]), min_size=2, max_size=2)


@DETERMINISTIC
@given(OUTAGES, CLOCK_RATES)
def test_at_most_one_holder_acts_despite_network_faults_and_clock_drift(outages, clock_rates):
    assert World(TERMS, clock_rates, outages).run(9_000).overlaps() == []


@DETERMINISTIC
@given(OUTAGES, CLOCK_RATES)
def test_a_holder_is_elected_once_the_network_recovers(outages, clock_rates):
    world = World(TERMS, clock_rates, outages).run(14_000)
    assert max(end for _, end, _ in world.action_spans) > 14_000, (
        "no holder at the end, although the last outage ends by 8 s"
    )


def search_cases():
    """Yield combinations of outages and clock rates: first slow replies, then lost requests."""
    for slow_from in range(400, 2000, 200):
        for lost_from in range(slow_from + 200, slow_from + 1000, 200):
            outages = [
                Outage(0, slow_from, 600, "slow reply", 290),
                Outage(0, lost_from, 3000, "request lost"),
            ]
            yield from ((outages, clock_rates) for clock_rates in ((0.95, 1.0), (1.0, 1.0), (0.95, 1.05)))


@pytest.mark.parametrize(
    ("terms", "machine_class"),
    [
        (copy_terms(TERMS, NoDriftMargin), LeaseStateMachine),
        (TERMS, CountsFromReply),
    ],
)
def test_two_holders_overlap_without_the_safety_margin(terms, machine_class):
    violating = [
        case for case in search_cases() if World(terms, case[1], case[0], machine_class).run(5_000).overlaps()
    ]
    assert violating
    still_violating = [case for case in violating if World(TERMS, case[1], case[0]).run(5_000).overlaps()]
    assert still_violating == [], "the safety margin prevents the overlap in the same cases"


def holding_machine(terms=TERMS, seed=1):
    """Return a state machine that campaigned at 0 ms and acquired the lease."""
    machine = LeaseStateMachine(terms, seed)
    assert machine.handle(ms(0), Tick()) == [Campaign(ms(0))]
    assert machine.handle(ms(10), Acquired(ms(0), 7, 42)) == [TenureStarted(terms.epoch << 44 | 42)]
    return machine


def test_holder_renews_and_acts_only_if_the_action_ends_before_the_lease_can_expire():
    machine = holding_machine()
    assert machine.next_wakeup() == TERMS.renew_interval
    assert machine.handle(TERMS.renew_interval, Tick()) == [Renew(TERMS.renew_interval, 7)]
    last = ms(2000) * 0.9 - ms(200)
    assert machine.token_for_action(last) and machine.token_for_action(last + ms(1)) is None
    machine.handle(ms(700), Renewed(TERMS.renew_interval, 7))
    assert machine.token_for_action(last + ms(1)), "the lease counts from when the renewal was sent"
    assert machine.token_for_action(last + TERMS.renew_interval + ms(1)) is None


def test_failed_renewal_is_retried_and_the_tenure_ends_without_success():
    machine = holding_machine()
    machine.handle(TERMS.renew_interval, Tick())
    assert machine.handle(ms(1000), CallFailed(TERMS.renew_interval, 7)) == []
    assert machine.next_wakeup() < ms(1200)
    assert [type(e) for e in machine.handle(ms(1200), Tick())] == [Renew]
    ended = machine.handle(ms(1601), Tick())
    assert [type(e) for e in ended] == [TenureEnded, Revoke] and machine.phase is Phase.BACKING_OFF


def test_reply_to_an_older_call_is_ignored():
    machine = holding_machine()
    machine.handle(TERMS.renew_interval, Tick())
    valid_until = machine.valid_until
    machine.handle(ms(800), Renewed(ms(500), 7))
    machine.handle(ms(800), LeaseExpired(ms(500), 7))
    assert machine.valid_until == valid_until and machine.phase is Phase.HOLDING


def test_expired_lease_ends_the_tenure_at_once():
    machine = holding_machine()
    machine.handle(TERMS.renew_interval, Tick())
    assert [type(e) for e in machine.handle(ms(700), LeaseExpired(TERMS.renew_interval, 7))] == [TenureEnded]
    assert machine.token_for_action(ms(700)) is None


def test_lease_granted_too_late_is_revoked():
    machine = LeaseStateMachine(TERMS, 1)
    machine.handle(ms(0), Tick())
    assert machine.handle(ms(1700), Acquired(ms(0), 7, 42)) == [Revoke(7)]
    assert machine.phase is Phase.BACKING_OFF


def test_partly_failed_campaign_revokes_its_lease():
    machine = LeaseStateMachine(TERMS, 1)
    machine.handle(ms(0), Tick())
    assert machine.handle(ms(300), CallFailed(ms(0), 7)) == [Revoke(7)]
    assert machine.handle(ms(310), Acquired(ms(0), 8, 42)) == [Revoke(8)], "the late reply is not accepted"


def test_backoff_grows_with_failures_has_jitter_and_is_bounded():
    backoffs = set()
    for seed in range(5):
        machine, now = LeaseStateMachine(TERMS, seed), ms(0)
        for _ in range(12):
            (campaign,) = machine.handle(now, Tick())
            machine.handle(now, CallFailed(campaign.sent_at, 0))
            backoff, now = machine.next_at - now, machine.next_at
            assert backoff <= TERMS.max_backoff
        backoffs.add(backoff)
        assert backoff >= TERMS.max_backoff / 2
    assert len(backoffs) == 5


def test_stop_ends_the_tenure_and_a_key_held_by_another_is_watched():
    machine = holding_machine()
    assert [type(e) for e in machine.handle(ms(20), Stop())] == [TenureEnded, Revoke]
    assert machine.next_wakeup() is None
    other = LeaseStateMachine(TERMS, 2)
    other.handle(ms(0), Tick())
    effects = other.handle(ms(5), HeldByOther(ms(0), 9, 50, "a"))
    assert [type(e).__name__ for e in effects] == ["Revoke", "Watch"] and effects[1].revision == 51


def test_higher_epoch_outranks_any_revision():
    low, high = (
        holding_machine(),
        holding_machine(LeaseTerms(ttl=ms(2000), action_timeout=ms(200), drift=0.05, epoch=2)),
    )
    low.revision = (1 << 44) - 1
    assert high.token > low.token


@pytest.mark.parametrize(
    ("terms", "text"),
    [
        ({"drift": 0.2}, "drift: "),
        ({"action_timeout": ms(0)}, "act_ms: "),
        ({"action_timeout": ms(700)}, "act_ms: too long"),
        ({"epoch": 0}, "epoch: "),
        ({"min_backoff": ms(3000)}, "least_ms: "),
    ],
)
def test_invalid_lease_terms_are_rejected(terms, text):
    with pytest.raises(ValueError, match=text):
        LeaseTerms(**{"ttl": ms(2000), "action_timeout": ms(200), **terms})


# --- the fake etcd


def test_store_deletes_the_keys_of_a_lease_in_one_revision_and_compacts_history():
    store = KeyValueStore()
    lease = store.grant(ms(0), ms(1000))
    store.txn(ms(0), [], [Put(b"a", b"1", lease), Put(b"b", b"2", lease)], [])
    assert store.revision == 2
    assert store.txn(ms(0), [Compare(b"a", "created", "=", 0)], [Put(b"a", b"x")], [])[0] is False
    store.expire(ms(1000))
    assert store.revision == 3 and not store.pairs
    assert [(c.pair.key, c.deleted) for c in store.changes_since(3, b"a", b"c")] == [
        (b"a", True),
        (b"b", True),
    ]
    store.compact(2)
    with pytest.raises(RevisionCompacted):
        store.changes_since(2, b"a")
    with pytest.raises(UnknownLease):
        store.txn(ms(0), [], [Delete(b"a"), Put(b"a", b"1", lease)], [])
    assert store.revision == 3, "a rejected transaction changes nothing"


def test_client_works_with_the_fake_etcd():
    async def run_test():
        async with EtcdStub() as engine:
            etcd = EtcdClient([engine.address], timedelta(seconds=2))
            try:
                lease = await etcd.grant(5)
                is_ours, create_revision, holder = await etcd.acquire_key(b"k", b"me", lease)
                assert (is_ours, holder) == (True, "me")
                assert await etcd.acquire_key(b"k", b"me", lease) == (True, create_revision, "me"), (
                    "a call that was delivered twice"
                )
                other = await etcd.grant(5)
                is_ours, revision, holder = await etcd.acquire_key(b"k", b"you", other)
                assert (is_ours, revision >= create_revision, holder) == (False, True, "me")
                wait_deleted = asyncio.create_task(etcd.wait_deleted(b"k", revision + 1))
                await asyncio.sleep(0.05)
                assert not wait_deleted.done()
                await etcd.keepalive(lease)
                await etcd.revoke(lease)
                await asyncio.wait_for(wait_deleted, 2)
                with pytest.raises(LeaseNotFound):
                    await etcd.keepalive(lease)
                with pytest.raises(LeaseNotFound):
                    await etcd.acquire_key(b"k", b"me", lease)
            finally:
                await etcd.close()

    asyncio.run(run_test())


def test_watch_from_a_compacted_revision_returns_at_once_and_a_restart_breaks_a_watch():
    async def run_test():
        async with EtcdStub() as engine:
            etcd = EtcdClient([engine.address], timedelta(seconds=2))
            try:
                engine.store.txn(ms(0), [], [Put(b"k", b"1")], [])
                engine.store.txn(ms(0), [], [Put(b"k", b"2")], [])
                engine.store.compact(3)
                await asyncio.wait_for(etcd.wait_deleted(b"k", 2), 2)
                watch = asyncio.create_task(etcd.wait_deleted(b"k", 4))
                await asyncio.sleep(0.1)
                await engine.apply_faults({"restart": "keep"})
                with pytest.raises(EtcdUnavailable):
                    await asyncio.wait_for(watch, 2)
            finally:
                await etcd.close()

    asyncio.run(run_test())


def test_client_fails_over_to_the_next_address():
    async def run_test():
        async with EtcdStub() as unresponsive, EtcdStub() as healthy:
            await unresponsive.apply_faults({"pause_s": 5})
            etcd = EtcdClient([unresponsive.address, healthy.address], timedelta(milliseconds=100))
            try:
                with pytest.raises(EtcdUnavailable):
                    await etcd.grant(5)
                assert await etcd.grant(5) in healthy.store.leases
            finally:
                await etcd.close()

    asyncio.run(run_test())


def test_fake_etcd_reports_errors_like_the_gateway():
    async def run_test():
        async with EtcdStub() as engine, aiohttp.ClientSession() as session:

            async def post(path, body):
                async with session.post(f"http://{engine.address}{path}", json=body) as response:
                    return response.status, await response.json()

            assert (await post("/v3/lease/revoke", {"ID": "5"}))[0] == 404
            status, reply = await post("/v3/kv/compaction", {"revision": "99"})
            assert status == 400 and "compacted" in reply["message"]
            assert (await post("/v3/lease/grant", {}))[0] == 400

    asyncio.run(run_test())
