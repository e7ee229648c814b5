"""Tests of the runtime in this process, for situations that are too rare in the real program."""

import asyncio
import json
import random
import socket
from datetime import timedelta
from types import SimpleNamespace

from conftest import settings
from standins import SETTINGS, Server, entry, message, within

from hoplane.config import from_platform
from hoplane.core.events import AttemptEnded, ClientDisconnected, RequestReceived
from hoplane.core.pacing import Pacing
from hoplane.decision.interface import SERVER_NOT_AT_FAULT, Status
from hoplane.fronts.kserve import problem
from hoplane.fronts.platform import hold_path, read_list
from hoplane.net import aiohttp_internals
from hoplane.net.discovery import Discovery
from hoplane.net.interface import Call
from hoplane.net.pool import Pool
from hoplane.net.runtime import Runtime
from hoplane.net.server import Server as FrontServer


async def let_go(call, writer):
    writer.write(message("HTTP/1.1 204 No Content"))


def start(reader, writer, **changes):
    told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS, **changes}
    config = from_platform(told)
    runtime = Runtime(config, Pool(config), "/health/live", hold_path)
    entries = [entry("r1", reader.address, "prefill"), entry("w1", writer.address, "decode")]
    runtime.feed(read_list({"index": 1, "snapshot": True, "endpoints": entries}))
    return runtime


def test_an_attempt_given_up_before_its_first_step_still_ends():
    async def test():
        async with Server(let_go) as reader, Server(let_go) as writer:
            runtime = start(reader, writer)
            runtime.exchanges["q"] = None
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=3), session="s"))
            runtime.feed(ClientDisconnected("q"))
            await within(runtime.wait_idle())
            await reader.wait_for("DELETE /v1/holds/q")
            assert not runtime.state.requests and not reader.named("POST")
            await runtime.pool.close()

    asyncio.run(within(test(), 60))


def test_a_send_that_no_budget_holds_any_more_does_not_go_and_tells_nothing_of_its_endpoint():
    async def test():
        async with Server(let_go) as reader, Server(let_go) as writer:
            runtime = start(reader, writer)
            ended, feed = [], runtime.feed
            runtime.feed = lambda event: (ended.append(event), feed(event))
            fits, runtime.spend = runtime.spend, lambda endpoint: False
            call = Call("POST", "/v1/prompts", {}, b"{}")
            runtime.exchanges["q"] = SimpleNamespace(disconnected=False, call=lambda effect: call)
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=1), session="s"))
            while not any(isinstance(each, AttemptEnded) for each in ended):
                await asyncio.sleep(0)
            assert {(each.status, each.detail) for each in ended if isinstance(each, AttemptEnded)} == {
                (Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT)
            }
            assert fits(None) and not any(each.errors for each in runtime.state.router.servers.values())
            runtime.feed(ClientDisconnected("q"))
            await within(runtime.wait_idle())
            assert not reader.named("POST") and not writer.named("POST")
            await runtime.pool.close()

    asyncio.run(within(test(), 60))


def test_a_fault_of_ours_is_answered_in_the_words_of_the_front():
    async def broken(request):
        raise RuntimeError("a fault")

    async def test():
        told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
        answer = await FrontServer(from_platform(told), broken, problem).handle(None)
        assert answer.status == 500 and json.loads(answer.body)["error"]

    asyncio.run(within(test(), 60))


def test_connections_are_bounded_and_idle_ones_give_way():
    async def test():
        async with Server(let_go) as reader, Server(let_go) as writer:
            runtime = start(reader, writer, limits={"sockets": 64, "memory_mb": 96})
            pool, second = runtime.pool, timedelta(seconds=5)
            assert pool.max_sockets == 27
            calls = (pool.call("DELETE", reader.address, "/v1/holds/a", second) for _ in range(40))
            done = await asyncio.gather(*calls)
            assert 1 <= done.count(204) <= 27 and done.count(None) == 40 - done.count(204)
            assert await pool.call("DELETE", writer.address, "/v1/holds/a", second) == 204
            await pool.close()

    asyncio.run(within(test(), 60))


def test_the_watch_has_a_connection_though_all_others_are_taken():
    async def test():
        async with Server(let_go) as reader, Server(let_go) as discovery:
            few, second = {"sockets": 64, "memory_mb": 96}, timedelta(seconds=5)
            pool = start(reader, reader, limits=few, discovery=discovery.address).pool
            info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 9))
            taken = [pool.open_socket(info) for _ in range(pool.max_sockets)]
            assert await pool.call("DELETE", reader.address, "/x", second) is None
            assert await pool.call("GET", discovery.address, "/x", second) == 204
            for each in taken:
                each.close()
            await pool.close()

    asyncio.run(within(test(), 60))


def test_closed_connections_take_no_place():
    async def test():
        async with Server(let_go) as reader, Server(let_go) as writer:
            pool = start(reader, writer, limits={"sockets": 64, "memory_mb": 96}).pool
            second = timedelta(seconds=5)
            info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 9))
            closed = [pool.open_socket(info) for _ in range(pool.max_sockets)]
            for made in closed:  # still referenced, as by cycles that only the garbage collector frees
                made.close()
            assert await pool.call("DELETE", reader.address, "/v1/holds/a", second) == 204
            await pool.close()

    asyncio.run(within(test(), 60))


