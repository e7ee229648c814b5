"""Handling of failures and congestion; each test covers one observed symptom."""

from collections import Counter

import pytest
from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, Harness, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Idempotency, Status

MANY_READERS = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]


def first_reader(harness, request="probe"):
    harness.submit(request, session="p")
    return harness.sent()[0]


def test_dead_server_is_ejected_and_gets_one_trial_request(harness):
    first = first_reader(harness)
    harness.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    other = READER_A + READER_B - first
    assert harness.sent() == [other]
    harness.disconnect("probe")
    harness.submit("r2", session="p")
    assert harness.sent() == [other]
    harness.disconnect("r2")
    harness.submit("r3", session="p", after=S)
    assert harness.sent() == [first]
    harness.submit("r4", session="p")
    assert harness.sent() == [other]


def test_single_reset_or_resets_of_kept_alive_connections_do_not_eject():
    harness = Harness(fleet=MANY_READERS)
    first = first_reader(harness)
    harness.outcome(Status.RESET, first, "probe", after=2 * MS)
    assert harness.sent() and harness.sent() != [first], "the next attempt goes elsewhere"
    for number in range(4):
        harness.submit(f"r{number}", session="p")
        assert harness.sent() == [first]
        harness.outcome(Status.RESET, first, f"r{number}", after=2 * MS, detail=api.SERVER_NOT_AT_FAULT)
    harness.submit("again", session="p")
    harness.outcome(Status.RESET, first, "again", after=2 * MS)
    harness.submit("more", session="p")
    assert harness.sent() and harness.sent() != [first], "two resets of new connections in a row do eject"


def test_server_that_refuses_immediately_does_not_attract_all_requests():
    harness = Harness(fleet=MANY_READERS)
    bad = first_reader(harness)
    sends = 0
    for number in range(100):
        harness.submit(f"r{number}", session="p", after=20 * MS)
        while bad in harness.sent():
            sends += 1
            attempt = len(harness.router.jobs[f"r{number}"].attempts) - 1
            harness.outcome(Status.FULL, bad, f"r{number}", attempt, after=3 * MS)
        for server in harness.sent():
            attempt = len(harness.router.jobs[f"r{number}"].attempts) - 1
            harness.outcome(Status.MISS, server, f"r{number}", attempt)
            harness.send_event(api.ClientDisconnected(f"r{number}"))
    assert sends < 12


def test_read_at_a_silent_reader_is_cancelled_before_the_deadline():
    harness = Harness(fleet=MANY_READERS, writers_read=False)
    reader = first_reader(harness)
    harness.run_timers(harness.now + 2 * S)
    assert harness.actions_of(api.Cancel) == [api.Cancel("probe", 0)]
    harness.outcome(Status.CANCELLED, reader, "probe")
    assert harness.final_answers() == [api.Refuse]  # too close to the deadline for another read


def test_server_with_consecutive_errors_is_ejected():
    harness = Harness(fleet=MANY_READERS)
    first = first_reader(harness)
    harness.outcome(Status.MISS, first, "probe")
    harness.submit("once", session="p")
    harness.outcome(Status.ERROR, first, "once")
    assert harness.sent() and harness.sent() != [first], "the next attempt goes elsewhere"
    harness.outcome(Status.MISS, harness.sent()[0], "once", 1)
    harness.submit("again", session="p")
    assert harness.sent() == [first], "a single error after successes does not eject"
    harness.outcome(Status.ERROR, first, "again")
    harness.submit("third", session="p")
    assert harness.sent() and harness.sent() != [first]
    for name in list(harness.router.jobs):
        harness.disconnect(name)
    harness.submit("trial", session="p", after=10 * S)
    assert harness.sent() == [first]


@pytest.mark.parametrize("status", [Status.ERROR, Status.CONNECT_FAILED])
def test_reader_that_has_only_failed_is_ranked_last_for_a_while(status):
    """Dead servers of an outdated list refuse immediately and would cost every request an attempt."""
    harness = Harness(fleet=MANY_READERS)
    first = first_reader(harness)
    harness.outcome(status, first, "probe", after=2 * MS)
    harness.disconnect("probe")
    for number in range(20):
        harness.submit(f"r{number}", session="p")
        assert harness.sent() and harness.sent() != [first]
        harness.disconnect(f"r{number}")
    harness.submit("later", session="p", after=20 * S)
    assert harness.sent() == [first]


