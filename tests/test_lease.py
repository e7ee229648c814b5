"""The choices of a lease's holder: by the model, by cases, and against the engine's stand-in."""

import asyncio
from datetime import timedelta

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lease_world import CountsFromReply, NoDriftMargin, Outage, World, copy_terms, ms

from hoplane.lab.engine import Engine
from hoplane.lab.store import Compacted, Compare, Delete, NoLease, Put, Store
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
def test_no_two_holders_act_at_once_whatever_links_and_clocks_do(outages, clock_rates):
    assert World(TERMS, clock_rates, outages).run(9_000).overlaps() == []


@DETERMINISTIC
@given(OUTAGES, CLOCK_RATES)
def test_once_links_are_well_somebody_holds_the_lease(outages, clock_rates):
    world = World(TERMS, clock_rates, outages).run(14_000)
    assert max(end for _, end, _ in world.action_spans) > 14_000, "the last outage ends by 8 s"


def search_cases():
    """Give every case of a small search: slow answers for a while, then calls that are lost."""
    for slow in range(400, 2000, 200):
        for lost in range(slow + 200, slow + 1000, 200):
            outages = [Outage(0, slow, 600, "slow reply", 290), Outage(0, lost, 3000, "request lost")]
            yield from ((outages, clock_rates) for clock_rates in ((0.95, 1.0), (1.0, 1.0), (0.95, 1.05)))


@pytest.mark.parametrize(
    ("terms", "kind"),
    [
        (copy_terms(TERMS, NoDriftMargin), LeaseStateMachine),
        (TERMS, CountsFromReply),
    ],
)
def test_the_search_finds_two_holders_once_the_margin_is_taken_away(terms, kind):
    violating = [
        case for case in search_cases() if World(terms, case[1], case[0], kind).run(5_000).overlaps()
    ]
    assert violating
    still_violating = [case for case in violating if World(TERMS, case[1], case[0]).run(5_000).overlaps()]
    assert still_violating == [], "and the margin keeps them apart in those cases"


def holding_machine(terms=TERMS, seed=1):
    """Give a holder that asked at 0 ms and won its lease."""
    machine = LeaseStateMachine(terms, seed)
    assert machine.handle(ms(0), Tick()) == [Campaign(ms(0))]
    assert machine.handle(ms(10), Acquired(ms(0), 7, 42)) == [TenureStarted(terms.epoch << 44 | 42)]
    return machine


def test_a_holder_renews_in_time_and_acts_only_where_an_act_ends_before_the_lease_can():
    machine = holding_machine()
    assert machine.next_wakeup() == TERMS.renew_interval
    assert machine.handle(TERMS.renew_interval, Tick()) == [Renew(TERMS.renew_interval, 7)]
    last = ms(2000) * 0.9 - ms(200)
    assert machine.may_act(last) and machine.may_act(last + ms(1)) is None
    machine.handle(ms(700), Renewed(TERMS.renew_interval, 7))
    assert machine.may_act(last + ms(1)), "counted from when the renewal was sent"
    assert machine.may_act(last + TERMS.renew_interval + ms(1)) is None


def test_a_renewal_that_fails_is_tried_again_and_without_one_the_tenure_ends():
    machine = holding_machine()
    machine.handle(TERMS.renew_interval, Tick())
    assert machine.handle(ms(1000), CallFailed(TERMS.renew_interval, 7)) == []
    assert machine.next_wakeup() < ms(1200)
    assert [type(e) for e in machine.handle(ms(1200), Tick())] == [Renew]
    ended = machine.handle(ms(1601), Tick())
    assert [type(e) for e in ended] == [TenureEnded, Revoke] and machine.phase is Phase.BACKING_OFF


def test_an_answer_to_an_older_call_changes_nothing():
    machine = holding_machine()
    machine.handle(TERMS.renew_interval, Tick())
    valid_until = machine.valid_until
    machine.handle(ms(800), Renewed(ms(500), 7))
    machine.handle(ms(800), LeaseExpired(ms(500), 7))
    assert machine.valid_until == valid_until and machine.phase is Phase.HOLDING


def test_a_lease_that_the_engine_lost_ends_the_tenure_at_once():
    machine = holding_machine()
    machine.handle(TERMS.renew_interval, Tick())
    assert [type(e) for e in machine.handle(ms(700), LeaseExpired(TERMS.renew_interval, 7))] == [TenureEnded]
    assert machine.may_act(ms(700)) is None


def test_an_answer_that_came_too_late_to_act_by_gives_the_lease_back():
    machine = LeaseStateMachine(TERMS, 1)
    machine.handle(ms(0), Tick())
    assert machine.handle(ms(1700), Acquired(ms(0), 7, 42)) == [Revoke(7)]
    assert machine.phase is Phase.BACKING_OFF


def test_an_ask_that_failed_half_way_gives_back_what_it_may_hold():
    machine = LeaseStateMachine(TERMS, 1)
    machine.handle(ms(0), Tick())
    assert machine.handle(ms(300), CallFailed(ms(0), 7)) == [Revoke(7)]
    assert machine.handle(ms(310), Acquired(ms(0), 8, 42)) == [Revoke(8)], "nor is a late answer taken up"


