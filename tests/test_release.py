"""What is held is let go of, and nothing new reaches an endpoint told to drain, whatever connections do."""

import asyncio
import errno
import socket
from contextlib import asynccontextmanager, suppress
from datetime import timedelta
from itertools import islice
from types import SimpleNamespace

import pytest
from aiohttp import ClientConnectorError
from standins import SETTINGS, Server, chat, entry, free_port, message, platform, within
from test_runtime import accept_release, start_runtime

from hoplane.core import release
from hoplane.core.events import ClientDisconnected, Endpoint, Forward, Release, RequestReceived
from hoplane.decision.interface import SERVER_NOT_AT_FAULT, State, Status
from hoplane.fronts.platform import read_list
from hoplane.net.interface import Call
from hoplane.net.pool import Pool, SendDeniedError, SendGate


def endpoint(name, zone, address="127.0.0.1:1"):
    return Endpoint(name, address, zone, "prefill", 0, State.LIVE)


def test_a_release_asks_all_again_and_again_and_neighbours_lie_in_different_zones():
    fleet = [endpoint(f"{zone}{n}", zone) for zone in "abc" for n in range(40)]
    asked = list(islice(release.order("q", fleet[:1], fleet, "b"), 600))
    assert asked[0] is fleet[0] and {each.name for each in asked[1:121]} == {each.name for each in fleet}
    assert asked[1].zone == "b", "our own zone first"
    for lost in "abc":  # 300 ms more than the settings say are four tries
        assert all(any(each.zone != lost for each in asked[at : at + 2]) for at in range(1, 119))
    assert len({next(islice(release.order(f"q{n}", (), fleet, "b"), 1)).name for n in range(200)}) > 30
    assert list(release.order("q", (), (), "b")) == []
    assert release.pause(1) < release.pause(3) < release.pause(50) == release.TRY


@pytest.mark.parametrize("want", ["refused", "no socket"])
def test_a_release_that_fails_everywhere_for_a_moment_is_tried_again(want):
    async def test():
        server, port = Server(accept_release), free_port()
        there = SimpleNamespace(address=f"127.0.0.1:{port}")
        runtime, listener = start_runtime(there, there), None
        max_sockets = runtime.pool.max_sockets
        if want == "no socket":
            runtime.pool.max_sockets = 0
            listener = await asyncio.start_server(server.serve, "127.0.0.1", port)
        letting = asyncio.create_task(runtime.release(Release("q", tuple(runtime.state.fleet.values()))))
        await asyncio.sleep(0.2)
        assert not letting.done() and not server.calls
        runtime.pool.max_sockets = max_sockets
        listener = listener or await asyncio.start_server(server.serve, "127.0.0.1", port)
        await server.wait_for("DELETE /v1/holds/q")
        await within(letting)
        listener.close()
        await runtime.pool.close()

    asyncio.run(test())


def test_a_release_ends_once_an_answer_has_begun_with_which_all_is_let_go_of():
    async def test():
        nobody = SimpleNamespace(address=f"127.0.0.1:{free_port()}")
        runtime = start_runtime(nobody, nobody)
        runtime.state.began = lambda id: True
        await within(runtime.release(Release("q", tuple(runtime.state.fleet.values()))), 3)
        await runtime.pool.close()

    asyncio.run(test())


@asynccontextmanager
async def late_connections(read, address_of):
    """A runtime with a request out, whose connections to one endpoint come up when the event is set."""
    async with Server(read) as reader, Server(accept_release) as writer:
        runtime, up, answered = start_runtime(reader, writer), asyncio.Event(), asyncio.Event()
        connect = runtime.pool.connector.connect
        held_up = {"reader": reader, "writer": writer}[address_of].address

        async def late(request, **more):
            made = await connect(request, **more)
            if held_up == f"{request.url.host}:{request.url.port}":
                await up.wait()
            return made

        runtime.pool.connector.connect = late
        call = Call("POST", "/v1/chat/completions", {}, b"{}")
        runtime.exchanges["q"] = SimpleNamespace(
            disconnected=False,
            call=lambda forward: call,
            refuse=lambda pause: answered.set(),
            fail=lambda clash: answered.set(),
            read_head=lambda *_: SimpleNamespace(status=None, load={}),
            time_headers=lambda left: {"X-Left": str(left / timedelta(seconds=1))},
        )
        runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=4), session="s"))
        yield runtime, reader, writer, up, answered
        runtime.feed(ClientDisconnected("q"))
        await within(runtime.wait_idle())
        await runtime.pool.close()


async def never_read(call, writer):
    await (asyncio.Event().wait() if call[0].startswith("POST /v1/chat") else accept_release(call, writer))


