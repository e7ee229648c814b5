"""Issue 28 on the real program: what was given up never arrives; no call that fails costs a request."""

import asyncio
import json
import re
import signal
from contextlib import asynccontextmanager

import pytest
from click.testing import CliRunner
from standins import Server, chat, entry, message, platform, within
from test_platform import complete_read, stream_response

from hoplane.lab import faults
from hoplane.lab.__main__ import lab
from hoplane.lab.partition import Partition


@asynccontextmanager
async def partitioned(tmp_path, read=complete_read, write=stream_response, **how):
    """Give the program with a path to each endpoint that can be cut, both warmed up by one request."""
    async with (
        Server(read) as reader,
        Server(write) as writer,
        Partition(reader.address) as to_reader,
        Partition(writer.address) as to_writer,
    ):
        entries = [entry("r1", to_reader.address, "prefill"), entry("w1", to_writer.address, "decode")]
        async with platform(tmp_path, entries, **how) as program:
            program.servers, program.paths = (reader, writer), (to_reader, to_writer)
            assert (await program.ask(chat("warm")))[0].startswith("HTTP/1.1 200")
            await asyncio.sleep(0.1)
            yield program


def arrived(program, id):
    """Give what arrived for a request, releases aside."""
    calls = [call for server in program.servers for call in server.calls]
    return [
        call[0]
        for call in calls
        if not call[0].startswith("DELETE")
        and (call[1].get("x-correlation-id") == id or call[0].split()[1].endswith(f"/{id}"))
    ]


async def leave(program):
    _, writer = await program.connect()
    writer.write(chat("q"))
    await asyncio.sleep(0.3)
    writer.close()


async def run_out_of_time(program):
    assert (await program.ask(chat("q", left=600)))[0].split()[1] in ("502", "503")


async def kill(program):
    _, writer = await program.connect()
    writer.write(chat("q"))
    await asyncio.sleep(0.3)
    program.process.kill()
    await program.process.wait()


@pytest.mark.parametrize("give_up", [leave, run_out_of_time, kill])
def test_what_was_given_up_behind_a_partition_never_arrives(tmp_path, give_up):
    """Both endpoints are cut off with connections open; the request is given up; then the paths heal."""

    async def test():
        async with partitioned(tmp_path) as program:
            for path in program.paths:
                path.cut()
            await give_up(program)
            await asyncio.sleep(0.5)
            for path in program.paths:
                path.heal()
            await asyncio.sleep(0.5)
            assert arrived(program, "q") == []

    asyncio.run(within(test(), 60))


def test_a_log_that_cannot_be_written_costs_no_request_and_no_drain(tmp_path):
    """Standard error is on a full device once it runs; a list, an unreadable answer, a stop come."""

    async def test():
        bad = asyncio.Event()

        async def read(call, writer):
            if bad.is_set() and call[0].startswith("POST /v1/chat"):
                writer.write(b"no head at all\r\n\r\n")
                writer.close()
                return
            await complete_read(call, writer)

        first = (
            "from hoplane import conductor as it\nimport os\nwrite = it.log.write_event\n"
            "def last(event, **facts):\n    write(event, **facts)\n"
            '    event == "started" and os.dup2(os.open("/dev/full", os.O_WRONLY), 2)\n'
            "it.log.write_event = last\n"
        )
        async with Server(read) as reader, Server(stream_response) as writer, Server(complete_read) as other:
            entries = [entry("r1", reader.address, "prefill"), entry("w1", writer.address, "decode")]
            async with platform(tmp_path, entries, first=first) as program:
                bad.set()
                assert (await program.ask(chat("q")))[0].split()[1] in ("502", "503")
                new = [
                    {**entries[0], "status": "Terminating"},
                    entries[1],
                    entry("r2", other.address, "prefill"),
                ]
                await program.discovery.publish(new)
                await asyncio.sleep(0.5)
                before = len(reader.calls_to("POST /v1/chat"))
                assert (await program.ask(chat("r")))[0].split()[1] == "200"
                assert len(reader.calls_to("POST /v1/chat")) == before, "it drains"
                assert await program.stop() == 0

    asyncio.run(within(test(), 60))


def injecting(*faults, seed=1):
    plan = json.dumps({"seed": seed, "faults": faults})
    return f"import json; from hoplane.lab import faults; faults.install(json.loads({plan!r}))"