def run_with_failing_writer(effect, seed):
    """Run requests over many writers, one of which fails fast.

    Returns the number of sends by writer and the number of lost requests."""
    writers = [entry(100 + n, "writer") for n in range(12)]
    harness = Harness(fleet=(entry(READER_A, "reader"), *writers), effect=effect, seed=seed)
    sends_by_writer, lost_requests = Counter(), 0
    for number in range(60):
        name = f"r{number}"
        harness.submit(name, after=50 * MS, time_left=60 * S)
        harness.outcome(Status.MISS, READER_A, name)
        for attempt in range(1, 6):
            if not harness.sent() or (writer := harness.sent()[0]) == READER_A:
                break
            sends_by_writer[writer] += 1
            if writer != 100:
                harness.first_token(writer, name, attempt)
                break
            harness.outcome(Status.ERROR, writer, name, attempt, after=3 * MS)
            lost_requests += api.Fail in harness.final_answers()
    return sends_by_writer, lost_requests


@pytest.mark.parametrize("effect", [Idempotency.SAFE, Idempotency.UNSAFE])
def test_writer_that_fails_fast_does_not_attract_requests(effect):
    results = [run_with_failing_writer(effect, seed) for seed in range(10)]
    assert max(sends[100] for sends, _ in results) <= 2, "its first error counts"
    assert all(sends[100 + n] for sends, _ in results for n in range(1, 12) if effect is Idempotency.SAFE)


def test_read_at_a_silent_reader_is_retried_elsewhere_in_time():
    harness = Harness(fleet=MANY_READERS)
    reader = first_reader(harness)
    harness.run_timers(harness.now + 700 * MS)
    assert harness.actions_of(api.Cancel) == [api.Cancel("probe", 0)]
    harness.outcome(Status.CANCELLED, reader, "probe")
    assert harness.sent() and harness.sent() != [reader]


def with_lost_request(effect):
    """Return a harness whose writer has lost one request and answered a later one."""
    fleet = entry(READER_A, "reader"), entry(WRITER_A, "writer")
    harness = Harness(fleet=fleet, effect=effect, writers_read=False)
    for request, after in (("lost", 0), ("later", 600 * MS)):
        harness.submit(request, after=after, time_left=60 * S)
        harness.outcome(Status.MISS, READER_A, request)
        assert harness.sent() == [WRITER_A]
    harness.first_token(WRITER_A, "later")
    return harness


def test_request_lost_at_a_writer_does_not_delay_others():
    harness = with_lost_request(api.Idempotency.UNSAFE)
    harness.run_timers(harness.now + 3 * S)
    assert harness.actions_of(api.Cancel) == [], "a request that may have run is not cancelled"
    harness.submit("next", session="n")
    assert harness.final_answers() == [] and harness.sent() == [READER_A]


def test_lost_repeatable_request_is_cancelled_and_its_server_is_not_ejected():
    harness = with_lost_request(api.Idempotency.SAFE)
    harness.run_timers(harness.now + S)
    assert harness.actions_of(api.Cancel) == [api.Cancel("lost", 1)]
    assert harness.router.servers[WRITER_A] in harness.router.available_servers((api.Role.WRITE,))


def test_unsafe_request_at_a_silent_writer_is_not_cancelled():
    harness = Harness(effect=api.Idempotency.UNSAFE)
    harness.submit()
    harness.outcome(Status.MISS, harness.sent()[0])
    harness.run_timers(harness.now + 3 * S)
    assert harness.actions_of(api.Cancel) == []


def test_silence_ejects_at_most_half_of_a_role():
    harness = Harness(fleet=MANY_READERS)
    for number in range(40):
        harness.submit(f"r{number}", prefix=f"p{number}")
    harness.run_timers(harness.now + S)
    ejected = [s for s in harness.router.servers.values() if s.ejected_until > harness.now]
    assert 0 < len(ejected) <= 2


