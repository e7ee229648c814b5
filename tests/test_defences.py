"""Each defence against a kind of symptom, one small test a failure found."""

from collections import Counter

import pytest
from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, Desk, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Effect, Status

MANY_READERS = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]


def home(desk, request="probe"):
    desk.ask(request, session="p")
    return desk.sent()[0]


def test_a_dead_server_is_set_aside_and_tried_again_by_one_request(desk):
    first = home(desk)
    desk.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    other = READER_A + READER_B - first
    assert desk.sent() == [other]
    desk.leave("probe")
    desk.ask("r2", session="p")
    assert desk.sent() == [other]
    desk.leave("r2")
    desk.ask("r3", session="p", after=S)
    assert desk.sent() == [first]
    desk.ask("r4", session="p")
    assert desk.sent() == [other]


def test_a_lone_reset_or_those_of_kept_connections_set_no_server_aside():
    desk = Desk(fleet=MANY_READERS)
    first = home(desk)
    desk.outcome(Status.RESET, first, "probe", after=2 * MS)
    assert desk.sent() and desk.sent() != [first], "yet the next try goes elsewhere"
    for number in range(4):
        desk.ask(f"r{number}", session="p")
        assert desk.sent() == [first]
        desk.outcome(Status.RESET, first, f"r{number}", after=2 * MS, detail=api.SERVER_NOT_AT_FAULT)
    desk.ask("again", session="p")
    desk.outcome(Status.RESET, first, "again", after=2 * MS)
    desk.ask("more", session="p")
    assert desk.sent() and desk.sent() != [first], "two fresh ones in a row are another matter"


def test_a_server_that_turns_all_away_at_once_does_not_draw_all_sends():
    desk = Desk(fleet=MANY_READERS)
    bad = home(desk)
    sends = 0
    for number in range(100):
        desk.ask(f"r{number}", session="p", after=20 * MS)
        while bad in desk.sent():
            sends += 1
            attempt = len(desk.router.jobs[f"r{number}"].attempts) - 1
            desk.outcome(Status.FULL, bad, f"r{number}", attempt, after=3 * MS)
        for server in desk.sent():
            attempt = len(desk.router.jobs[f"r{number}"].attempts) - 1
            desk.outcome(Status.MISS, server, f"r{number}", attempt)
            desk.do(api.ClientDisconnected(f"r{number}"))
    assert sends < 12


def test_a_silent_reader_is_left_before_its_requests_time_is_up():
    desk = Desk(fleet=MANY_READERS, writers_read=False)
    reader = home(desk)
    desk.run_timers(desk.now + 2 * S)
    assert desk.of(api.Cancel) == [api.Cancel("probe", 0)]
    desk.outcome(Status.CANCELLED, reader, "probe")
    assert desk.ends() == [api.Refuse]  # its time is nearly up: it is not read anew


def test_a_server_that_fails_at_once_again_and_again_is_set_aside():
    desk = Desk(fleet=MANY_READERS)
    first = home(desk)
    desk.outcome(Status.MISS, first, "probe")
    desk.ask("once", session="p")
    desk.outcome(Status.ERROR, first, "once")
    assert desk.sent() and desk.sent() != [first], "the next try goes elsewhere"
    desk.outcome(Status.MISS, desk.sent()[0], "once", 1)
    desk.ask("again", session="p")
    assert desk.sent() == [first], "one error after good answers is none of its own"
    desk.outcome(Status.ERROR, first, "again")
    desk.ask("third", session="p")
    assert desk.sent() and desk.sent() != [first]
    for name in list(desk.router.jobs):
        desk.leave(name)
    desk.ask("trial", session="p", after=10 * S)
    assert desk.sent() == [first]


@pytest.mark.parametrize("status", [Status.ERROR, Status.CONNECT_FAILED])
def test_a_reader_that_only_failed_comes_last_for_a_while(status):
    """Guards against an old list, whose dead servers refuse at once, and then cost each request a try."""
    desk = Desk(fleet=MANY_READERS)
    first = home(desk)
    desk.outcome(status, first, "probe", after=2 * MS)
    desk.leave("probe")
    for number in range(20):
        desk.ask(f"r{number}", session="p")
        assert desk.sent() and desk.sent() != [first]
        desk.leave(f"r{number}")
    desk.ask("later", session="p", after=20 * S)
    assert desk.sent() == [first]


