"""The same faults on both fronts: mixed endpoints, one fleet, equal outcomes."""

import asyncio

import pytest
from standins import DONE, EVENT, SETTINGS, STREAM, Server, chat, chunk, entry, message, platform, within
from test_kserve import ANSWER, infer, sidecar

MIXED = {**SETTINGS, "kinds": ["mixed"], "family_info": {"duty_by_kind": ["both"], "local_read": True}}


async def error(call, writer):
    writer.write(message("HTTP/1.1 500 Internal Server Error"))


async def close(call, writer):
    writer.close()


async def hang(call, writer):
    await asyncio.Event().wait()


async def turn_away(call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed="1"))


async def busy(call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable"))


async def well(call, writer):
    if call[0].startswith("POST /v1"):
        writer.write(STREAM + chunk(EVENT + DONE) + b"0\r\n\r\n")
    else:
        writer.write(message("HTTP/1.1 200 OK", ANSWER))


@pytest.mark.parametrize(
    ("play", "lookup", "booking"),
    [
        (well, 200, 200),
        (error, 503, 502),
        (close, 503, 502),
        (hang, 503, 502),
        (turn_away, 503, 503),
        (busy, 503, 502),
    ],
    ids=["well", "error", "close", "hang", "turn_away", "busy"],
)
@pytest.mark.parametrize("front", ["platform", "kserve"])
def test_outcomes_are_equal(tmp_path, front, play, lookup, booking):
    async def test():
        async with Server(play) as server:
            if front == "platform":
                start = platform(tmp_path, [entry("m", server.address, "mixed")], settings=MIXED)
            else:
                start = sidecar(tmp_path, server)
            async with start as program:
                for cls, code in (("booking", booking), ("lookup", lookup)):
                    before = len(server.calls)
                    ask = chat("x", cls, 400) if front == "platform" else infer("x", cls, time_left_ms=400)
                    first, headers, _ = await program.ask(ask)
                    assert int(first.split()[1]) == code
                    assert ("retry-after" in headers) == (code == 503), "a refusal says when to return"
                    if cls == "booking" and play is not turn_away:
                        assert len(server.calls) - before == 1, "what may have run is sent once"
                assert await program.stop() == 0

    asyncio.run(within(test(), 60))