def test_cancelled_reads_update_the_queue_delay():
    harness = Harness(writers_read=False)
    for number in range(6):
        harness.submit(f"r{number}")
    waiting = {f"r{n}": harness.router.jobs[f"r{n}"].in_flight[0].server.entry.server for n in range(6)}
    for request, reader in waiting.items():
        harness.send_event(api.ClientDisconnected(request))
        harness.send_event(api.Outcome(request, 0, reader, Status.CANCELLED, 2 * S))
    harness.submit("next")
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


def test_writer_reads_if_no_reader_is_left():
    harness = Harness(fleet=FLEET[2:])
    harness.submit()
    assert harness.sent()[0] in (WRITER_A, WRITER_B)


@pytest.mark.parametrize("fleet", [FLEET[2:], FLEET[:2], ()])
def test_request_ends_immediately_if_a_stage_has_no_server(fleet):
    harness = Harness(fleet=fleet, writers_read=False)
    harness.submit()
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


def test_request_is_refused_with_retry_after_if_all_writers_stay_ejected_beyond_its_target_time():
    harness = Harness(retry_after=True, max_retry_after=3 * S)
    for writer, span in ((WRITER_A, 5 * S), (WRITER_B, 2 * S)):
        harness.router.servers[writer].ejected_until = harness.now + span
    harness.submit()
    assert [a.retry_after for a in harness.actions_of(api.Refuse)] == [2 * S]
    harness.router.servers[WRITER_B].ejected_until = harness.now + 9 * S
    harness.submit("r2")
    assert [a.retry_after for a in harness.actions_of(api.Refuse)] == [
        3 * S
    ]  # the maximum that clients accept


def test_request_waits_if_writers_return_before_it_is_late():
    harness = Harness(fleet=FLEET[2:])
    for writer in (WRITER_A, WRITER_B):
        harness.router.servers[writer].ejected_until = harness.now + 100 * MS
    harness.submit()
    assert harness.sent() == [] and harness.final_answers() == []
    harness.run_timers(harness.now + 200 * MS)
    assert harness.sent()[0] in (WRITER_A, WRITER_B)


def test_read_state_is_released_immediately_if_no_writer_is_left(harness):
    harness.submit()
    reader = harness.sent()[0]
    removed = tuple(entry(s, "writer", c, api.State.GONE) for s, c in ((WRITER_A, 0), (WRITER_B, 1)))
    harness.send_event(api.ServerListUpdate(removed, whole=False))
    harness.outcome(Status.MISS, reader)
    assert harness.final_answers() == [api.Refuse] and harness.actions_of(api.Release) == [api.Release("r")]


def test_lost_read_state_is_read_again(harness):
    harness.submit()
    reader = harness.sent()[0]
    harness.outcome(Status.MISS, reader)
    writer = harness.sent()[0]
    harness.outcome(Status.FULL, writer, attempt=1, detail=1)
    assert harness.sent()[0] in (READER_A, READER_B)


def set_queue_delay(harness, wait):
    """Set a recent queue delay at both readers."""
    for reader in (READER_A, READER_B):
        harness.router.servers[reader].queue_delay = wait
        harness.router.servers[reader].queue_delay_at = harness.now


def congested_readers(**changes):
    harness = Harness(**changes)
    harness.router.mean_prompt_tokens.value = 10_000.0
    set_queue_delay(harness, 2 * S)
    return harness


def test_idle_writer_reads_if_readers_are_congested():
    harness = congested_readers()
    harness.submit("r2")
    assert harness.sent()[0] in (WRITER_A, WRITER_B)


def test_requests_are_refused_immediately_if_readers_and_writers_are_congested():
    harness = congested_readers()
    for writer in (WRITER_A, WRITER_B):
        harness.router.servers[writer].queue_delay = 2 * S
        harness.router.servers[writer].queue_delay_at = harness.now
    harness.submit("r2")
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


