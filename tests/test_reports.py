"""What servers report with their answers, where each of many routers has little traffic of its own."""

from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, Desk, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Status

TOLD = {"held_memory_field": "x0"}
WRITERS = tuple(entry(200 + n, "writer") for n in range(6))


def tell(desk, server, held):
    desk.do(api.ProbeResult(server, Status.OK, MS, {"x0": held}))


def first_writers(desk, count=30):
    """Give the writers that so many requests go to, one after the other."""
    found = []
    for number in range(count):
        desk.ask(f"w{number}")
        desk.outcome(Status.MISS, desk.sent()[0], f"w{number}")
        found += desk.sent()
        desk.leave(f"w{number}")
    return found


def test_a_writer_that_tells_it_is_full_is_left_for_others_that_are_unknown_or_told_less():
    desk = Desk(fleet=(FLEET[0], *WRITERS), **TOLD)
    for writer in range(200, 203):
        tell(desk, writer, held=0.95)
    tell(desk, 203, held=0.3)
    sent = set(first_writers(desk))
    assert 203 in sent and not sent & {200, 201, 202}


def test_what_was_told_of_memory_fades():
    desk = Desk(fleet=(FLEET[0], *WRITERS), **TOLD)
    tell(desk, 200, held=0.95)
    tell(desk, 201, held=0.1)
    desk.now += 6 * S
    assert 200 in first_writers(desk, 60)


def test_reports_come_with_the_end_of_any_attempt():
    desk = Desk(**TOLD)
    desk.ask()
    reader = desk.sent()[0]
    desk.outcome(Status.MISS, reader, load={"x1": 7.5, "x0": 0.25})
    assert desk.router.servers[reader].told_held == 0.25


def test_a_cold_readers_turn_comes_before_the_home_of_short_prompts_and_not_of_long_ones():
    desk = Desk(fleet=(entry(READER_A, "reader"), entry(READER_B, "reader"), entry(WRITER_A, "writer")))
    desk.ask("first", session="p", prompt_tokens=4000)
    home = desk.sent()[0]
    desk.outcome(Status.MISS, home, "first", after=400 * MS)
    desk.leave("first")
    cold = READER_A + READER_B - home
    desk.do(api.ServerListUpdate((entry(cold, "reader", born=desk.now),), whole=False))
    server = desk.router.servers[cold]
    for prompt, wanted in ((4000, home), (500, cold)):
        server.credit = 1.0
        desk.ask(f"p{prompt}", session="p", prompt_tokens=prompt)
        assert desk.sent() == [wanted]
        desk.leave(f"p{prompt}")
    assert server.credit < 1, "its turn is over"
