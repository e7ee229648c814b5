"""The choices of a lease's holder: by the model, by cases, and against the engine's stand-in."""

import asyncio
from datetime import timedelta

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lease_world import FromAnswer, Marginless, Outage, World, changed, ms

from hoplane.lab.engine import Engine
from hoplane.lab.store import Compacted, Compare, Delete, NoLease, Put, Store
from hoplane.lease.choice import (
    Ask,
    Begin,
    End,
    Failed,
    Gone,
    Holder,
    Phase,
    Renew,
    Renewed,
    Revoke,
    Stop,
    Taken,
    Terms,
    Tick,
    Won,
)
from hoplane.lease.etcd import Etcd, Unheard
from hoplane.lease.etcd import NoLease as Unknown

TERMS = Terms(ttl=ms(2000), act=ms(200), drift=0.05)
SAME = settings(derandomize=True, database=None, deadline=None, max_examples=150)
KINDS = st.sampled_from(["lost", "unheard", "slow there", "slow back"])
OUTAGES = st.lists(
    st.builds(
        Outage,
        st.integers(0, 1),
        st.integers(0, 5000),
        st.integers(500, 3000),
        KINDS,
        st.one_of(st.integers(250, 299), st.integers(20, 2500)),
    ),
    max_size=5,
)
RATES = st.lists(st.sampled_from([0.95, 1.0, 1.05]), min_size=2, max_size=2)


@SAME
@given(OUTAGES, RATES)
def test_no_two_holders_act_at_once_whatever_links_and_clocks_do(outages, rates):
    assert World(TERMS, rates, outages).run(9_000).overlaps() == []


@SAME
@given(OUTAGES, RATES)
def test_once_links_are_well_somebody_holds_the_lease(outages, rates):
    world = World(TERMS, rates, outages).run(14_000)
    assert max(end for _, end, _ in world.spans) > 14_000, "the last outage ends by 8 s"


def cases():
    """Give every case of a small search: slow answers for a while, then calls that are lost."""
    for slow in range(400, 2000, 200):
        for lost in range(slow + 200, slow + 1000, 200):
            outages = [Outage(0, slow, 600, "slow back", 290), Outage(0, lost, 3000, "lost")]
            yield from ((outages, rates) for rates in ((0.95, 1.0), (1.0, 1.0), (0.95, 1.05)))


@pytest.mark.parametrize(
    ("terms", "kind"),
    [
        (changed(TERMS, Marginless), Holder),
        (TERMS, FromAnswer),
    ],
)
def test_the_search_finds_two_holders_once_the_margin_is_taken_away(terms, kind):
    found = [case for case in cases() if World(terms, case[1], case[0], kind).run(5_000).overlaps()]
    assert found
    kept = [case for case in found if World(TERMS, case[1], case[0]).run(5_000).overlaps()]
    assert kept == [], "and the margin keeps them apart in those cases"


def held(terms=TERMS, seed=1):
    """Give a holder that asked at 0 ms and won its lease."""
    holder = Holder(terms, seed)
    assert holder.take(ms(0), Tick()) == [Ask(ms(0))]
    assert holder.take(ms(10), Won(ms(0), 7, 42)) == [Begin(terms.epoch << 44 | 42)]
    return holder


def test_a_holder_renews_in_time_and_acts_only_where_an_act_ends_before_the_lease_can():
    holder = held()
    assert holder.wake() == TERMS.renew
    assert holder.take(TERMS.renew, Tick()) == [Renew(TERMS.renew, 7)]
    last = ms(2000) * 0.9 - ms(200)
    assert holder.may_act(last) and holder.may_act(last + ms(1)) is None
    holder.take(ms(700), Renewed(TERMS.renew, 7))
    assert holder.may_act(last + ms(1)), "counted from when the renewal was sent"
    assert holder.may_act(last + TERMS.renew + ms(1)) is None


def test_a_renewal_that_fails_is_tried_again_and_without_one_the_tenure_ends():
    holder = held()
    holder.take(TERMS.renew, Tick())
    assert holder.take(ms(1000), Failed(TERMS.renew, 7)) == []
    assert holder.wake() < ms(1200)
    assert [type(e) for e in holder.take(ms(1200), Tick())] == [Renew]
    ended = holder.take(ms(1601), Tick())
    assert [type(e) for e in ended] == [End, Revoke] and holder.phase is Phase.RESTING


def test_an_answer_to_an_older_call_changes_nothing():
    holder = held()
    holder.take(TERMS.renew, Tick())
    until = holder.until
    holder.take(ms(800), Renewed(ms(500), 7))
    holder.take(ms(800), Gone(ms(500), 7))
    assert holder.until == until and holder.phase is Phase.HOLDING


def test_a_lease_that_the_engine_lost_ends_the_tenure_at_once():
    holder = held()
    holder.take(TERMS.renew, Tick())
    assert [type(e) for e in holder.take(ms(700), Gone(TERMS.renew, 7))] == [End]
    assert holder.may_act(ms(700)) is None