def test_tenants_over_their_quota_are_refused_first():
    final_answers = {}
    for tenant in ("small", "large"):
        harness = Harness(writers_read=False)
        for number in range(30):
            harness.serve(f"r{number}", tenant=tenant)
        set_queue_delay(harness, 500 * MS)
        harness.router.tenant_arrivals[tenant].add(harness.now, 30)
        harness.submit("r", tenant=tenant)
        final_answers[tenant] = harness.final_answers()
    assert final_answers == {"small": [api.Refuse], "large": []}


@pytest.mark.parametrize(
    "wait, retry, pauses",
    [
        (600 * MS, False, []),  # accepted
        (600 * MS, True, [0]),  # another router may accept it
        (1000 * MS, False, [2]),  # retry after the time by which the limit is exceeded
        (1000 * MS, True, [2]),
    ],
)
def test_retry_is_refused_sooner_and_with_retry_after(wait, retry, pauses):
    harness = Harness(writers_read=False, retry_after=True, max_retry_after=2 * S)
    harness.serve("before")
    set_queue_delay(harness, wait)
    harness.submit("r", retry=retry)
    assert [a.retry_after // (50 * MS) for a in harness.actions_of(api.Refuse)] == pauses


def test_without_retry_after_a_retry_has_the_limit_of_a_first_try():
    """Without Retry-After a client retries immediately and meets the same queue.

    A stricter limit would only use up its attempts.
    """
    final_answers = {}
    for retry in (False, True):
        harness = Harness(writers_read=False, retry_after=False)
        harness.serve("before")
        set_queue_delay(harness, 600 * MS)
        harness.submit("r", retry=retry)
        final_answers[retry] = (harness.final_answers(), len(harness.sent()))
    assert final_answers == {False: ([], 1), True: ([], 1)}


def test_mixed_server_has_fewer_virtual_nodes_than_a_reader():
    ring = Harness(fleet=(*FLEET, entry(31, "mixed"))).router.ring
    virtual_nodes = [server.entry.server for _, server in ring.virtual_nodes]
    assert 0 < virtual_nodes.count(31) < virtual_nodes.count(READER_A)


def test_full_writer_is_skipped_for_one_in_another_cell(harness):
    harness.submit()
    reader = harness.sent()[0]
    near = {READER_A: WRITER_A, READER_B: WRITER_B}[reader]
    harness.router.servers[near].committed_tokens = 300_000
    harness.outcome(Status.MISS, reader)
    assert harness.sent() == [WRITER_A + WRITER_B - near]


def test_writer_reads_if_every_reader_is_dead(harness):
    harness.router.mean_prompt_tokens.value = 10_000.0
    first = first_reader(harness)
    harness.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    harness.outcome(Status.CONNECT_FAILED, READER_A + READER_B - first, "probe", 1, after=200 * MS)
    assert harness.sent() and harness.sent()[0] in (WRITER_A, WRITER_B)


def test_restarted_reader_is_no_longer_ejected(harness):
    first = first_reader(harness)
    harness.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    cell = {READER_A: 0, READER_B: 1}[first]
    harness.send_event(
        api.ServerListUpdate((entry(first, "reader", cell, started_at=harness.now - 20 * S),), whole=False)
    )
    assert harness.router.servers[first] in harness.router.available_servers((api.Role.READ,))


def test_request_without_an_available_reader_is_refused_immediately_if_late():
    harness = Harness(writers_read=False)
    harness.router.servers[READER_A].ejected_until = harness.router.servers[READER_B].ejected_until = (
        harness.now + 9 * S
    )
    harness.submit()
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


@pytest.mark.parametrize(
    "effect, end", [(api.Idempotency.SAFE, api.Refuse), (api.Idempotency.UNSAFE, api.Fail)]
)
def test_request_that_cannot_be_retried_ends_in_the_same_event(effect, end):
    harness = Harness(effect=effect, max_attempts=2)
    harness.submit()
    harness.outcome(Status.MISS, harness.sent()[0])
    harness.outcome(Status.RESET, harness.sent()[0], attempt=1)
    assert harness.sent() == [] and harness.final_answers() == [end]


def test_queue_delay_decays_while_old_streams_end(harness):
    harness.serve("r1")
    harness.submit("r2")
    harness.outcome(Status.MISS, harness.sent()[0], "r2")
    writer = harness.sent()[0]
    harness.first_token(writer, "r2", after=S)
    assert harness.router.expected_delay(harness.router.servers[writer]) > S // 2
    harness.outcome(Status.OK, writer, "r2", 1, after=9 * S, closed=True)
    assert harness.router.expected_delay(harness.router.servers[writer]) == 0


def test_read_faster_than_estimated_leaves_no_queue_delay(harness):
    server = harness.router.servers[READER_A]
    server.queue_delay, server.queue_delay_at = -300 * MS, harness.now
    for after in (0, S, 20 * S, 2000 * S):
        harness.router.now = harness.now + after
        assert harness.router.expected_delay(server) == 0


def test_server_full_for_one_tenant_remains_available_to_others():
    harness = Harness(tenants=(api.TenantSettings("a"), api.TenantSettings("b")))
    harness.submit("r1", session="p", tenant="a")
    first = harness.sent()[0]
    harness.outcome(Status.FULL, first, "r1", after=3 * MS)
    assert harness.sent() and first not in harness.sent()
    harness.disconnect("r1")
    harness.submit("r2", session="p", tenant="a")
    assert first not in harness.sent()
    harness.submit("r3", session="p", tenant="b")
    assert harness.sent() == [first]


def test_cancelled_read_raises_the_silence_limit():
    harness = Harness(fleet=MANY_READERS)
    first_reader(harness)
    before = harness.router.stage_times[True].value or 0
    harness.run_timers(harness.now + 2 * S)
    assert harness.router.stage_times[True].value > before + S // 2


def test_writers_read_short_prompts_only():
    harness = congested_readers()
    harness.submit("short", prompt_tokens=2000)
    assert harness.sent()[0] in (WRITER_A, WRITER_B)
    harness.disconnect("short")
    harness.submit("longer", prompt_tokens=9_000)
    assert harness.sent()[0] in (WRITER_A, WRITER_B), "while writers have room"
    harness.disconnect("longer")
    harness.submit("long", prompt_tokens=15_000)
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]
    harness.router.reservations.add(harness.now, False)
    harness.submit("too long now", prompt_tokens=9_000)
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


