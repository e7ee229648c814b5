"""Two events at one moment, on real sockets: a close and a request, an end and a send. Each is forced."""

import asyncio
import socket
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import web
from standins import SETTINGS, free_port, message, within

from hoplane.config import from_platform
from hoplane.net import aiohttp_internals, server

ASKED = message("GET /x HTTP/1.1", Host="h")


async def well(request):
    return web.Response(text="well")


def error_response(status, text, close=False):
    return server.error_response(status, text, close)


class Client(socket.socket):
    """A client whose sends go out at once, with no pass of the loop between."""

    def __init__(self, port):
        super().__init__()
        self.connect(("127.0.0.1", port))
        self.setblocking(False)

    async def answer(self):
        """Read an answer with its body; empty at the end."""
        loop, got = asyncio.get_running_loop(), b""
        while not got.endswith(b"well") and (part := await within(loop.sock_recv(self, 65536))):
            got += part
        return got

    async def ended(self):
        """Read up to the connection's end, by close or reset."""
        loop, got = asyncio.get_running_loop(), b""
        try:
            while part := await within(loop.sock_recv(self, 65536)):
                got += part
        except ConnectionError:
            pass
        return got


@asynccontextmanager
async def serving(handler=well, max_connections=9):
    port = free_port()
    told = {"name": "n", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    serves = server.Server(from_platform(told), handler, error_response)
    serves.http_server.max_connections = max_connections
    await serves.start()
    serves.port = port
    try:
        yield serves
    finally:
        await serves.close_listener()
        for each in serves.http_server.connections:
            each.force_close()


async def served(serves, client=None):
    """Give a client's connection on which one request was answered, so that it rests."""
    client = client or Client(serves.port)
    client.send(ASKED)
    assert (await client.answer()).endswith(b"well")
    (caller,) = [each for each in serves.http_server.connections if each.peername == client.getsockname()]
    while not caller.idle:
        await asyncio.sleep(0)
    return client, caller


def run(test, monkeypatch=None):
    if monkeypatch:
        monkeypatch.setattr(server, "ACCEPT_GRACE", timedelta(milliseconds=50))
    asyncio.run(within(test(), 30))


def test_idle_connections_close_while_a_request_is_taken_from_one():
    """Between two steps of aiohttp's: the request is out of its queue, and no handler has begun on it."""

    async def test():
        async with serving() as serves:
            make = serves.http_server.request_factory

            def crossed(*told):
                serves.http_server.close_idle_connections()
                return make(*told)

            serves.http_server.request_factory = crossed
            client = Client(serves.port)
            client.send(ASKED)
            assert (await client.answer()).endswith(b"well")

    run(test)


@pytest.mark.parametrize("close", ["close_idle_connections", "evict_connection", "_process_keepalive"])
@pytest.mark.parametrize("came", ["a request unread", "half a head"])
def test_a_resting_connection_is_to_close_as_a_request_comes(monkeypatch, close, came):
    for span in ("NEW_CONNECTION_GRACE", "CLIENT_IDLE_TIMEOUT"):  # as long as a slow machine may want
        monkeypatch.setattr(aiohttp_internals, span, timedelta(seconds=60))

    async def test():
        async with serving() as serves:
            client, caller = await served(serves)
            if came == "half a head":
                client.send(ASKED[:20])
                while not caller.partial_head_since:
                    await asyncio.sleep(0)
            else:
                client.send(ASKED)  # the loop has no pass to read it before the close is asked for
            caller._next_keepalive_close_time = 0.0
            getattr(caller if close == "_process_keepalive" else serves.http_server, close)()
            if came == "half a head":
                client.send(ASKED[20:])
            assert (await client.answer()).endswith(b"well")

    run(test)


@pytest.mark.parametrize("close", ["close_idle_connections", "evict_connection"])
def test_a_connection_just_taken_is_to_close_while_its_first_request_is_on_its_way(monkeypatch, close):
    monkeypatch.setattr(aiohttp_internals, "NEW_CONNECTION_GRACE", timedelta(seconds=60))

    async def test():
        async with serving() as serves:
            clients = [Client(serves.port) for _ in range(2)]
            while len(found := [each for each in serves.http_server.connections if each.idle]) < 2:
                await asyncio.sleep(0)
            (old,) = [each for each in found if each.peername == clients[0].getsockname()]
            old.idle_since -= 61
            getattr(serves.http_server, close)()
            assert await clients[0].ended() == b"", "one that has long said nothing may go"
            clients[1].send(ASKED)
            assert (await clients[1].answer()).endswith(b"well")

    run(test)


def test_half_a_head_that_stays_half_does_not_keep_its_place():
    async def test():
        async with serving() as serves:
            client, caller = await served(serves)
            client.send(ASKED[:20])
            while not caller.partial_head_since:
                await asyncio.sleep(0)
            caller.partial_head_since -= aiohttp_internals.NEW_CONNECTION_GRACE.total_seconds() + 0.01
            assert serves.http_server.evict_connection()
            assert await client.ended() == b""
            client, caller = await served(serves)
            client.send(ASKED[:20])
            while not caller.partial_head_since:
                await asyncio.sleep(0)
            caller.partial_head_since -= aiohttp_internals.CLIENT_IDLE_TIMEOUT.total_seconds() + 0.01
            caller._process_keepalive()
            assert await client.ended() == b""

    run(test)


def test_a_shutdown_finds_a_request_unread_on_a_resting_connection(monkeypatch):
    async def test():
        async with serving() as serves:
            client, _ = await served(serves)
            close_listener = serves.close_listener

            async def crossed():
                await close_listener()
                client.send(ASKED)  # as the idle connections are about to close

            serves.close_listener = crossed
            stopping = asyncio.create_task(serves.stop())
            got = await client.answer()
            assert got.endswith(b"well") and b"Connection: close" in got
            assert await client.ended() == b""
            await stopping

    run(test, monkeypatch)


@pytest.mark.parametrize("passes", [0, 1, 2, 3])
def test_a_shutdown_finds_connections_that_wait_to_be_accepted(monkeypatch, passes):
    """Those that the loop is just accepting, and those that it has not come to yet."""

    async def test():
        async with serving(max_connections=50) as serves:
            monkeypatch.setattr(server, "ACCEPT_GRACE", timedelta())
            clients = [Client(serves.port) for _ in range(40)]
            for client in clients:
                client.send(ASKED)
            for _ in range(passes):
                await asyncio.sleep(0)
            stopping = asyncio.create_task(serves.stop())
            for client in clients:
                assert (await client.answer()).endswith(b"well")
            await stopping

    run(test)


@pytest.mark.parametrize("read", [True, False])
def test_a_request_comes_right_behind_an_answer_with_which_a_shutdown_ends_the_connection(monkeypatch, read):
    """The answer's head went out before, so its client could not know. What was read is answered.

    What was not read stays so, and its client sends it once more elsewhere."""
    begun, go_on, taken = asyncio.Event(), asyncio.Event(), []

    async def streams(request):
        taken.append(request)
        if len(taken) > 1:
            return await well(request)
        response = web.StreamResponse()
        await response.prepare(request)
        begun.set()
        await go_on.wait()
        await response.write_eof(b"well")
        if read:
            client.send(ASKED)
            while not request.protocol._messages:
                await asyncio.sleep(0)
        return response

    async def test():
        nonlocal client
        async with serving(streams) as serves:
            client = Client(serves.port)
            client.send(ASKED)
            await begun.wait()
            (caller,) = serves.http_server.connections
            finish = caller.finish_response

            async def crossed(*told):
                if not read and len(taken) == 1:
                    client.send(ASKED)
                    for _ in range(3):
                        await asyncio.sleep(0)
                return await finish(*told)

            monkeypatch.setattr(
                aiohttp_internals.ClientConnection, "finish_response", lambda caller, *told: crossed(*told)
            )
            stopping = asyncio.create_task(serves.stop())
            await asyncio.sleep(0)
            go_on.set()
            got = await client.ended()
            assert got.count(b"HTTP/1.1 200") == (2 if read else 1)
            assert got.count(b"well") == (2 if read else 1) and len(taken) == (2 if read else 1)
            assert not caller._messages, "nothing was read that nobody answers"
            await stopping

    client = None
    run(test, monkeypatch)


@pytest.mark.parametrize("behind", [b"", ASKED * 40, ASKED.replace(b": 0", b": 9000000") + b"x" * 1_500_000])
def test_a_client_that_sends_much_at_once_and_goes_is_seen_to_go(behind):
    """aiohttp stops reading a connection with much behind a request, and would not see its end."""
    left, begun = asyncio.Event(), asyncio.Event()

    async def waits(request):
        begun.set()
        try:
            await asyncio.Event().wait()
        finally:
            left.set()

    async def test():
        async with serving(waits) as serves:
            client = Client(serves.port)
            await asyncio.get_running_loop().sock_sendall(client, ASKED)
            await begun.wait()
            if behind:
                await within(asyncio.get_running_loop().sock_sendall(client, behind))
            client.close()
            await within(left.wait(), 5)

    run(test)


def test_a_client_that_has_gone_is_known_to_have_before_the_loop_comes_to_see_it():
    async def test():
        async with serving() as serves:
            client, caller = await served(serves)
            assert not caller.disconnected
            client.send(b"x")
            assert not caller.disconnected
            for _ in range(3):
                await asyncio.sleep(0)
            client.close()  # and no pass of the loop
            assert caller.disconnected

    run(test)