@pytest.mark.parametrize("code", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EPERM"])
def test_accept_that_fails_for_a_moment_delays_nobody_and_loses_nobody(tmp_path, code):
    """Clients that come while it fails have an answer within their time, also as a stop comes meanwhile."""

    async def test():
        async with Server(complete_read) as reader, Server(stream_response) as writer:
            entries = [entry("r1", reader.address, "prefill"), entry("w1", writer.address, "decode")]
            failing = injecting({"call": "accept", "errno": code, "share": 0.9})
            async with platform(tmp_path, entries, first=failing) as program:
                loop = asyncio.get_running_loop()
                for stop in (False, True):
                    asked = [asyncio.create_task(program.ask(chat(f"{stop}{n}"))) for n in range(5)]
                    if stop:
                        await asyncio.sleep(0.05)
                        program.process.terminate()
                    started_at = loop.time()
                    answers = await asyncio.gather(*asked)
                    assert all(each and each[0].split()[1] in ("200", "503") for each in answers), answers
                    assert stop or loop.time() - started_at < 4, "within the time that the clients have"
                assert await within(program.process.wait()) == 0

    asyncio.run(within(test(), 60))


def test_a_place_that_may_be_held_for_a_read_that_has_not_arrived_is_released_while_it_is_awaited(tmp_path):
    """The read's path is silent; the writer knows of no read, and may hold a place all the same."""

    async def write(call, writer):
        if call[0].startswith("POST /v1/holds/q"):
            writer.write(message("HTTP/1.1 204 No Content"))
        else:
            await stream_response(call, writer)

    async def test():
        async with partitioned(tmp_path, write=write) as program:
            program.paths[0].cut()
            _, client = await program.connect()
            client.write(chat("q"))
            (_, writer) = program.servers
            await writer.wait_for("POST /v1/holds/q")
            started_at = asyncio.get_running_loop().time()
            await writer.wait_for("DELETE /v1/holds/q")
            assert asyncio.get_running_loop().time() - started_at < 3, "long before the request's own end"
            program.paths[0].heal()
            client.close()

    asyncio.run(within(test(), 60))


def test_what_a_read_leaves_that_ends_after_its_release_is_released_again(tmp_path):
    """A reader that is cut off hears of no close: its read may end well after the release."""

    async def read(call, writer):
        if call[1].get("x-correlation-id") == "q":
            await asyncio.Event().wait()
        await complete_read(call, writer)

    async def test():
        async with partitioned(tmp_path, read=read) as program:
            _, client = await program.connect()
            client.write(chat("q"))
            reader, writer = program.servers
            await reader.wait_for("POST /v1/chat", 2)
            client.close()
            both = lambda: [*reader.calls_to("DELETE /v1/holds/q"), *writer.calls_to("DELETE /v1/holds/q")]  # noqa: E731
            while len(both()) < 2:
                await asyncio.sleep(0.02)
            assert await program.stop() == 0

    asyncio.run(within(test(), 30))


def test_a_start_and_a_reload_are_made_though_files_and_sockets_fail_for_a_moment(tmp_path):
    """The file cannot be read and no socket is left at first; later a SIGHUP meets the same."""

    async def test():
        failing = injecting(
            {"call": "open", "errno": "EIO", "share": 0.7, "path": "config.json"},
            {"call": "socket", "errno": "ENFILE", "share": 0.7},
        )
        async with platform(tmp_path, [], first=failing) as program:
            program.reload()
            assert "watch" in await program.line("reloaded")
            assert await program.stop() == 0

    asyncio.run(within(test(), 30))


@pytest.mark.parametrize(
    "plan, text",
    [
        ({"seed": "x"}, "seed: must be a whole number"),
        ({"faults": [{"call": "sing"}]}, "faults[0].call: must be one of"),
        ({"faults": [{"call": "send", "errno": "EWRONG"}]}, "faults[0].errno: 'EWRONG' is no errno"),
        ({"faults": [{"call": "send", "shares": 1}]}, "faults[0].shares: is not known"),
        ({"faults": [{"call": "send", "share": -1}]}, "faults[0].share: must be a number"),
    ],
)
def test_a_plan_of_faults_that_is_wrong_is_named_with_status_2(tmp_path, plan, text):
    file = tmp_path / "plan.json"
    file.write_text(json.dumps(plan))
    with pytest.raises(faults.PlanError, match=re.escape(text)):
        faults.load_plan(file)
    ended = CliRunner().invoke(lab, ["faulty", str(file)])
    assert ended.exit_code == 2 and text in ended.output


def test_the_time_told_is_what_is_left_of_a_request_that_waited_to_be_read(tmp_path):
    """The process stands still for a second with two requests in the system, one on a new connection."""

    async def test():
        async with partitioned(tmp_path) as program:
            _, kept = await program.connect()
            kept.write(chat("one"))
            reader, _ = program.servers
            await reader.wait_for("POST /v1/chat", 2)
            await asyncio.sleep(0.3)
            program.process.send_signal(signal.SIGSTOP)
            kept.write(chat("kept", left=4000))
            _, new = await program.connect()
            new.write(chat("new", left=4000))
            await asyncio.sleep(1)
            program.process.send_signal(signal.SIGCONT)
            for call in (await reader.wait_for("POST /v1/chat", 4))[2:]:
                assert 0 < int(call[1]["x-time-left-ms"]) <= 3050, "a second of it is over"
            kept.close()
            new.close()

    asyncio.run(within(test(), 60))