def test_mixed_server_reads_prompts_up_to_the_mean_if_readers_are_congested():
    harness = congested_readers(fleet=(*FLEET, entry(31, "mixed")))
    harness.submit("mean", prompt_tokens=9_000)
    assert harness.sent() == [31]


def with_reservation(**changes):
    harness = Harness(reserve_ahead=True, **changes)
    harness.submit()
    return harness, harness.sent()[0], harness.actions_of(api.Reserve)[0].server


def with_failed_reservations(**changes):
    """Return a harness whose many recent reservations all failed."""
    harness = Harness(
        reserve_ahead=True, fleet=(*FLEET[:2], *(entry(200 + n, "writer") for n in range(4))), **changes
    )
    for number in range(40):
        harness.submit(f"r{number}")
        if not (readers := harness.sent()):
            return harness
        while harness.actions_of(api.Reserve):
            harness.send_event(api.ReservationResult(f"r{number}", 0, readers[0], reserved=False))
        harness.disconnect(f"r{number}")
    raise AssertionError("nothing was refused")


def test_requests_are_refused_immediately_if_recent_reservations_failed():
    harness = with_failed_reservations()
    harness.submit("late")
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]
    harness.submit("later", after=6 * S)  # the failed reservations have decayed: writers are tried again
    assert len(harness.sent()) == 1 and harness.final_answers() == []


def test_writers_do_not_read_if_recent_reservations_failed():
    harness = with_failed_reservations()
    harness.router.mean_prompt_tokens.value = 10_000.0
    set_queue_delay(harness, 2 * S)
    harness.submit("short")
    assert harness.sent() == []


def test_reserved_writer_gets_the_request():
    harness, reader, writer = with_reservation()
    harness.send_event(api.ReservationResult("r", 0, reader, reserved=True))
    assert harness.actions_of(api.Reserve) == []
    harness.router.servers[writer].committed_tokens = 10**6  # our own estimate no longer counts
    harness.outcome(Status.MISS, reader)
    assert harness.sent() == [writer]


