"""Tests the operator interface: its calls, statistics and the drain, as seen by operators and clients."""

import asyncio
import json
import time

from standins import chat, free_port, read_message, within
from test_platform import run, running_conductor


async def call(address, line, wait=2.0):
    """Send one call and return all lines of the response."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(line)
        return (await asyncio.wait_for(reader.read(), wait)).decode().splitlines()
    finally:
        writer.close()


def operator_address():
    return f"127.0.0.1:{free_port()}"


def test_all_calls_are_answered_and_statistics_count_requests(tmp_path):
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address) as program:
            assert await call(address, b"HEALTH\n") == ["+OK ready"]
            first, _, _ = await program.send_request(chat(id="r1"))
            assert first.startswith("HTTP/1.1 200")
            first, _, _ = await program.send_request(chat(id="r2", cls="nothing"))
            assert first.startswith("HTTP/1.1 400")
            answer = await call(address, b"DUMP\r\n")
            assert answer[-1] == "." and len(answer) == 2
            statistics = json.loads(answer[0])
            assert statistics["transactions"] == {"lookup": {"answered": 1, "deferred": 0, "errored": 0}}
            assert statistics["sends"] == 2
            assert statistics["current"] == 0 and statistics["cluster_size"] == 2
            assert statistics["cluster_unhealthy"] == 0
            assert statistics["conf_loaded"] == 0 and statistics["conf_invalid"] == 0
            assert await call(address, b"LEAVE\n") == ["+OK leaving"]
            assert (await call(address, b"HEALTH\n"))[0].startswith("-ERR")
            first, _, _ = await program.send_request(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert not first.startswith("HTTP/1.1 200")
            assert await call(address, b"JOIN\n") == ["+OK joined"]
            assert await call(address, b"HEALTH\n") == ["+OK ready"]
            first, _, _ = await program.send_request(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert first.startswith("HTTP/1.1 200")
            assert await call(address, b"what\n") == ["-ERR unknown call"]
            assert await program.stop() == 0

    run(test())


def test_idle_and_oversized_calls_get_an_error_without_delaying_others(tmp_path):
    async def test():
        address = operator_address()
        host, port = address.split(":")
        async with running_conductor(tmp_path, operator=address) as program:
            idle_connections = [await asyncio.open_connection(host, int(port)) for _ in range(20)]
            for _, writer in idle_connections[:10]:
                writer.write(b"HEAL")  # an incomplete call
            started_at = time.monotonic()
            for _ in range(5):
                assert await call(address, b"HEALTH\n") == ["+OK ready"]
            assert time.monotonic() - started_at < 1.0
            assert (await call(address, b"x" * 5000))[0].startswith("-ERR")
            for reader, _ in idle_connections[-5:]:
                answer = await within(reader.read(), 1.5)
                assert answer.startswith(b"-ERR") or answer == b""
            assert await program.stop() == 0

    run(test())


def test_drain_closes_idle_connections_and_serves_active_ones_once_more(tmp_path):
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address) as program:
            idle = await program.connect()
            active = await program.connect()
            active[1].write(chat(id="k0"))
            first, _, _ = await within(read_message(active[0]))
            idle[1].write(chat(id="i0"))
            await within(read_message(idle[0]))
            assert await call(address, b"LEAVE\n") == ["+OK leaving"]
            active[1].write(chat(id="k1"))
            first, headers, _ = await within(read_message(active[0]))
            assert first.startswith("HTTP/1.1 200") and headers.get("connection") == "close"
            assert await within(active[0].read(), 2) == b""
            assert await within(idle[0].read(), 2) == b""  # closed early in the drain as it is idle
            late = await program.connect()  # a load balancer may connect before it learns of the drain
            assert await within(late[0].read(), 1) == b""
            assert program.process.returncode is None
            assert await call(address, b"JOIN\n") == ["+OK joined"]
            first, _, _ = await program.send_request(chat(id="again"))
            assert first.startswith("HTTP/1.1 200")
            assert await program.stop() == 0

    run(test())