def test_an_answer_that_came_too_late_to_act_by_gives_the_lease_back():
    holder = Holder(TERMS, 1)
    holder.take(ms(0), Tick())
    assert holder.take(ms(1700), Won(ms(0), 7, 42)) == [Revoke(7)]
    assert holder.phase is Phase.RESTING


def test_an_ask_that_failed_half_way_gives_back_what_it_may_hold():
    holder = Holder(TERMS, 1)
    holder.take(ms(0), Tick())
    assert holder.take(ms(300), Failed(ms(0), 7)) == [Revoke(7)]
    assert holder.take(ms(310), Won(ms(0), 8, 42)) == [Revoke(8)], "nor is a late answer taken up"


def test_pauses_grow_with_failures_are_drawn_and_bounded():
    pauses = set()
    for seed in range(5):
        holder, now = Holder(TERMS, seed), ms(0)
        for _ in range(12):
            (ask,) = holder.take(now, Tick())
            holder.take(now, Failed(ask.sent, 0))
            pause, now = holder.at - now, holder.at
            assert pause <= TERMS.most
        pauses.add(pause)
        assert pause >= TERMS.most / 2
    assert len(pauses) == 5


def test_a_stop_ends_the_tenure_and_a_taken_key_is_watched():
    holder = held()
    assert [type(e) for e in holder.take(ms(20), Stop())] == [End, Revoke]
    assert holder.wake() is None
    other = Holder(TERMS, 2)
    other.take(ms(0), Tick())
    effects = other.take(ms(5), Taken(ms(0), 9, 50, "a"))
    assert [type(e).__name__ for e in effects] == ["Revoke", "Watch"] and effects[1].revision == 51


def test_a_raised_epoch_outweighs_any_revision():
    low, high = held(), held(Terms(ttl=ms(2000), act=ms(200), drift=0.05, epoch=2))
    low.revision = (1 << 44) - 1
    assert high.token > low.token


@pytest.mark.parametrize(
    ("terms", "text"),
    [
        ({"drift": 0.2}, "drift: "),
        ({"act": ms(0)}, "act_ms: "),
        ({"act": ms(700)}, "act_ms: too long"),
        ({"epoch": 0}, "epoch: "),
        ({"least": ms(3000)}, "least_ms: "),
    ],
)
def test_terms_that_cannot_be_kept_are_refused(terms, text):
    with pytest.raises(ValueError, match=text):
        Terms(**{"ttl": ms(2000), "act": ms(200), **terms})


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
            etcd = Etcd([engine.address], timedelta(seconds=2))
            try:
                lease = await etcd.grant(5)
                ours, created, holder = await etcd.take(b"k", b"me", lease)
                assert (ours, holder) == (True, "me")
                assert await etcd.take(b"k", b"me", lease) == (True, created, "me"), "a call that came twice"
                other = await etcd.grant(5)
                ours, revision, holder = await etcd.take(b"k", b"you", other)
                assert (ours, revision >= created, holder) == (False, True, "me")
                gone = asyncio.create_task(etcd.gone(b"k", revision + 1))
                await asyncio.sleep(0.05)
                assert not gone.done()
                await etcd.keepalive(lease)
                await etcd.revoke(lease)
                await asyncio.wait_for(gone, 2)
                with pytest.raises(Unknown):
                    await etcd.keepalive(lease)
                with pytest.raises(Unknown):
                    await etcd.take(b"k", b"me", lease)
            finally:
                await etcd.close()

    asyncio.run(play())


def test_a_watch_from_a_compacted_revision_is_over_at_once_and_a_restart_breaks_one():
    async def play():
        async with Engine() as engine:
            etcd = Etcd([engine.address], timedelta(seconds=2))
            try:
                engine.store.txn(ms(0), [], [Put(b"k", b"1")], [])
                engine.store.txn(ms(0), [], [Put(b"k", b"2")], [])
                engine.store.compact(3)
                await asyncio.wait_for(etcd.gone(b"k", 2), 2)
                watch = asyncio.create_task(etcd.gone(b"k", 4))
                await asyncio.sleep(0.1)
                await engine.apply({"restart": "keep"})
                with pytest.raises(Unheard):
                    await asyncio.wait_for(watch, 2)
            finally:
                await etcd.close()

    asyncio.run(play())


def test_an_engine_that_does_not_answer_is_left_for_the_next_one():
    async def play():
        async with Engine() as dead, Engine() as well:
            await dead.apply({"pause_s": 5})
            etcd = Etcd([dead.address, well.address], timedelta(milliseconds=100))
            try:
                with pytest.raises(Unheard):
                    await etcd.grant(5)
                assert await etcd.grant(5) in well.store.leases
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
            status, told = await post("/v3/kv/compaction", {"revision": "99"})
            assert status == 400 and "compacted" in told["message"]
            assert (await post("/v3/lease/grant", {}))[0] == 400

    asyncio.run(play())
