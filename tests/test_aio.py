"""What `net/aio.py` uses of aiohttp's own parts is there in the pinned release, and acts as it expects."""

import asyncio
import socket
from datetime import timedelta
from pathlib import Path

import aiohttp
import pytest
from aiohttp.client_proto import ResponseHandler
from aiohttp.web_protocol import RequestHandler, _ErrInfo
from standins import Server, message

from hoplane.net import aio
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
            connector.at_once = server.address
            for _ in range(3):
                async with session.get(f"http://{server.address}/") as got:
                    assert await got.read() == b"x"
            assert connector.drop_idle() == 1 and not connector.broken

    asyncio.run(test())


class Raw:
    """An endpoint whose writes go out at once, with no pass of the loop between."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.url, self.taken = "http://{}:{}/".format(*self.listener.getsockname()), []

    async def answer(self, made, body):
        loop = asyncio.get_running_loop()
        if made is None:
            made, _ = await loop.sock_accept(self.listener)
            made.setblocking(False)
            self.taken.append(made)
        await loop.sock_recv(made, 65536)
        made.send(message("HTTP/1.1 200 OK", body))
        return made

    async def ask(self, session):
        async with session.get(self.url) as got:
            return await got.read()


@pytest.mark.parametrize("came", ["a second answer", "its close", "nothing"])
def test_a_kept_connection_on_which_something_waits_unread_is_not_used_again(monkeypatch, came):
    monkeypatch.setattr(aio, "BEHIND", timedelta())

    async def test():
        raw = Raw()
        async with aiohttp.ClientSession(connector=Connector()) as session:
            never_resend(session)
            first, kept = await asyncio.gather(raw.ask(session), raw.answer(None, b"one"))
            assert first == b"one" and session.connector._conns
            if came == "a second answer":
                kept.send(message("HTTP/1.1 200 OK", b"strange"))
            elif came == "its close":
                kept.close()
            asked = raw.ask(session)
            same = kept if came == "nothing" else None
            second, _ = await asyncio.wait_for(asyncio.gather(asked, raw.answer(same, b"two")), 10)
            assert second == b"two" and len(raw.taken) == (1 if came == "nothing" else 2)
        raw.listener.close()

    asyncio.run(test())


def test_a_connection_rests_behind_an_answer_as_a_second_one_may_come_late(monkeypatch):
    async def test():
        monkeypatch.setattr(aio, "BEHIND", timedelta(seconds=60))
        raw, connector = Raw(), Connector()
        async with aiohttp.ClientSession(connector=connector) as session:
            _, kept = await asyncio.gather(raw.ask(session), raw.answer(None, b"one"))
            second, _ = await asyncio.wait_for(asyncio.gather(raw.ask(session), raw.answer(None, b"two")), 10)
            assert second == b"two" and len(raw.taken) == 2
            kept.send(message("HTTP/1.1 200 OK", b"strange"))
            monkeypatch.setattr(aio, "BEHIND", timedelta())
            both = asyncio.gather(raw.ask(session), raw.answer(raw.taken[1], b"three"))
            assert (await asyncio.wait_for(both, 10))[0] == b"three", "then it is used again"
            connector.at_once = raw.url[7:-1]
            monkeypatch.setattr(aio, "BEHIND", timedelta(seconds=60))
            for _ in range(3):
                await asyncio.wait_for(asyncio.gather(raw.ask(session), raw.answer(raw.taken[1], b"4")), 10)
        raw.listener.close()

    asyncio.run(test())


def test_what_is_given_up_goes_no_further_though_its_endpoint_reads_again():
    """An endpoint that takes nothing for a while: the rest of the request must not come once it does."""

    async def test():
        raw, loop, body = Raw(), asyncio.get_running_loop(), b"x" * 30_000_000
        raw.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        async with aiohttp.ClientSession(connector=Connector()) as session:
            asking = asyncio.create_task(session.post(raw.url, data=body))
            made, _ = await asyncio.wait_for(loop.sock_accept(raw.listener), 10)
            made.setblocking(False)
            got = len(await asyncio.wait_for(loop.sock_recv(made, 1000), 10))
            await asyncio.sleep(0.05)
            asking.cancel()
            await asyncio.wait({asking})
            try:
                while part := await asyncio.wait_for(loop.sock_recv(made, 1 << 20), 10):
                    got += len(part)
            except ConnectionError:
                pass
            assert 0 < got < len(body)
        made.close()
        raw.listener.close()

    asyncio.run(test())