def drain(runtime, name):
    listed = [each for each in runtime.state.fleet.values() if each.name == name]
    entries = [entry(each.name, each.address, each.kind, "Terminating") for each in listed]
    runtime.feed(read_list({"index": 2, "snapshot": False, "endpoints": entries}))


def test_a_place_is_not_asked_for_at_a_writer_told_to_drain_while_its_connection_came_up():
    async def test():
        async with late_connections(never_read, "writer") as (runtime, reader, writer, up, _):
            await reader.wait_for("POST /v1/chat")
            await asyncio.sleep(0.05)
            drain(runtime, "w1")
            up.set()
            await asyncio.sleep(0.1)
            assert not writer.calls_to("POST"), "neither a place nor anything else"

    asyncio.run(test())


def test_a_place_is_not_asked_for_after_the_read_has_ended():
    """Nobody would take it, and it would be held until somebody found that out."""

    async def test():
        async with late_connections(never_read, "writer") as (runtime, reader, writer, up, _):
            await reader.wait_for("POST /v1/chat")
            await asyncio.sleep(0.05)
            runtime.feed(ClientDisconnected("q"))
            await within(reader.closed.get())
            up.set()
            await within(runtime.wait_idle())
            assert not writer.calls_to("POST") and not runtime.state.requests

    asyncio.run(test())


@pytest.mark.parametrize("address_of", ["reader", "writer"])
def test_nothing_goes_for_a_client_that_left_and_whose_end_waits_to_be_seen(address_of):
    """A connection comes up, for a read or a place, as the client's end lies unread in the system."""

    async def test():
        async with late_connections(never_read, address_of) as (runtime, reader, writer, up, _):
            if address_of == "writer":
                await reader.wait_for("POST /v1/chat")
            await asyncio.sleep(0.05)
            runtime.exchanges["q"].disconnected = True
            up.set()
            while runtime.state.requests:
                await asyncio.sleep(0.01)
            held_up = {"reader": reader, "writer": writer}[address_of]
            assert not held_up.calls_to("POST") and not runtime.attempts

    asyncio.run(within(test(), 20))


def test_a_repeat_whose_connection_comes_up_too_late_is_not_sent():
    async def test():
        async with late_connections(never_read, "reader") as (runtime, reader, writer, up, _):
            ended, feed = [], runtime.feed
            runtime.feed = lambda event: (ended.append(event), feed(event))
            (first,) = runtime.gates.values()
            (endpoint,) = (each for each in runtime.state.fleet.values() if each.name == "w1")
            soon, later = (runtime.clock.now() + timedelta(seconds=n) for n in (-0.001, 60))
            for until, may_send in ((soon, False), (later, True), (None, True)):
                forward = Forward("q", 1, endpoint, timedelta(seconds=4), is_read=False, repeat_until=until)
                assert runtime.make_gate(forward).may_send() is may_send
            assert not first.is_set() and not any(isinstance(each, ClientDisconnected) for each in ended)

    asyncio.run(within(test(), 20))


def test_an_attempt_whose_connection_comes_up_late_tells_the_time_that_is_left_then():
    async def test():
        async with late_connections(never_read, "reader") as (runtime, reader, _, up, _):
            after = runtime.clock.now()
            await asyncio.sleep(0.1)
            waited = runtime.clock.now() - after
            up.set()
            (call,) = await reader.wait_for("POST /v1/chat")
            assert 0 < float(call[1]["x-left"]) <= 4 - waited.total_seconds()

    asyncio.run(within(test(), 20))


def test_an_attempt_whose_connection_comes_up_after_its_client_s_time_is_not_sent():
    async def test():
        async with late_connections(never_read, "reader") as (runtime, *_):
            (endpoint,) = (each for each in runtime.state.fleet.values() if each.name == "w1")
            for patience, may_send in ((timedelta(), False), (timedelta(seconds=60), True)):
                assert (
                    runtime.make_gate(Forward("q", 1, endpoint, patience, is_read=False)).may_send()
                    is may_send
                )

    asyncio.run(within(test(), 20))


def test_the_last_byte_of_a_booking_stays_back_for_a_client_that_left_as_it_was_held():
    async def test():
        left, body = False, b"{}"
        sent = SendGate(lambda: not left)
        pieces = Pool.delay_last_byte(body, sent)
        assert await anext(pieces) == b"{"
        left = True
        with pytest.raises(SendDeniedError):
            await anext(pieces)
        assert not sent.is_set(), "it surely never ran"

    asyncio.run(test())


