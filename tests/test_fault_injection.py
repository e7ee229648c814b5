"""Partitions and failing system calls with conductor processes (issue 28).

Abandoned requests must never arrive later, and a failed system call must not fail a request."""

import asyncio
import json
import re
import signal
from contextlib import asynccontextmanager

import pytest
from click.testing import CliRunner
from standins import SETTINGS, Server, chat, entry, message, platform, within
from test_platform import complete_read, stream_response

from hoplane.lab import faults
from hoplane.lab.__main__ import lab
from hoplane.lab.partition import PartitionProxy


@asynccontextmanager
async def partitioned(tmp_path, read=complete_read, write=stream_response, **options):
    """Run a conductor with a partitionable path to each endpoint, both used by one request before."""
    async with (
        Server(read) as reader,
        Server(write) as writer,
        PartitionProxy(reader.address) as to_reader,
        PartitionProxy(writer.address) as to_writer,
    ):
        entries = [entry("r1", to_reader.address, "prefill"), entry("w1", to_writer.address, "decode")]
        async with platform(tmp_path, entries, **options) as program:
            program.servers, program.paths = (reader, writer), (to_reader, to_writer)
            assert (await program.send_request(chat("warm")))[0].startswith("HTTP/1.1 200")
            await asyncio.sleep(0.1)
            yield program


def arrived_calls(program, id):
    """Return the calls of a request that arrived at endpoints, except releases."""
    calls = [call for server in program.servers for call in server.calls]
    return [
        call[0]
        for call in calls
        if not call[0].startswith("DELETE")
        and (call[1].get("x-correlation-id") == id or call[0].split()[1].endswith(f"/{id}"))
    ]


async def disconnect(program):
    _, writer = await program.connect()
    writer.write(chat("q"))
    await asyncio.sleep(0.3)
    writer.close()


async def pass_the_deadline(program):
    assert (await program.send_request(chat("q", left=600)))[0].split()[1] in ("502", "503")


async def kill(program):
    _, writer = await program.connect()
    writer.write(chat("q"))
    await asyncio.sleep(0.3)
    program.process.kill()
    await program.process.wait()


@pytest.mark.parametrize("cancel", [True, False], ids=["cancel allowed", "cancel not allowed"])
@pytest.mark.parametrize("abandon", [disconnect, pass_the_deadline, kill])
def test_abandoned_requests_behind_a_partition_never_arrive(tmp_path, abandon, cancel):
    """Both endpoints are partitioned with open connections, the request is abandoned, and the paths heal."""
    settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "cancel": cancel}}

    async def test():
        async with partitioned(tmp_path, settings=settings) as program:
            for path in program.paths:
                path.partition()
            await abandon(program)
            await asyncio.sleep(0.5)
            for path in program.paths:
                path.heal()
            await asyncio.sleep(0.5)
            assert arrived_calls(program, "q") == []

    asyncio.run(within(test(), 60))


def test_unwritable_log_affects_neither_requests_nor_drains(tmp_path):
    """Standard error goes to a full device; then a malformed response, a list and a stop cause log lines."""

    async def test():
        malformed = asyncio.Event()

        async def read(call, writer):
            if malformed.is_set() and call[0].startswith("POST /v1/chat"):
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
                malformed.set()
                assert (await program.send_request(chat("q")))[0].split()[1] in ("502", "503")
                updated = [
                    {**entries[0], "status": "Terminating"},
                    entries[1],
                    entry("r2", other.address, "prefill"),
                ]
                await program.discovery.publish(updated)
                await asyncio.sleep(0.5)
                before = len(reader.calls_to("POST /v1/chat"))
                assert (await program.send_request(chat("r")))[0].split()[1] == "200"
                assert len(reader.calls_to("POST /v1/chat")) == before, "the reader is draining"
                assert await program.stop() == 0

    asyncio.run(within(test(), 60))


def inject(*faults, seed=1):
    plan = json.dumps({"seed": seed, "faults": faults})
    return f"import json; from hoplane.lab import faults; faults.install(json.loads({plan!r}))"