def fleet_with_a_bad_writer(effect, seed):
    """Play requests over many writers, one of which fails at once; give how often each was sent to."""
    writers = [entry(100 + n, "writer") for n in range(12)]
    desk = Desk(fleet=(entry(READER_A, "reader"), *writers), effect=effect, seed=seed)
    sends, lost = Counter(), 0
    for number in range(60):
        name = f"r{number}"
        desk.ask(name, after=50 * MS, time_left=60 * S)
        desk.outcome(Status.MISS, READER_A, name)
        for attempt in range(1, 6):
            if not desk.sent() or (writer := desk.sent()[0]) == READER_A:
                break
            sends[writer] += 1
            if writer != 100:
                desk.first(writer, name, attempt)
                break
            desk.outcome(Status.ERROR, writer, name, attempt, after=3 * MS)
            lost += api.Fail in desk.ends()
    return sends, lost


@pytest.mark.parametrize("effect", [Effect.SAFE, Effect.UNSAFE])
def test_a_writer_that_fails_fast_draws_no_more_for_seeming_idle(effect):
    found = [fleet_with_a_bad_writer(effect, seed) for seed in range(10)]
    assert max(sends[100] for sends, _ in found) <= 2, "its first error tells"
    assert all(sends[100 + n] for sends, _ in found for n in range(1, 12) if effect is Effect.SAFE)


def test_a_silent_reader_is_left_while_there_is_time_to_read_elsewhere():
    desk = Desk(fleet=MANY_READERS)
    reader = home(desk)
    desk.run_timers(desk.now + 700 * MS)
    assert desk.of(api.Cancel) == [api.Cancel("probe", 0)]
    desk.outcome(Status.CANCELLED, reader, "probe")
    assert desk.sent() and desk.sent() != [reader]


def stuck(effect):
    """Give a desk at whose writer one request is lost, while one that came later is answered."""
    fleet = entry(READER_A, "reader"), entry(WRITER_A, "writer")
    desk = Desk(fleet=fleet, effect=effect, writers_read=False)
    for request, after in (("lost", 0), ("later", 600 * MS)):
        desk.ask(request, after=after, time_left=60 * S)
        desk.outcome(Status.MISS, READER_A, request)
        assert desk.sent() == [WRITER_A]
    desk.first(WRITER_A, "later")
    return desk


def test_a_request_lost_at_a_writer_makes_no_others_late():
    desk = stuck(api.Effect.UNSAFE)
    desk.run_timers(desk.now + 3 * S)
    assert desk.of(api.Cancel) == [], "what may have run is left to wait"
    desk.ask("next", session="n")
    assert desk.ends() == [] and desk.sent() == [READER_A]


def test_a_lost_request_that_may_run_again_is_given_up_and_its_server_kept():
    desk = stuck(api.Effect.SAFE)
    desk.run_timers(desk.now + S)
    assert desk.of(api.Cancel) == [api.Cancel("lost", 1)]
    assert desk.router.servers[WRITER_A] in desk.router.available_servers((api.Role.WRITE,))


def test_an_unsafe_request_at_a_silent_writer_is_left_to_wait():
    desk = Desk(effect=api.Effect.UNSAFE)
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    desk.run_timers(desk.now + 3 * S)
    assert desk.of(api.Cancel) == []


def test_silence_never_sets_more_than_half_of_a_role_aside():
    desk = Desk(fleet=MANY_READERS)
    for number in range(40):
        desk.ask(f"r{number}", prefix=f"p{number}")
    desk.run_timers(desk.now + S)
    aside = [s for s in desk.router.servers.values() if s.ejected_until > desk.now]
    assert 0 < len(aside) <= 2