@asynccontextmanager
async def full_listener():
    """A machine whose connections come up late: its accept queue is full until it is drained."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        listener.setblocking(False)
        fillers = [socket.socket() for _ in range(3)]
        for each in fillers:
            each.setblocking(False)
            with suppress(BlockingIOError):
                each.connect(listener.getsockname())
        yield listener, fillers
        for each in fillers:
            each.close()


def test_a_connection_that_comes_up_after_the_drain_was_told_carries_nothing(tmp_path):
    """The real program: the reader's machine takes the connection a second late, its drain is told before."""
    patient = {
        "allowed": {**SETTINGS["allowed"], "connect_timeout": 8 * 10**9},
        "lanes": [{**SETTINGS["lanes"][0], "target": 8 * 10**9, "hard_limit": 9 * 10**9}],
    }

    async def test():
        async with full_listener() as (listener, fillers), Server(accept_release) as writer:
            entries = [
                entry("r1", "{}:{}".format(*listener.getsockname()), "prefill"),
                entry("w1", writer.address, "decode"),
            ]
            async with platform(tmp_path, entries, settings={**SETTINGS, **patient}) as program:
                asked = asyncio.create_task(program.ask(chat(left=9000)))
                await asyncio.sleep(0.2)
                await program.discovery.publish([{**entries[0], "status": "Terminating"}, entries[1]])
                while (await program.line("endpoints"))["not_live"] != {"r1": "draining"}:
                    pass
                came = []

                async def take():
                    loop, ours = asyncio.get_running_loop(), {each.getsockname() for each in fillers}
                    while True:
                        made, peer = await loop.sock_accept(listener)
                        with made:
                            made.setblocking(False)
                            if peer not in ours:
                                try:
                                    came.append(await loop.sock_recv(made, 100))
                                except ConnectionResetError:
                                    came.append(b"")

                taking = asyncio.create_task(take())
                assert (await asked)[0].split()[1] == "503"
                assert (await program.line("send_stopped"))["endpoint"] == "r1"
                while not came:
                    await asyncio.sleep(0.05)
                assert came[0] == b"", "it came up, and ended with nothing on it"
                assert not any(b"chat" in each for each in came)
                taking.cancel()

    asyncio.run(within(test(), 60))


def test_what_a_read_left_is_let_go_of_where_the_reader_refuses_and_the_others_do_not(tmp_path):
    """The real program: the reader that holds the state is gone, and any other endpoint takes the release."""

    async def gone_after_reading(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":4}'))
            reader.server.close()
            writer.close()

    async def full(call, writer):
        unprocessed = {"X_Unprocessed": 1} if call[0].startswith("POST /v1/chat") else {}
        status = "503 Full" if unprocessed else "204 No Content"
        writer.write(message(f"HTTP/1.1 {status}", **unprocessed))

    async def test():
        nonlocal reader
        async with Server(gone_after_reading) as reader, Server(full) as writer:
            entries = [entry("r1", reader.address, "prefill"), entry("w1", writer.address, "decode")]
            async with platform(tmp_path, entries) as program:
                assert (await program.ask(chat(left=900)))[0].split()[1] == "503"
                assert await writer.wait_for("DELETE /v1/holds/r1")
                await program.discovery.publish([{**each, "status": "Terminating"} for each in entries])
                while not (told := await program.line("endpoints"))["not_live"]:
                    pass
                assert set(told["last_sent"]) == {"r1", "w1"}, "when something new last went to each"

    reader = None
    asyncio.run(within(test(), 60))


@pytest.mark.parametrize(
    "code, note",
    [
        (errno.EADDRNOTAVAIL, SERVER_NOT_AT_FAULT),
        (errno.ENETUNREACH, SERVER_NOT_AT_FAULT),
        (errno.ENFILE, SERVER_NOT_AT_FAULT),
        (errno.ENOBUFS, SERVER_NOT_AT_FAULT),
        (errno.EMFILE, SERVER_NOT_AT_FAULT),
        (errno.ECONNREFUSED, 0),
        (errno.EHOSTUNREACH, 0),
        (errno.ETIMEDOUT, 0),
    ],
)
def test_a_connection_that_fails_on_our_own_machine_tells_nothing_of_its_endpoint(code, note):
    async def test():
        async with late_connections(never_read, "reader") as (runtime, *_):
            (endpoint,) = (each for each in runtime.state.fleet.values() if each.name == "r1")
            key = SimpleNamespace(host="h", port=1, ssl=None, is_ssl=False)

            async def fails(*told, **more):
                raise ClientConnectorError(key, OSError(code, "x"))

            runtime.pool.request = fails
            forward = Forward("q", 7, endpoint, timedelta(seconds=4), is_read=True)
            runtime.gates["q", 7] = SendGate()
            ended = await runtime.run_attempt(forward, runtime.exchanges["q"])
            del runtime.pool.request
            assert (ended.status, ended.detail) == (Status.CONNECT_FAILED, note)

    asyncio.run(within(test(), 20))