@pytest.mark.parametrize("code", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EPERM"])
def test_temporary_accept_errors_neither_delay_nor_lose_clients(tmp_path, code):
    """Clients that connect while accept fails are answered before their deadline, also during a shutdown."""

    async def test():
        async with Server(complete_read) as reader, Server(stream_response) as writer:
            entries = [entry("r1", reader.address, "prefill"), entry("w1", writer.address, "decode")]
            fault_setup = inject({"call": "accept", "errno": code, "share": 0.9})
            async with platform(tmp_path, entries, first=fault_setup) as program:
                loop = asyncio.get_running_loop()
                for stop in (False, True):
                    requests = [
                        asyncio.create_task(program.send_request(chat(f"{stop}{n}"))) for n in range(5)
                    ]
                    if stop:
                        await asyncio.sleep(0.05)
                        program.process.terminate()
                    started = loop.time()
                    answers = await asyncio.gather(*requests)
                    assert all(answer and answer[0].split()[1] in ("200", "503") for answer in answers), (
                        answers
                    )
                    assert stop or loop.time() - started < 4, "before the clients' deadline"
                assert await within(program.process.wait()) == 0

    asyncio.run(within(test(), 60))


def test_reservation_for_a_read_that_has_not_arrived_is_released_before_the_request_ends(tmp_path):
    """The reader is partitioned; the writer doesn't know the read, but may hold a reservation for it."""

    async def write(call, writer):
        if call[0].startswith("POST /v1/holds/q"):
            writer.write(message("HTTP/1.1 204 No Content"))
        else:
            await stream_response(call, writer)

    async def test():
        async with partitioned(tmp_path, write=write) as program:
            program.paths[0].partition()
            _, client = await program.connect()
            client.write(chat("q"))
            (_, writer) = program.servers
            await writer.wait_for("POST /v1/holds/q")
            started = asyncio.get_running_loop().time()
            await writer.wait_for("DELETE /v1/holds/q")
            assert asyncio.get_running_loop().time() - started < 3, "long before the end of the request"
            program.paths[0].heal()
            client.close()

    asyncio.run(within(test(), 60))


def test_state_of_a_read_that_ends_after_its_release_is_released_again(tmp_path):
    """A partitioned reader sees no close of the connection, so its read may complete after the release."""

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
            releases = lambda: [  # noqa: E731
                *reader.calls_to("DELETE /v1/holds/q"),
                *writer.calls_to("DELETE /v1/holds/q"),
            ]
            while len(releases()) < 2:
                await asyncio.sleep(0.02)
            assert await program.stop() == 0

    asyncio.run(within(test(), 30))


def test_start_and_reload_survive_temporary_file_and_socket_errors(tmp_path):
    """Reading the file and creating sockets fail at first, at the start and again on SIGHUP."""

    async def test():
        fault_setup = inject(
            {"call": "open", "errno": "EIO", "share": 0.7, "path": "config.json"},
            {"call": "socket", "errno": "ENFILE", "share": 0.7},
        )
        async with platform(tmp_path, [], first=fault_setup) as program:
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
def test_invalid_fault_plan_is_reported_with_exit_status_2(tmp_path, plan, text):
    file = tmp_path / "plan.json"
    file.write_text(json.dumps(plan))
    with pytest.raises(faults.PlanError, match=re.escape(text)):
        faults.load_plan(file)
    result = CliRunner().invoke(lab, ["faulty", str(file)])
    assert result.exit_code == 2 and text in result.output


def test_time_left_header_accounts_for_time_before_the_request_was_read(tmp_path):
    """The process is stopped for a second while two requests arrive, one of them on a new connection."""

    async def test():
        async with partitioned(tmp_path) as program:
            _, reused = await program.connect()
            reused.write(chat("one"))
            reader, _ = program.servers
            await reader.wait_for("POST /v1/chat", 2)
            await asyncio.sleep(0.3)
            program.process.send_signal(signal.SIGSTOP)
            reused.write(chat("kept", left=4000))
            _, fresh = await program.connect()
            fresh.write(chat("new", left=4000))
            await asyncio.sleep(1)
            program.process.send_signal(signal.SIGCONT)
            for call in (await reader.wait_for("POST /v1/chat", 4))[2:]:
                assert 0 < int(call[1]["x-time-left-ms"]) <= 3050, "a second has passed"
            reused.close()
            fresh.close()

    asyncio.run(within(test(), 60))