def test_failed_reservation_is_retried_at_the_next_writer():
    harness, reader, writer = with_reservation()
    harness.send_event(api.ReservationResult("r", 0, reader, reserved=False))
    other = harness.actions_of(api.Reserve)[0].server
    assert other != writer
    harness.send_event(api.ReservationResult("r", 0, reader, reserved=False))
    assert harness.actions_of(api.Reserve) == []
    harness.outcome(Status.MISS, reader)
    assert len(harness.sent()) == 1


def test_reservation_is_released_if_the_read_fails():
    harness, reader, _ = with_reservation()
    harness.send_event(api.ReservationResult("r", 0, reader, reserved=True))
    harness.outcome(Status.ERROR, reader)
    assert api.Release("r") in harness.actions


def test_no_reservation_unless_enabled(harness):
    harness.submit()
    assert harness.actions_of(api.Reserve) == []


def test_unrequested_reservation_and_probe_results_are_ignored(harness):
    harness.submit()
    before = harness.router.jobs["r"].in_flight
    for event in (
        api.ReservationResult("r", 0, before[0].server.entry.server, reserved=True),
        api.ReservationResult("x", 3, WRITER_A, reserved=False),
        api.ProbeResult(WRITER_A, Status.OK, MS),
        api.ProbeResult(999, Status.TIMEOUT, MS),
        api.PeerMessage(5, b""),
        api.PeerMessage(5, b"\xff\x00noise"),
        api.PeerMessage(-1, b"v9:" + bytes(250)),
    ):
        assert harness.send_event(event) == []
    assert harness.router.jobs["r"].reserved_server is None and harness.router.jobs["r"].in_flight == before


def with_failed_reader(**changes):
    """Let one of many readers refuse connections; return the harness, the reader and the messages sent."""
    harness, messages = Harness(fleet=MANY_READERS, **changes), []
    first = first_reader(harness)
    harness.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    messages += harness.actions_of(api.SendPeerMessage)
    return harness, first, messages


def test_nothing_is_reported_without_peers():
    assert with_failed_reader()[2] == []


def test_fault_is_reported_to_peers_and_acted_on():
    _, down, messages = with_failed_reader(peers=True)
    harness = Harness(fleet=MANY_READERS, peers=True)
    assert len(messages) == 1 and messages[0].to is None
    harness.send_event(api.PeerMessage(3, messages[0].data))
    assert harness.actions == []  # reports of peers are not forwarded
    assert first_reader(harness) != down


def test_full_reported_by_a_peer_applies_to_that_tenant_and_class_and_expires():
    one, other = Harness(peers=True), Harness(peers=True)
    one.submit(tenant="small")
    reader = one.sent()[0]
    one.outcome(Status.FULL, reader)
    message = one.actions_of(api.SendPeerMessage)[0].data
    newer, noise = b"\x02" + message[1:], message[:1] + b"c" + message[2:]
    for junk in (b"", message[:-1], message + b"x", newer, noise, bytes(len(message))):
        other.send_event(api.PeerMessage(0, junk))
    other.submit("before", tenant="small", session="r")
    assert other.sent() == [reader]
    other.disconnect("before")
    other.send_event(api.PeerMessage(0, message))
    other.submit("theirs", tenant="small", session="r")
    other.submit("others", tenant="large", session="r")
    assert other.sent() == [reader]
    assert [a.server.entry.server for a in other.router.jobs["theirs"].in_flight] != [reader]
    for request in ("theirs", "others"):
        other.disconnect(request)
    other.submit("after", tenant="small", session="r", after=10 * S)
    assert other.sent() == [reader]


def test_server_reported_dead_by_a_peer_is_ejected():
    one, other = Harness(peers=True), Harness(peers=True)
    one.submit()
    reader = one.sent()[0]
    one.outcome(Status.CONNECT_FAILED, reader, after=200 * MS)
    other.send_event(api.PeerMessage(0, one.actions_of(api.SendPeerMessage)[0].data))
    other.submit()
    assert other.sent() == [READER_A + READER_B - reader]