def test_reads_given_up_on_leave_their_wait_behind():
    desk = Desk(writers_read=False)
    for number in range(6):
        desk.ask(f"r{number}")
    waiting = {f"r{n}": desk.router.jobs[f"r{n}"].in_flight[0].server.entry.server for n in range(6)}
    for request, reader in waiting.items():
        desk.do(api.ClientDisconnected(request))
        desk.do(api.Outcome(request, 0, reader, Status.CANCELLED, 2 * S))
    desk.ask("next")
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


def test_with_no_reader_left_a_writer_reads():
    desk = Desk(fleet=FLEET[2:])
    desk.ask()
    assert desk.sent()[0] in (WRITER_A, WRITER_B)


@pytest.mark.parametrize("fleet", [FLEET[2:], FLEET[:2], ()])
def test_with_no_server_left_of_a_stage_the_request_ends_at_once(fleet):
    desk = Desk(fleet=fleet, writers_read=False)
    desk.ask()
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


def test_with_every_writer_set_aside_beyond_its_aim_a_request_ends_at_once_and_is_told_when_to_return():
    desk = Desk(retry_after=True, max_retry_after=3 * S)
    for writer, span in ((WRITER_A, 5 * S), (WRITER_B, 2 * S)):
        desk.router.servers[writer].ejected_until = desk.now + span
    desk.ask()
    assert [a.retry_after for a in desk.of(api.Refuse)] == [2 * S]
    desk.router.servers[WRITER_B].ejected_until = desk.now + 9 * S
    desk.ask("r2")
    assert [a.retry_after for a in desk.of(api.Refuse)] == [3 * S]  # as long as clients heed


def test_with_every_writer_back_before_it_is_late_a_request_waits():
    desk = Desk(fleet=FLEET[2:])
    for writer in (WRITER_A, WRITER_B):
        desk.router.servers[writer].ejected_until = desk.now + 100 * MS
    desk.ask()
    assert desk.sent() == [] and desk.ends() == []
    desk.run_timers(desk.now + 200 * MS)
    assert desk.sent()[0] in (WRITER_A, WRITER_B)


def test_a_read_state_that_no_writer_is_left_to_take_ends_and_is_released_at_once(desk):
    desk.ask()
    reader = desk.sent()[0]
    gone = tuple(entry(s, "writer", c, api.State.GONE) for s, c in ((WRITER_A, 0), (WRITER_B, 1)))
    desk.do(api.ServerListUpdate(gone, whole=False))
    desk.outcome(Status.MISS, reader)
    assert desk.ends() == [api.Refuse] and desk.of(api.Release) == [api.Release("r")]


def test_a_state_that_is_gone_is_read_anew(desk):
    desk.ask()
    reader = desk.sent()[0]
    desk.outcome(Status.MISS, reader)
    writer = desk.sent()[0]
    desk.outcome(Status.FULL, writer, attempt=1, detail=1)
    assert desk.sent()[0] in (READER_A, READER_B)


def jam(desk, wait):
    """Let both readers have shown a wait just now."""
    for reader in (READER_A, READER_B):
        desk.router.servers[reader].queue_delay = wait
        desk.router.servers[reader].queue_delay_at = desk.now


def jammed(**changes):
    desk = Desk(**changes)
    desk.router.mean_prompt_tokens.value = 10_000.0
    jam(desk, 2 * S)
    return desk


def test_where_readers_jam_an_idle_writer_reads():
    desk = jammed()
    desk.ask("r2")
    assert desk.sent()[0] in (WRITER_A, WRITER_B)


def test_where_readers_and_writers_jam_new_requests_are_refused_at_once():
    desk = jammed()
    for writer in (WRITER_A, WRITER_B):
        desk.router.servers[writer].queue_delay = 2 * S
        desk.router.servers[writer].queue_delay_at = desk.now
    desk.ask("r2")
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


def test_over_share_tenants_are_refused_first():
    ends = {}
    for tenant in ("small", "large"):
        desk = Desk(writers_read=False)
        for number in range(30):
            desk.serve(f"r{number}", tenant=tenant)
        jam(desk, 500 * MS)
        desk.router.tenant_arrivals[tenant].add(desk.now, 30)
        desk.ask("r", tenant=tenant)
        ends[tenant] = desk.ends()
    assert ends == {"small": [api.Refuse], "large": []}