def test_silence_casts_doubt_on_the_connections_kept_from_before(monkeypatch):
    monkeypatch.setattr(aiohttp_internals, "REUSE_DELAY", timedelta())  # idle connections are reused at once

    async def mute(call, writer):
        if call[0].startswith("POST"):
            await asyncio.Event().wait()
        await let_go(call, writer)

    async def test():
        async with Server(mute) as reader, Server(let_go) as writer:
            runtime = start(reader, writer)
            pool, second = runtime.pool, timedelta(seconds=5)
            for server in (reader, writer):
                calls = (pool.call("DELETE", server.address, "/v1/holds/a", second) for _ in range(3))
                assert await asyncio.gather(*calls) == [204] * 3
            call = Call("POST", "/v1/chat/completions", {}, b"{}")
            told = asyncio.Event()
            runtime.exchanges["q"] = SimpleNamespace(
                disconnected=False,
                call=lambda forward: call,
                time_headers=lambda left: {},
                refuse=lambda pause: told.set(),
                fail=lambda clash: told.set(),
            )
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=0.8), session="s"))
            await within(told.wait())
            assert pool.connector.close_idle(reader.address) == 0, "none is left to wait on in vain"
            assert pool.connector.close_idle(writer.address) == 3
            await within(runtime.wait_idle())
            await pool.close()

    asyncio.run(within(test(), 60))


def test_kept_connections_that_break_are_told_as_such_and_then_none_is_kept(monkeypatch):
    monkeypatch.setattr(aiohttp_internals, "REUSE_DELAY", timedelta())  # idle connections are reused at once

    broken = asyncio.Event()

    async def drops(call, writer):
        if broken.is_set():
            writer.transport.abort()
        else:
            await let_go(call, writer)

    async def test():
        async with Server(drops) as reader, Server(let_go) as writer:
            runtime = start(reader, writer)
            pool, ended = runtime.pool, []
            reduced, runtime.feed = runtime.feed, lambda event: (ended.append(event), reduced(event))
            calls = (pool.call("DELETE", reader.address, "/v1/holds/a", timedelta(seconds=5)) for _ in "ab")
            assert await asyncio.gather(*calls) == [204, 204] and pool.connector.keepalive_enabled
            broken.set()
            assert await pool.call("DELETE", reader.address, "/v1/holds/b", timedelta(seconds=5)) is None
            assert pool.connector.keepalive_enabled, "one alone may have been closed as idle"
            call, told = Call("POST", "/v1/chat/completions", {}, b"{}"), asyncio.Event()
            runtime.exchanges["q"] = SimpleNamespace(
                disconnected=False,
                call=lambda forward: call,
                time_headers=lambda left: {},
                refuse=lambda pause: told.set(),
                fail=lambda clash: told.set(),
            )
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=3), session="s"))
            await within(told.wait())
            await within(runtime.wait_idle())
            ends = [(each.status, each.detail) for each in ended if isinstance(each, AttemptEnded)]
            assert ends[0] == (Status.RESET, SERVER_NOT_AT_FAULT) and (Status.RESET, 0) in ends, (
                "the next were new ones"
            )
            assert not pool.connector.keepalive_enabled
            await pool.close()

    asyncio.run(within(test(), 60))


def test_what_we_close_or_what_closes_while_idle_is_no_break():
    mute = asyncio.Event()

    async def answers(call, writer):
        if mute.is_set():
            await asyncio.Event().wait()
        await let_go(call, writer)
        if call[0].startswith("GET"):
            writer.close()  # right after the response, like an idle timeout

    async def test():
        async with Server(answers) as reader, Server(let_go) as writer:
            pool, second = start(reader, writer).pool, timedelta(seconds=5)

            async def calls(method, within_s=second):
                asked = (pool.call(method, reader.address, "/v1/holds/a", within_s) for _ in range(4))
                return await asyncio.gather(*asked)

            assert await calls("DELETE") == [204] * 4
            assert await calls("GET") == [204] * 4, "on the connections kept from before"
            while await calls("DELETE") != [204] * 4:  # some may meet a close that is on its way
                pass
            kept = pool.connector.stale_times.copy()
            mute.set()
            assert await calls("DELETE", timedelta(milliseconds=50)) == [None] * 4
            await within(reader.closed.get())
            assert pool.connector.stale_times == kept
            await pool.close()

    asyncio.run(within(test(), 60))


def test_discovery_applies_lists_and_changes_and_asks_anew_after_a_step_back():
    told = []
    watch = Discovery(None, "", read_list, told.append, Pacing(settings(), random.Random(1)))
    one, two = entry("a", "127.0.0.1:1", "prefill"), entry("b", "127.0.0.1:2", "decode", "Odd")
    watch.process_response({"index": 5, "snapshot": True, "endpoints": [one]})
    watch.process_response({"index": 7, "snapshot": False, "endpoints": [two]})
    watch.process_response({"index": 7, "snapshot": False, "endpoints": []})
    assert [(each.complete, len(each.endpoints)) for each in told] == [(True, 1), (False, 1)]
    assert told[1].endpoints[0].state.value == "draining", "an unknown status gets nothing new"
    watch.process_response({"index": 3, "snapshot": False, "endpoints": [one]})
    assert watch.index is None and len(told) == 2, "changes of another list are not applied"
    watch.index = 7
    watch.process_response(
        {"index": 3, "snapshot": False, "endpoints": [one, {**two, "status": "Terminating"}]}
    )
    assert watch.index is None and not told[2].complete, "but for the drains they tell"
    assert [(each.name, each.state.value) for each in told[2].endpoints] == [("b", "draining")]
    for wrong in ({}, [], {"index": 1, "endpoints": {"name": "x"}}, json.loads("null")):
        try:
            watch.process_response(wrong)
        except ValueError:
            continue
        raise AssertionError(wrong)
