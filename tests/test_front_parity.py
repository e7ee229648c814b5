"""The same faults through both fronts, with one mixed endpoint, give equal outcomes."""

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


async def reject_unprocessed(call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed="1"))


async def unavailable(call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable"))


async def succeed(call, writer):
    if call[0].startswith("POST /v1"):
        writer.write(STREAM + chunk(EVENT + DONE) + b"0\r\n\r\n")
    else:
        writer.write(message("HTTP/1.1 200 OK", ANSWER))


@pytest.mark.parametrize(
    ("behaviour", "lookup", "booking"),
    [
        (succeed, 200, 200),
        (error, 503, 502),
        (close, 503, 502),
        (hang, 503, 502),
        (reject_unprocessed, 503, 503),
        (unavailable, 503, 502),
    ],
    ids=["succeed", "error", "close", "hang", "reject_unprocessed", "unavailable"],
)
@pytest.mark.parametrize("front", ["platform", "kserve"])
def test_fronts_give_equal_outcomes(tmp_path, front, behaviour, lookup, booking):
    async def test():
        async with Server(behaviour) as server:
            if front == "platform":
                start = platform(tmp_path, [entry("m", server.address, "mixed")], settings=MIXED)
            else:
                start = sidecar(tmp_path, server)
            async with start as program:
                for cls, code in (("booking", booking), ("lookup", lookup)):
                    before = len(server.calls)
                    ask = chat("x", cls, 400) if front == "platform" else infer("x", cls, time_left_ms=400)
                    first, headers, _ = await program.send_request(ask)
                    assert int(first.split()[1]) == code
                    assert ("retry-after" in headers) == (code == 503), "a refusal has Retry-After"
                    if cls == "booking" and behaviour is not reject_unprocessed:
                        assert len(server.calls) - before == 1, "a request that may have run is sent once"
                assert await program.stop() == 0

    asyncio.run(within(test(), 60))
