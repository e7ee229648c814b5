"""What `net/aio.py` uses of aiohttp's own parts is there in the pinned release, and acts as it expects."""

import asyncio
from pathlib import Path

import aiohttp
import pytest
from aiohttp.client_proto import ResponseHandler
from aiohttp.web_protocol import RequestHandler, _ErrInfo
from standins import Server, message

from hoplane.net.aio import Connector, Door, Peer, Spoilt, never_resend

PINS = (Path(__file__).parent.parent / "requirements.txt").read_text().split()


def test_the_release_is_the_pinned_one():
    assert f"aiohttp=={aiohttp.__version__}" in PINS


def test_the_private_parts_are_there():
    assert {"_current_request", "_messages", "_waiter", "_force_close", "_next_keepalive_close_time"} <= set(
        RequestHandler.__slots__
    )
    for name in ("_resume_transport_reading", "_pause_transport_reading", "_process_keepalive"):
        assert hasattr(RequestHandler, name)
    assert _ErrInfo(400, ValueError(), "x").status == 400
    assert hasattr(ResponseHandler, "set_response_params") and hasattr(ResponseHandler, "feed_data")

    async def test():
        connector = Connector()
        assert isinstance(connector._factory(), Peer) and connector._conns == {} and connector.keeping
        session = aiohttp.ClientSession(connector=connector)
        assert session._retry_connection is True
        never_resend(session)
        door = Door(None, None, 5, 5, 5)
        assert door._connections == {}
        caller = door.caller()
        assert not caller.idle, "its task has not begun to wait"
        caller._waiter = asyncio.get_running_loop().create_future()
        assert caller.idle
        caller.half = asyncio.get_running_loop().time()
        assert not caller.idle, "a head is on its way"
        caller.half = 0.0
        caller._waiter.set_result(None)
        assert not caller.idle, "a request has come"
        await session.close()
    asyncio.run(test())


@pytest.mark.parametrize("opening", [b"", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"])
def test_an_answer_that_cannot_be_read_reaches_whoever_reads(opening):
    async def spoil(call, writer):
        writer.write(opening)
        await writer.drain()
        writer.write(b"\x80\x81\r\n\r\n")
        await asyncio.Event().wait()

    async def test():
        async with Server(spoil) as server, aiohttp.ClientSession(connector=Connector()) as session:
            with pytest.raises(Spoilt):
                async with asyncio.timeout(10), session.get(f"http://{server.address}/") as answer:
                    await answer.read()
    asyncio.run(test())


def test_a_kept_connection_serves_the_next_call():
    async def answer(call, writer):
        writer.write(message("HTTP/1.1 200 OK", b"x"))

    async def test():
        connector = Connector()
        async with Server(answer) as server, aiohttp.ClientSession(connector=connector) as session:
            for _ in range(3):
                async with session.get(f"http://{server.address}/") as got:
                    assert await got.read() == b"x"
            assert connector.drop_idle() == 1 and not connector.broken
    asyncio.run(test())
