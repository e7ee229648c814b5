"""The operator address: calls, figures, and a drain, as the operator and clients see them."""

import asyncio
import json
import time

from standins import chat, free_port, read_message, within
from test_platform import desk, run


async def call(address, line, wait=2.0):
    """Make one call and give all lines of the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(line)
        return (await asyncio.wait_for(reader.read(), wait)).decode().splitlines()
    finally:
        writer.close()


def operator_address():
    return f"127.0.0.1:{free_port()}"


def test_health_dump_leave_and_join_answer_and_the_figures_count_what_was_served(tmp_path):
    async def test():
        address = operator_address()
        async with desk(tmp_path, operator=address) as program:
            assert await call(address, b"HEALTH\n") == ["+OK ready"]
            first, _, _ = await program.ask(chat(id="r1"))
            assert first.startswith("HTTP/1.1 200")
            first, _, _ = await program.ask(chat(id="r2", cls="nothing"))
            assert first.startswith("HTTP/1.1 400")
            answer = await call(address, b"DUMP\r\n")
            assert answer[-1] == "." and len(answer) == 2
            figures = json.loads(answer[0])
            assert figures["transactions"] == {"lookup": {"answered": 1, "deferred": 0, "errored": 0}}
            assert figures["sends"] == 2
            assert figures["current"] == 0 and figures["cluster_size"] == 2
            assert figures["cluster_unhealthy"] == 0
            assert figures["conf_loaded"] == 0 and figures["conf_invalid"] == 0
            assert await call(address, b"LEAVE\n") == ["+OK leaving"]
            assert (await call(address, b"HEALTH\n"))[0].startswith("-ERR")
            first, _, _ = await program.ask(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert not first.startswith("HTTP/1.1 200")
            assert await call(address, b"JOIN\n") == ["+OK joined"]
            assert await call(address, b"HEALTH\n") == ["+OK ready"]
            first, _, _ = await program.ask(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert first.startswith("HTTP/1.1 200")
            assert await call(address, b"what\n") == ["-ERR unknown call"]
            assert await program.stop() == 0

    run(test())


def test_silent_and_endless_callers_get_an_error_and_leave_the_others_answered_in_time(tmp_path):
    async def test():
        address = operator_address()
        host, port = address.split(":")
        async with desk(tmp_path, operator=address) as program:
            silent = [await asyncio.open_connection(host, int(port)) for _ in range(20)]
            for _, writer in silent[:10]:
                writer.write(b"HEAL")  # a piece of a call, and then nothing
            begun = time.monotonic()
            for _ in range(5):
                assert await call(address, b"HEALTH\n") == ["+OK ready"]
            assert time.monotonic() - begun < 1.0
            assert (await call(address, b"x" * 5000))[0].startswith("-ERR")
            for reader, _ in silent[-5:]:
                answer = await within(reader.read(), 1.5)
                assert answer.startswith(b"-ERR") or answer == b""
            assert await program.stop() == 0

    run(test())


def test_a_drain_closes_idle_connections_serves_open_ones_once_and_the_process_stays(tmp_path):
    async def test():
        address = operator_address()
        async with desk(tmp_path, operator=address) as program:
            idle = await program.connect()
            kept = await program.connect()
            kept[1].write(chat(id="k0"))
            first, _, _ = await within(read_message(kept[0]))
            idle[1].write(chat(id="i0"))
            await within(read_message(idle[0]))
            assert await call(address, b"LEAVE\n") == ["+OK leaving"]
            kept[1].write(chat(id="k1"))
            first, headers, _ = await within(read_message(kept[0]))
            assert first.startswith("HTTP/1.1 200") and headers.get("connection") == "close"
            assert await within(kept[0].read(), 2) == b""
            assert await within(idle[0].read(), 2) == b""  # closed while idle, early in the drain
            late = await program.connect()  # as the front may send one before it has heard the no
            assert await within(late[0].read(), 1) == b""
            assert program.process.returncode is None
            assert await call(address, b"JOIN\n") == ["+OK joined"]
            first, _, _ = await program.ask(chat(id="again"))
            assert first.startswith("HTTP/1.1 200")
            assert await program.stop() == 0

    run(test())
