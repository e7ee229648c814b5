"""Load reports in servers' responses, where each of many routers has little traffic of its own."""

from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, Harness, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Status

REPORT_SETTINGS = {"held_memory_field": "x0"}
WRITERS = tuple(entry(200 + n, "writer") for n in range(6))


def report_memory(harness, server, memory_share):
    harness.send_event(api.ProbeResult(server, Status.OK, MS, {"x0": memory_share}))


def chosen_writers(harness, count=30):
    """Submit `count` requests one after the other and return the writers that they are sent to."""
    writers = []
    for number in range(count):
        harness.submit(f"w{number}")
        harness.outcome(Status.MISS, harness.sent()[0], f"w{number}")
        writers += harness.sent()
        harness.disconnect(f"w{number}")
    return writers


def test_a_writer_that_reports_full_memory_is_avoided():
    harness = Harness(fleet=(FLEET[0], *WRITERS), **REPORT_SETTINGS)
    for writer in range(200, 203):
        report_memory(harness, writer, memory_share=0.95)
    report_memory(harness, 203, memory_share=0.3)
    sent = set(chosen_writers(harness))
    assert 203 in sent and not sent & {200, 201, 202}


def test_a_memory_report_expires():
    harness = Harness(fleet=(FLEET[0], *WRITERS), **REPORT_SETTINGS)
    report_memory(harness, 200, memory_share=0.95)
    report_memory(harness, 201, memory_share=0.1)
    harness.now += 6 * S
    assert 200 in chosen_writers(harness, 60)


def test_a_report_is_read_from_the_end_of_any_attempt():
    harness = Harness(**REPORT_SETTINGS)
    harness.submit()
    reader = harness.sent()[0]
    harness.outcome(Status.MISS, reader, load={"x1": 7.5, "x0": 0.25})
    assert harness.router.servers[reader].reported_memory_share == 0.25


def test_a_cold_reader_gets_short_prompts_before_the_cached_reader_but_not_long_ones():
    harness = Harness(fleet=(entry(READER_A, "reader"), entry(READER_B, "reader"), entry(WRITER_A, "writer")))
    harness.submit("first", session="p", prompt_tokens=4000)
    cached_reader = harness.sent()[0]
    harness.outcome(Status.MISS, cached_reader, "first", after=400 * MS)
    harness.disconnect("first")
    cold_reader = READER_A + READER_B - cached_reader
    harness.send_event(
        api.ServerListUpdate((entry(cold_reader, "reader", started_at=harness.now),), whole=False)
    )
    server = harness.router.servers[cold_reader]
    for prompt, expected in ((4000, cached_reader), (500, cold_reader)):
        server.credit = 1.0
        harness.submit(f"p{prompt}", session="p", prompt_tokens=prompt)
        assert harness.sent() == [expected]
        harness.disconnect(f"p{prompt}")
    assert server.credit < 1, "its credit is spent"