@pytest.mark.parametrize(
    "wait, retry, pauses",
    [
        (600 * MS, False, []),  # taken
        (600 * MS, True, [0]),  # another router may take it
        (1000 * MS, False, [2]),  # told to stay away for what is past the limit
        (1000 * MS, True, [2]),
    ],
)
def test_a_marked_repeat_is_turned_away_sooner_and_told_when_to_return(wait, retry, pauses):
    desk = Desk(writers_read=False, retry_after=True, max_retry_after=2 * S)
    desk.serve("before")
    jam(desk, wait)
    desk.ask("r", retry=retry)
    assert [a.retry_after // (50 * MS) for a in desk.of(api.Refuse)] == pauses


def test_where_no_wait_can_be_told_a_repeat_meets_the_limit_of_a_first_try():
    """A client told no wait comes again at once, to the same waits: a stricter limit spends its tries."""
    ends = {}
    for retry in (False, True):
        desk = Desk(writers_read=False, retry_after=False)
        desk.serve("before")
        jam(desk, 600 * MS)
        desk.ask("r", retry=retry)
        ends[retry] = (desk.ends(), len(desk.sent()))
    assert ends == {False: ([], 1), True: ([], 1)}


def test_a_mixed_server_has_a_smaller_part_of_the_ring_than_a_reader():
    ring = Desk(fleet=(*FLEET, entry(31, "mixed"))).router.ring
    virtual_nodes = [server.entry.server for _, server in ring.virtual_nodes]
    assert 0 < virtual_nodes.count(31) < virtual_nodes.count(READER_A)


def test_a_full_writer_is_passed_over_for_another_cell(desk):
    desk.ask()
    reader = desk.sent()[0]
    near = {READER_A: WRITER_A, READER_B: WRITER_B}[reader]
    desk.router.servers[near].committed_tokens = 300_000
    desk.outcome(Status.MISS, reader)
    assert desk.sent() == [WRITER_A + WRITER_B - near]


def test_where_every_reader_is_dead_none_is_tried_again_and_a_writer_reads(desk):
    desk.router.mean_prompt_tokens.value = 10_000.0
    first = home(desk)
    desk.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    desk.outcome(Status.CONNECT_FAILED, READER_A + READER_B - first, "probe", 1, after=200 * MS)
    assert desk.sent() and desk.sent()[0] in (WRITER_A, WRITER_B)


def test_a_reader_listed_with_a_fresh_start_is_taken_up_again(desk):
    first = home(desk)
    desk.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    cell = {READER_A: 0, READER_B: 1}[first]
    desk.do(api.ServerListUpdate((entry(first, "reader", cell, born=desk.now - 20 * S),), whole=False))
    assert desk.router.servers[first] in desk.router.available_servers((api.Role.READ,))


def test_a_request_that_no_server_takes_is_refused_at_once_when_it_would_be_late():
    desk = Desk(writers_read=False)
    desk.router.servers[READER_A].ejected_until = desk.router.servers[READER_B].ejected_until = (
        desk.now + 9 * S
    )
    desk.ask()
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


@pytest.mark.parametrize("effect, end", [(api.Effect.SAFE, api.Refuse), (api.Effect.UNSAFE, api.Fail)])
def test_attempts_spent_or_nothing_to_be_resent_ends_in_the_same_event(effect, end):
    desk = Desk(effect=effect, max_attempts=2)
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    desk.outcome(Status.RESET, desk.sent()[0], attempt=1)
    assert desk.sent() == [] and desk.ends() == [end]


def test_a_wait_seen_once_fades_though_old_streams_still_end(desk):
    desk.serve("r1")
    desk.ask("r2")
    desk.outcome(Status.MISS, desk.sent()[0], "r2")
    writer = desk.sent()[0]
    desk.first(writer, "r2", after=S)
    assert desk.router.expected_delay(desk.router.servers[writer]) > S // 2
    desk.outcome(Status.OK, writer, "r2", 1, after=9 * S, closed=True)
    assert desk.router.expected_delay(desk.router.servers[writer]) == 0


def test_a_read_quicker_than_guessed_leaves_no_wait_at_any_time(desk):
    server = desk.router.servers[READER_A]
    server.queue_delay, server.queue_delay_at = -300 * MS, desk.now
    for after in (0, S, 20 * S, 2000 * S):
        desk.router.now = desk.now + after
        assert desk.router.expected_delay(server) == 0


def test_full_for_one_tenant_leaves_the_server_to_the_others():
    desk = Desk(tenants=(api.TenantSettings("a"), api.TenantSettings("b")))
    desk.ask("r1", session="p", tenant="a")
    first = desk.sent()[0]
    desk.outcome(Status.FULL, first, "r1", after=3 * MS)
    assert desk.sent() and first not in desk.sent()
    desk.leave("r1")
    desk.ask("r2", session="p", tenant="a")
    assert first not in desk.sent()
    desk.ask("r3", session="p", tenant="b")
    assert desk.sent() == [first]


def test_a_read_given_up_on_makes_the_next_silence_longer():
    desk = Desk(fleet=MANY_READERS)
    home(desk)
    before = desk.router.stage_times[True].value or 0
    desk.run_timers(desk.now + 2 * S)
    assert desk.router.stage_times[True].value > before + S // 2


def test_only_a_short_prompt_is_read_by_a_writer():
    desk = jammed()
    desk.ask("short", prompt_tokens=2000)
    assert desk.sent()[0] in (WRITER_A, WRITER_B)
    desk.leave("short")
    desk.ask("longer", prompt_tokens=9_000)
    assert desk.sent()[0] in (WRITER_A, WRITER_B), "as writers have room"
    desk.leave("longer")
    desk.ask("long", prompt_tokens=15_000)
    assert desk.sent() == [] and desk.ends() == [api.Refuse]
    desk.router.reservations.add(desk.now, False)
    desk.ask("too long now", prompt_tokens=9_000)
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


def test_a_mixed_server_reads_prompts_up_to_the_mean_where_readers_jam():
    desk = jammed(fleet=(*FLEET, entry(31, "mixed")))
    desk.ask("mean", prompt_tokens=9_000)
    assert desk.sent() == [31]


def ahead(**changes):
    desk = Desk(reserve_ahead=True, **changes)
    desk.ask()
    return desk, desk.sent()[0], desk.of(api.Reserve)[0].server


def crowded(**changes):
    """Give a desk that asked for many places of late, none of them held."""
    desk = Desk(
        reserve_ahead=True, fleet=(*FLEET[:2], *(entry(200 + n, "writer") for n in range(4))), **changes
    )
    for number in range(40):
        desk.ask(f"r{number}")
        if not (readers := desk.sent()):
            return desk
        while desk.of(api.Reserve):
            desk.do(api.ReservationResult(f"r{number}", 0, readers[0], reserved=False))
        desk.leave(f"r{number}")
    raise AssertionError("nothing was refused")


def test_where_no_places_are_held_of_late_new_requests_are_refused_at_once():
    desk = crowded()
    desk.ask("late")
    assert desk.sent() == [] and desk.ends() == [api.Refuse]
    desk.ask("later", after=6 * S)  # what was asked has faded: the writers are tried anew
    assert len(desk.sent()) == 1 and desk.ends() == []


def test_where_no_places_are_held_of_late_no_writer_reads_for_jammed_readers():
    desk = crowded()
    desk.router.mean_prompt_tokens.value = 10_000.0
    jam(desk, 2 * S)
    desk.ask("short")
    assert desk.sent() == []


def test_a_place_is_held_during_the_read_and_taken():
    desk, reader, writer = ahead()
    desk.do(api.ReservationResult("r", 0, reader, reserved=True))
    assert desk.of(api.Reserve) == []
    desk.router.servers[writer].committed_tokens = 10**6  # what we think of it no longer counts
    desk.outcome(Status.MISS, reader)
    assert desk.sent() == [writer]


def test_a_place_that_is_not_to_be_had_sends_us_to_the_next_writer():
    desk, reader, writer = ahead()
    desk.do(api.ReservationResult("r", 0, reader, reserved=False))
    other = desk.of(api.Reserve)[0].server
    assert other != writer
    desk.do(api.ReservationResult("r", 0, reader, reserved=False))
    assert desk.of(api.Reserve) == []
    desk.outcome(Status.MISS, reader)
    assert len(desk.sent()) == 1


def test_a_place_held_is_let_go_where_the_read_fails():
    desk, reader, _ = ahead()
    desk.do(api.ReservationResult("r", 0, reader, reserved=True))
    desk.outcome(Status.ERROR, reader)
    assert api.Release("r") in desk.actions


def test_no_place_is_asked_for_where_that_is_not_allowed(desk):
    desk.ask()
    assert desk.of(api.Reserve) == []


def test_a_place_or_probe_that_nobody_asked_for_does_no_harm(desk):
    desk.ask()
    before = desk.router.jobs["r"].in_flight
    for event in (
        api.ReservationResult("r", 0, before[0].server.entry.server, reserved=True),
        api.ReservationResult("x", 3, WRITER_A, reserved=False),
        api.ProbeResult(WRITER_A, Status.OK, MS),
        api.ProbeResult(999, Status.TIMEOUT, MS),
        api.PeerMessage(5, b""),
        api.PeerMessage(5, b"\xff\x00noise"),
        api.PeerMessage(-1, b"v9:" + bytes(250)),
    ):
        assert desk.do(event) == []
    assert desk.router.jobs["r"].reserved_server is None and desk.router.jobs["r"].in_flight == before


def down_reader(**changes):
    """Let one of many readers refuse the connection again and again; give the desk, it and what is told."""
    desk, told = Desk(fleet=MANY_READERS, **changes), []
    first = home(desk)
    desk.outcome(Status.CONNECT_FAILED, first, "probe", after=200 * MS)
    told += desk.of(api.SendPeerMessage)
    return desk, first, told


def test_nothing_is_told_where_there_are_no_peers():
    assert down_reader()[2] == []


def test_what_one_router_met_is_told_and_heeded_by_another():
    _, down, told = down_reader(peers=True)
    desk = Desk(fleet=MANY_READERS, peers=True)
    assert len(told) == 1 and told[0].to is None
    desk.do(api.PeerMessage(3, told[0].data))
    assert desk.actions == []  # what was told is not told on
    assert home(desk) != down


def test_full_told_by_a_peer_holds_for_that_tenant_and_class_and_fades():
    one, other = Desk(peers=True), Desk(peers=True)
    one.ask(tenant="small")
    reader = one.sent()[0]
    one.outcome(Status.FULL, reader)
    word = one.of(api.SendPeerMessage)[0].data
    newer, noise = b"\x02" + word[1:], word[:1] + b"c" + word[2:]
    for junk in (b"", word[:-1], word + b"x", newer, noise, bytes(len(word))):
        other.do(api.PeerMessage(0, junk))
    other.ask("before", tenant="small", session="r")
    assert other.sent() == [reader]
    other.leave("before")
    other.do(api.PeerMessage(0, word))
    other.ask("theirs", tenant="small", session="r")
    other.ask("others", tenant="large", session="r")
    assert other.sent() == [reader]
    assert [a.server.entry.server for a in other.router.jobs["theirs"].in_flight] != [reader]
    for request in ("theirs", "others"):
        other.leave(request)
    other.ask("after", tenant="small", session="r", after=10 * S)
    assert other.sent() == [reader]


def test_a_server_found_dead_by_a_peer_is_set_aside():
    one, other = Desk(peers=True), Desk(peers=True)
    one.ask()
    reader = one.sent()[0]
    one.outcome(Status.CONNECT_FAILED, reader, after=200 * MS)
    other.do(api.PeerMessage(0, one.of(api.SendPeerMessage)[0].data))
    other.ask()
    assert other.sent() == [READER_A + READER_B - reader]


def test_a_request_is_late_by_its_own_readers_end_and_not_by_the_wait_at_others():
    desk = Desk(fleet=MANY_READERS, writers_read=False)
    free = home(desk)
    desk.outcome(Status.MISS, free, "probe")
    desk.leave("probe")
    desk.router.read_speed = 10_000.0
    for reader in (s for s in desk.router.live((api.Role.READ,)) if s.entry.server != free):
        reader.queue_delay, reader.queue_delay_at = 3 * S, desk.now
    desk.ask("r1", session="p")
    assert desk.sent() == [free], "the others' waits are none of its own"
    desk.router.servers[free].in_flight["r1", 0].unread_tokens = 30_000
    desk.ask("r2", session="p")
    assert desk.sent() == [] and desk.ends() == [api.Refuse], "three seconds' tokens wait at each reader now"


def test_a_reader_that_lost_one_text_is_taken_to_have_lost_all():
    desk = Desk(fleet=(entry(READER_A, "reader"), *FLEET[2:]), retry_after=True)
    reader = desk.router.servers[READER_A]
    for prefix in ("a", "b"):
        desk.serve(prefix, prompt_tokens=5000, prefix=prefix, prefix_len=4000)
    desk.ask("kept", session="n1", prompt_tokens=5000, prefix="a", prefix_len=4000)
    desk.ask("next", session="n2", prompt_tokens=5000, prefix="b", prefix_len=4000)
    assert reader.queued_tokens == 2000
    desk.outcome(Status.MISS, READER_A, "kept", detail=4000)
    assert reader.queued_tokens == 1000, "what was kept as thought tells of no loss"
    desk.ask("lost", session="n3", prompt_tokens=5000, prefix="a", prefix_len=4000)
    desk.outcome(Status.MISS, READER_A, "lost", detail=0)
    assert reader.queued_tokens == 5000 and list(reader.cached_prefixes) == ["a"], (
        "only what was read anew is there"
    )
    desk.outcome(Status.MISS, READER_A, "next", detail=0)
    desk.ask("turn", session="b", prompt_tokens=6000)
    assert desk.router.unread_tokens(desk.router.jobs["turn"], reader) == 6000, "and of earlier turns"


def silent(**changes):
    """Give a desk whose reader has been silent for long enough to be probed, and that reader."""
    desk = Desk(fleet=MANY_READERS, probes=True, **changes)
    reader = home(desk)
    seen = desk.run_timers(desk.now + 350 * MS)
    assert [a for a in seen if isinstance(a, api.Probe)] == [api.Probe(reader)]
    return desk, reader


def test_a_silent_server_that_does_not_answer_a_probe_is_left_at_once():
    desk, reader = silent()
    desk.do(api.ProbeResult(reader, Status.TIMEOUT, 300 * MS), after=250 * MS)
    assert desk.of(api.Cancel) == [api.Cancel("probe", 0)]
    desk.outcome(Status.CANCELLED, reader, "probe")
    assert desk.sent() and desk.sent() != [reader], "there is time to read elsewhere"
    desk.leave("probe")
    desk.ask("r2", session="p")
    assert desk.sent() != [reader]


def test_a_silent_server_that_answers_a_probe_is_jammed_and_given_time():
    desk, reader = silent()
    desk.do(api.ProbeResult(reader, Status.OK, MS))
    desk.run_timers(desk.now + S)
    assert desk.of(api.Cancel) == [], "the work that it has done would be lost"
    desk.run_timers(desk.now + S)
    assert desk.of(api.Cancel) == [api.Cancel("probe", 0)], "yet not for ever"


REPORTS = {"waiting_tokens_field": "x1", "held_memory_field": "x0"}


def test_a_read_is_lost_where_a_probe_tells_that_hardly_anything_waits():
    desk, reader = silent(**REPORTS)
    desk.do(api.ProbeResult(reader, Status.OK, MS, {"x0": 0.1, "x1": 0.0}))
    desk.run_timers(desk.now + 420 * MS)
    assert desk.of(api.Probe) and not desk.of(api.Cancel), "the first report may be older than the read"
    desk.do(api.ProbeResult(reader, Status.OK, MS, {"x0": 0.1, "x1": 0.4}))
    desk.run_timers(desk.now + 200 * MS)
    assert desk.of(api.Cancel) == [api.Cancel("probe", 0)], "in time to read elsewhere"
    desk.outcome(Status.CANCELLED, reader, "probe")
    assert desk.sent() and desk.sent() != [reader]
    desk.leave("probe")
    desk.ask("r2", session="p")
    assert desk.sent() == [reader], "the server itself is well"


@pytest.mark.parametrize("load", [{"x0": 0.1, "x1": 9.0}, {"x0": 0.9, "x1": 0.0}, {}])
def test_a_read_is_not_lost_where_a_probe_tells_of_a_jam_or_nothing(load):
    desk, reader = silent(**REPORTS)
    for _ in range(2):
        desk.do(api.ProbeResult(reader, Status.OK, MS, load))
        desk.run_timers(desk.now + 420 * MS)
    assert desk.of(api.Cancel) == []


def test_a_probe_that_was_reset_tells_nothing():
    desk, reader = silent()
    desk.do(api.ProbeResult(reader, Status.RESET, MS))
    assert desk.actions == []
    desk.run_timers(desk.now + 400 * MS)
    assert desk.of(api.Cancel) == [api.Cancel("probe", 0)], "as where no probes are allowed"


def test_a_server_set_aside_is_probed_before_its_return_and_stays_aside_while_it_is_dead():
    desk, reader = silent()
    desk.do(api.ProbeResult(reader, Status.CONNECT_FAILED, MS))
    desk.leave("probe")
    assert desk.run_timers(desk.now + 700 * MS)[-1] == api.Probe(reader)
    desk.do(api.ProbeResult(reader, Status.TIMEOUT, 300 * MS), after=300 * MS)
    desk.ask("r2", session="p", after=500 * MS)
    assert desk.sent() and desk.sent() != [reader], "no request found out that it was dead"
    desk.leave("r2")
    probes = [a for a in desk.run_timers(desk.now + 1200 * MS) if isinstance(a, api.Probe)]
    assert probes == [api.Probe(reader)]
    desk.do(api.ProbeResult(reader, Status.OK, MS))
    desk.ask("r3", session="p", after=400 * MS)
    assert desk.sent() == [reader]


def test_no_probe_where_the_settings_allow_none():
    desk = Desk(fleet=MANY_READERS)
    home(desk)
    assert not [a for a in desk.run_timers(desk.now + 500 * MS) if isinstance(a, api.Probe)]


def test_a_lasting_jam_lowers_the_wait_that_turns_away():
    ends = {}
    for jammed_for in (0, 60):
        desk = Desk(writers_read=False)
        desk.serve("before")
        for _ in range(jammed_for):
            desk.router.congestion.add(0.6, 0.03)
        jam(desk, 600 * MS)
        desk.ask("r")
        ends[jammed_for] = desk.ends()
    assert ends == {0: [], 60: [api.Refuse]}


def test_a_first_short_read_tells_nothing_of_the_speed_of_long_ones(desk):
    desk.ask("short", prompt_tokens=50)
    desk.outcome(Status.MISS, desk.sent()[0], "short", after=40 * MS)
    desk.ask("long", prompt_tokens=9000)
    assert desk.sent() and desk.ends() == []


def test_a_read_that_others_have_passed_has_the_time_of_all_before_it():
    desk = Desk(fleet=(entry(READER_A, "reader"), *FLEET[2:]), writers_read=False)
    desk.serve("before", prompt_tokens=1000)
    desk.router.read_speed = 10_000.0
    desk.ask("lost", prompt_tokens=5000, time_left=60 * S)
    desk.ask("later", prompt_tokens=100, after=300 * MS)
    desk.outcome(Status.MISS, READER_A, "later")
    desk.run_timers(desk.now + 600 * MS)
    assert desk.of(api.Cancel) == []
    desk.run_timers(desk.now + 300 * MS)
    assert desk.of(api.Cancel) == [api.Cancel("lost", 0)]
