"""What servers report with their answers, where each of many routers has little traffic of its own."""

from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, Harness, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Status

TOLD = {"held_memory_field": "x0"}
WRITERS = tuple(entry(200 + n, "writer") for n in range(6))


def tell(harness, server, held):
    harness.send_event(api.ProbeResult(server, Status.OK, MS, {"x0": held}))


def first_writers(harness, count=30):
    """Give the writers that so many requests go to, one after the other."""
    found = []
    for number in range(count):
        harness.submit(f"w{number}")
        harness.outcome(Status.MISS, harness.sent()[0], f"w{number}")
        found += harness.sent()
        harness.disconnect(f"w{number}")
    return found


def test_a_writer_that_tells_it_is_full_is_left_for_others_that_are_unknown_or_told_less():
    harness = Harness(fleet=(FLEET[0], *WRITERS), **TOLD)
    for writer in range(200, 203):
        tell(harness, writer, held=0.95)
    tell(harness, 203, held=0.3)
    sent = set(first_writers(harness))
    assert 203 in sent and not sent & {200, 201, 202}


def test_what_was_told_of_memory_fades():
    harness = Harness(fleet=(FLEET[0], *WRITERS), **TOLD)
    tell(harness, 200, held=0.95)
    tell(harness, 201, held=0.1)
    harness.now += 6 * S
    assert 200 in first_writers(harness, 60)


def test_reports_come_with_the_end_of_any_attempt():
    harness = Harness(**TOLD)
    harness.submit()
    reader = harness.sent()[0]
    harness.outcome(Status.MISS, reader, load={"x1": 7.5, "x0": 0.25})
    assert harness.router.servers[reader].reported_memory_share == 0.25


def test_a_cold_readers_turn_comes_before_the_home_of_short_prompts_and_not_of_long_ones():
    harness = Harness(fleet=(entry(READER_A, "reader"), entry(READER_B, "reader"), entry(WRITER_A, "writer")))
    harness.submit("first", session="p", prompt_tokens=4000)
    home = harness.sent()[0]
    harness.outcome(Status.MISS, home, "first", after=400 * MS)
    harness.disconnect("first")
    cold = READER_A + READER_B - home
    harness.send_event(api.ServerListUpdate((entry(cold, "reader", started_at=harness.now),), whole=False))
    server = harness.router.servers[cold]
    for prompt, wanted in ((4000, home), (500, cold)):
        server.credit = 1.0
        harness.submit(f"p{prompt}", session="p", prompt_tokens=prompt)
        assert harness.sent() == [wanted]
        harness.disconnect(f"p{prompt}")
    assert server.credit < 1, "its turn is over"
