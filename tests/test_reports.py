"""Load reports in servers' responses, where each of many routers has little traffic of its own."""

from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, Desk, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Status

REPORT_SETTINGS = {"held_memory_field": "x0"}
WRITERS = tuple(entry(200 + n, "writer") for n in range(6))


def report_memory(desk, server, memory_share):
    desk.do(api.ProbeResult(server, Status.OK, MS, {"x0": memory_share}))


def chosen_writers(desk, count=30):
    """Return the writers that receive so many requests, one after the other."""
    writers = []
    for number in range(count):
        desk.ask(f"w{number}")
        desk.outcome(Status.MISS, desk.sent()[0], f"w{number}")
        writers += desk.sent()
        desk.leave(f"w{number}")
    return writers


def test_a_writer_that_reports_full_memory_is_avoided():
    desk = Desk(fleet=(FLEET[0], *WRITERS), **REPORT_SETTINGS)
    for writer in range(200, 203):
        report_memory(desk, writer, memory_share=0.95)
    report_memory(desk, 203, memory_share=0.3)
    sent = set(chosen_writers(desk))
    assert 203 in sent and not sent & {200, 201, 202}


def test_a_memory_report_expires():
    desk = Desk(fleet=(FLEET[0], *WRITERS), **REPORT_SETTINGS)
    report_memory(desk, 200, memory_share=0.95)
    report_memory(desk, 201, memory_share=0.1)
    desk.now += 6 * S
    assert 200 in chosen_writers(desk, 60)


def test_a_report_is_read_from_the_end_of_any_attempt():
    desk = Desk(**REPORT_SETTINGS)
    desk.ask()
    reader = desk.sent()[0]
    desk.outcome(Status.MISS, reader, load={"x1": 7.5, "x0": 0.25})
    assert desk.router.servers[reader].reported_memory_share == 0.25


def test_a_cold_reader_gets_short_prompts_before_the_cached_reader_but_not_long_ones():
    desk = Desk(fleet=(entry(READER_A, "reader"), entry(READER_B, "reader"), entry(WRITER_A, "writer")))
    desk.ask("first", session="p", prompt_tokens=4000)
    cached_reader = desk.sent()[0]
    desk.outcome(Status.MISS, cached_reader, "first", after=400 * MS)
    desk.leave("first")
    cold_reader = READER_A + READER_B - cached_reader
    desk.do(api.ServerListUpdate((entry(cold_reader, "reader", born=desk.now),), whole=False))
    server = desk.router.servers[cold_reader]
    for prompt, expected in ((4000, cached_reader), (500, cold_reader)):
        server.credit = 1.0
        desk.ask(f"p{prompt}", session="p", prompt_tokens=prompt)
        assert desk.sent() == [expected]
        desk.leave(f"p{prompt}")
    assert server.credit < 1, "its credit is spent"