def test_lateness_depends_on_the_chosen_reader_only():
    harness = Harness(fleet=MANY_READERS, writers_read=False)
    free = first_reader(harness)
    harness.outcome(Status.MISS, free, "probe")
    harness.disconnect("probe")
    harness.router.read_speed = 10_000.0
    for reader in (s for s in harness.router.live((api.Role.READ,)) if s.entry.server != free):
        reader.queue_delay, reader.queue_delay_at = 3 * S, harness.now
    harness.submit("r1", session="p")
    assert harness.sent() == [free], "delays at other readers do not count"
    harness.router.servers[free].in_flight["r1", 0].unread_tokens = 30_000
    harness.submit("r2", session="p")
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse], (
        "now three seconds of work wait at each reader"
    )


def test_reader_that_lost_one_prefix_counts_as_having_lost_all():
    harness = Harness(fleet=(entry(READER_A, "reader"), *FLEET[2:]), retry_after=True)
    reader = harness.router.servers[READER_A]
    for prefix in ("a", "b"):
        harness.serve(prefix, prompt_tokens=5000, prefix=prefix, prefix_tokens=4000)
    harness.submit("cached", session="n1", prompt_tokens=5000, prefix="a", prefix_tokens=4000)
    harness.submit("next", session="n2", prompt_tokens=5000, prefix="b", prefix_tokens=4000)
    assert reader.queued_tokens == 2000
    harness.outcome(Status.MISS, READER_A, "cached", detail=4000)
    assert reader.queued_tokens == 1000, "cached as expected: nothing was lost"
    harness.submit("lost", session="n3", prompt_tokens=5000, prefix="a", prefix_tokens=4000)
    harness.outcome(Status.MISS, READER_A, "lost", detail=0)
    assert reader.queued_tokens == 5000 and list(reader.cached_prefixes) == ["a"], (
        "only what was read again is cached"
    )
    harness.outcome(Status.MISS, READER_A, "next", detail=0)
    harness.submit("turn", session="b", prompt_tokens=6000)
    assert harness.router.unread_tokens(harness.router.jobs["turn"], reader) == 6000, (
        "earlier turns are lost too"
    )


def silent_reader(**changes):
    """Return a harness whose reader has been silent for long enough to be probed, and that reader."""
    harness = Harness(fleet=MANY_READERS, probes=True, **changes)
    reader = first_reader(harness)
    seen = harness.run_timers(harness.now + 350 * MS)
    assert [a for a in seen if isinstance(a, api.Probe)] == [api.Probe(reader)]
    return harness, reader


def test_work_at_a_silent_server_is_cancelled_at_once_if_a_probe_fails():
    harness, reader = silent_reader()
    harness.send_event(api.ProbeResult(reader, Status.TIMEOUT, 300 * MS), after=250 * MS)
    assert harness.actions_of(api.Cancel) == [api.Cancel("probe", 0)]
    harness.outcome(Status.CANCELLED, reader, "probe")
    assert harness.sent() and harness.sent() != [reader], "there is still time for a read elsewhere"
    harness.disconnect("probe")
    harness.submit("r2", session="p")
    assert harness.sent() != [reader]


def test_silent_server_that_answers_a_probe_gets_more_time():
    harness, reader = silent_reader()
    harness.send_event(api.ProbeResult(reader, Status.OK, MS))
    harness.run_timers(harness.now + S)
    assert harness.actions_of(api.Cancel) == [], "cancelling would lose work done"
    harness.run_timers(harness.now + S)
    assert harness.actions_of(api.Cancel) == [api.Cancel("probe", 0)], "only up to the silence limit"


REPORTS = {"waiting_tokens_field": "x1", "held_memory_field": "x0"}