def test_pauses_grow_with_failures_are_drawn_and_bounded():
    pauses = set()
    for seed in range(5):
        machine, now = LeaseStateMachine(TERMS, seed), ms(0)
        for _ in range(12):
            (campaign,) = machine.handle(now, Tick())
            machine.handle(now, CallFailed(campaign.sent_at, 0))
            pause, now = machine.next_at - now, machine.next_at
            assert pause <= TERMS.max_backoff
        pauses.add(pause)
        assert pause >= TERMS.max_backoff / 2
    assert len(pauses) == 5


def test_a_stop_ends_the_tenure_and_a_taken_key_is_watched():
    machine = holding_machine()
    assert [type(e) for e in machine.handle(ms(20), Stop())] == [TenureEnded, Revoke]
    assert machine.next_wakeup() is None
    other = LeaseStateMachine(TERMS, 2)
    other.handle(ms(0), Tick())
    effects = other.handle(ms(5), HeldByOther(ms(0), 9, 50, "a"))
    assert [type(e).__name__ for e in effects] == ["Revoke", "Watch"] and effects[1].revision == 51


def test_a_raised_epoch_outweighs_any_revision():
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
def test_terms_that_cannot_be_kept_are_refused(terms, text):
    with pytest.raises(ValueError, match=text):
        LeaseTerms(**{"ttl": ms(2000), "action_timeout": ms(200), **terms})


# --- the engine's stand-in


def test_the_store_takes_a_leases_keys_with_it_in_one_revision_and_compacts_history():
    store = Store()
    lease = store.grant(ms(0), ms(1000))
    store.txn(ms(0), [], [Put(b"a", b"1", lease), Put(b"b", b"2", lease)], [])
    assert store.revision == 2
    assert store.txn(ms(0), [Compare(b"a", "created", "=", 0)], [Put(b"a", b"x")], [])[0] is False
    store.expire(ms(1000))
    assert store.revision == 3 and not store.pairs
    assert [(c.pair.key, c.deleted) for c in store.since(3, b"a", b"c")] == [(b"a", True), (b"b", True)]
    store.compact(2)
    with pytest.raises(Compacted):
        store.since(2, b"a")
    with pytest.raises(NoLease):
        store.txn(ms(0), [], [Delete(b"a"), Put(b"a", b"1", lease)], [])
    assert store.revision == 3, "a refused transaction changes nothing"


def test_the_client_speaks_with_the_stand_in_as_with_the_gateway():
    async def play():
        async with Engine() as engine:
            etcd = EtcdClient([engine.address], timedelta(seconds=2))
            try:
                lease = await etcd.grant(5)
                is_ours, created, holder = await etcd.acquire_key(b"k", b"me", lease)
                assert (is_ours, holder) == (True, "me")
                assert await etcd.acquire_key(b"k", b"me", lease) == (True, created, "me"), (
                    "a call that came twice"
                )
                other = await etcd.grant(5)
                is_ours, revision, holder = await etcd.acquire_key(b"k", b"you", other)
                assert (is_ours, revision >= created, holder) == (False, True, "me")
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

    asyncio.run(play())


def test_a_watch_from_a_compacted_revision_is_over_at_once_and_a_restart_breaks_one():
    async def play():
        async with Engine() as engine:
            etcd = EtcdClient([engine.address], timedelta(seconds=2))
            try:
                engine.store.txn(ms(0), [], [Put(b"k", b"1")], [])
                engine.store.txn(ms(0), [], [Put(b"k", b"2")], [])
                engine.store.compact(3)
                await asyncio.wait_for(etcd.wait_deleted(b"k", 2), 2)
                watch = asyncio.create_task(etcd.wait_deleted(b"k", 4))
                await asyncio.sleep(0.1)
                await engine.apply({"restart": "keep"})
                with pytest.raises(EtcdUnavailable):
                    await asyncio.wait_for(watch, 2)
            finally:
                await etcd.close()

    asyncio.run(play())


def test_an_engine_that_does_not_answer_is_left_for_the_next_one():
    async def play():
        async with Engine() as unresponsive, Engine() as healthy:
            await unresponsive.apply({"pause_s": 5})
            etcd = EtcdClient([unresponsive.address, healthy.address], timedelta(milliseconds=100))
            try:
                with pytest.raises(EtcdUnavailable):
                    await etcd.grant(5)
                assert await etcd.grant(5) in healthy.store.leases
            finally:
                await etcd.close()

    asyncio.run(play())


def test_the_stand_in_words_what_is_wrong_as_the_gateway_does():
    async def play():
        async with Engine() as engine, aiohttp.ClientSession() as session:

            async def post(path, body):
                async with session.post(f"http://{engine.address}{path}", json=body) as response:
                    return response.status, await response.json()

            assert (await post("/v3/lease/revoke", {"ID": "5"}))[0] == 404
            status, reply = await post("/v3/kv/compaction", {"revision": "99"})
            assert status == 400 and "compacted" in reply["message"]
            assert (await post("/v3/lease/grant", {}))[0] == 400

    asyncio.run(play())
