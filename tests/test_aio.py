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
    assert {"_current_request", "_messages", "_request_in_progress"} <= set(RequestHandler.__slots__)
    assert hasattr(RequestHandler, "_resume_transport_reading")
    assert _ErrInfo(400, ValueError(), "x").status == 400
    assert hasattr(ResponseHandler, "set_response_params") and hasattr(ResponseHandler, "feed_data")

    async def test():
        connector = Connector()
        assert isinstance(connector._factory(), Peer) and connector._conns == {} and connector.keeping
        session = aiohttp.ClientSession(connector=connector)
        assert session._retry_connection is True
        never_resend(session)
        door = Door(None, None, 5, 5, 5)
        assert door._connections == {} and door.caller().idle
        caller = door.caller()
        caller._request_in_progress = True  # as while aiohttp writes an answer whose request it forgot
        assert not caller.idle
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