def test_read_is_lost_if_a_probe_reports_an_empty_queue():
    harness, reader = silent_reader(**REPORTS)
    harness.send_event(api.ProbeResult(reader, Status.OK, MS, {"x0": 0.1, "x1": 0.0}))
    harness.run_timers(harness.now + 420 * MS)
    assert harness.actions_of(api.Probe) and not harness.actions_of(api.Cancel), (
        "the first report may predate the read"
    )
    harness.send_event(api.ProbeResult(reader, Status.OK, MS, {"x0": 0.1, "x1": 0.4}))
    harness.run_timers(harness.now + 200 * MS)
    assert harness.actions_of(api.Cancel) == [api.Cancel("probe", 0)], (
        "there is still time for a read elsewhere"
    )
    harness.outcome(Status.CANCELLED, reader, "probe")
    assert harness.sent() and harness.sent() != [reader]
    harness.disconnect("probe")
    harness.submit("r2", session="p")
    assert harness.sent() == [reader], "the server itself is healthy"


@pytest.mark.parametrize("load", [{"x0": 0.1, "x1": 9.0}, {"x0": 0.9, "x1": 0.0}, {}])
def test_read_is_not_lost_if_a_probe_reports_load_or_nothing(load):
    harness, reader = silent_reader(**REPORTS)
    for _ in range(2):
        harness.send_event(api.ProbeResult(reader, Status.OK, MS, load))
        harness.run_timers(harness.now + 420 * MS)
    assert harness.actions_of(api.Cancel) == []


def test_reset_of_a_probe_is_ignored():
    harness, reader = silent_reader()
    harness.send_event(api.ProbeResult(reader, Status.RESET, MS))
    assert harness.actions == []
    harness.run_timers(harness.now + 400 * MS)
    assert harness.actions_of(api.Cancel) == [api.Cancel("probe", 0)], "as if probes were disabled"


def test_ejected_server_is_probed_before_its_return_and_stays_ejected_while_dead():
    harness, reader = silent_reader()
    harness.send_event(api.ProbeResult(reader, Status.CONNECT_FAILED, MS))
    harness.disconnect("probe")
    assert harness.run_timers(harness.now + 700 * MS)[-1] == api.Probe(reader)
    harness.send_event(api.ProbeResult(reader, Status.TIMEOUT, 300 * MS), after=300 * MS)
    harness.submit("r2", session="p", after=500 * MS)
    assert harness.sent() and harness.sent() != [reader], "it stays ejected without a trial request"
    harness.disconnect("r2")
    probes = [a for a in harness.run_timers(harness.now + 1200 * MS) if isinstance(a, api.Probe)]
    assert probes == [api.Probe(reader)]
    harness.send_event(api.ProbeResult(reader, Status.OK, MS))
    harness.submit("r3", session="p", after=400 * MS)
    assert harness.sent() == [reader]


def test_no_probe_unless_enabled():
    harness = Harness(fleet=MANY_READERS)
    first_reader(harness)
    assert not [a for a in harness.run_timers(harness.now + 500 * MS) if isinstance(a, api.Probe)]


def test_lasting_congestion_lowers_the_refusal_limit():
    final_answers = {}
    for requests in (0, 60):
        harness = Harness(writers_read=False)
        harness.serve("before")
        for _ in range(requests):
            harness.router.congestion.add(0.6, 0.03)
        set_queue_delay(harness, 600 * MS)
        harness.submit("r")
        final_answers[requests] = harness.final_answers()
    assert final_answers == {0: [], 60: [api.Refuse]}


def test_short_first_read_is_no_speed_sample(harness):
    harness.submit("short", prompt_tokens=50)
    harness.outcome(Status.MISS, harness.sent()[0], "short", after=40 * MS)
    harness.submit("long", prompt_tokens=9000)
    assert harness.sent() and harness.final_answers() == []


def test_overtaken_read_is_allowed_the_time_of_all_earlier_ones():
    harness = Harness(fleet=(entry(READER_A, "reader"), *FLEET[2:]), writers_read=False)
    harness.serve("before", prompt_tokens=1000)
    harness.router.read_speed = 10_000.0
    harness.submit("lost", prompt_tokens=5000, time_left=60 * S)
    harness.submit("later", prompt_tokens=100, after=300 * MS)
    harness.outcome(Status.MISS, READER_A, "later")
    harness.run_timers(harness.now + 600 * MS)
    assert harness.actions_of(api.Cancel) == []
    harness.run_timers(harness.now + 300 * MS)
    assert harness.actions_of(api.Cancel) == [api.Cancel("lost", 0)]
