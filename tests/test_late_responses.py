"""Responses that endpoints begin after the final answer of their request, with conductor processes.

Attempts may not be cancelled here (`allowed.cancel = false`), so the router never ends one itself."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from standins import DONE, SETTINGS, STREAM, Server, chat, chunk, entry, platform, read_message, within
from test_platform import complete_read

SETTINGS_WITHOUT_CANCEL = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "cancel": False}}
DELIVERY_TIME_S = 0.2  # for bytes to pass through the conductor


def events(id):
    """Return the events of the response to a request."""
    return b'data: {"content":"%s"}\n\n' % id.encode() + DONE


class LateWriter:
    """A writer that responds to the request `late` only when it is told to, and then to `next`."""

    def __init__(self, breaks_off):
        self.breaks_off, self.respond_late, self.late_ended = breaks_off, asyncio.Event(), asyncio.Event()

    async def __call__(self, call, writer):
        if not call[0].startswith("POST /v1/chat"):
            await complete_read(call, writer)
        elif call[1]["x-correlation-id"] == "late":
            await self.write_late(writer)
        else:
            self.respond_late.set()
            await self.late_ended.wait()
            writer.write(STREAM + chunk(events("next")) + b"0\r\n\r\n")

    async def write_late(self, writer):
        """Write the late response, unless the conductor has closed the connection by then."""
        try:
            await self.respond_late.wait()
            writer.write(STREAM + chunk(events("late")))
            await asyncio.sleep(DELIVERY_TIME_S)
            if self.breaks_off:
                writer.transport.abort()
            else:
                writer.write(b"0\r\n\r\n")
            await asyncio.sleep(DELIVERY_TIME_S)
        finally:
            self.late_ended.set()


async def hang(call, writer):
    if not call[0].startswith("POST /v1/chat"):
        await complete_read(call, writer)
    else:
        await asyncio.Event().wait()


# Code for the conductor's process: the effect that ends an abandoned attempt fails.
BREAK_ABANDON = """
from hoplane.net import runtime
def fail(self, effect):
    raise RuntimeError("an internal error")
runtime.Runtime.abandon = fail
"""


@asynccontextmanager
async def conductor(tmp_path, write, read=complete_read, first=""):
    async with Server(read) as reader, Server(write) as writer, Server(write) as other:
        entries = [
            entry("r1", reader.address, "prefill"),
            entry("w1", writer.address, "decode"),
            entry("w2", other.address, "decode"),
        ]
        async with platform(tmp_path, entries, first=first, settings=SETTINGS_WITHOUT_CANCEL) as program:
            program.servers = reader, writer, other
            yield program


def run(test):
    asyncio.run(within(test(), 60))


async def fail_late_request(client, cls):
    """Send the request `late` on a connection, and read its final answer, which comes at its deadline."""
    reader, writer = client
    writer.write(chat("late", cls, left=400))
    assert (await within(read_message(reader)))[0].split()[1] in ("502", "503")


async def expect_next_answer(client, cls):
    """Send the request `next` on the same connection, and check that it gets its own response."""
    reader, writer = client
    writer.write(chat("next", cls))
    first, _, body = await within(read_message(reader))
    assert first.split()[1] == "200" and body == events("next")
    writer.close()


@pytest.mark.parametrize("breaks_off", [False, True], ids=["whole", "breaks off"])
@pytest.mark.parametrize("between_requests", [False, True], ids=["during the next request", "before it"])
@pytest.mark.parametrize("cls", ["lookup", "booking"])
def test_late_response_is_not_written_into_the_answer_to_the_next_request(
    tmp_path, cls, between_requests, breaks_off
):
    # Guards against two answers to one request: the late one reached the client on the same connection.
    async def test():
        respond = LateWriter(breaks_off)
        async with conductor(tmp_path, respond) as program:
            client = await program.connect()
            await fail_late_request(client, cls)
            if between_requests:
                respond.respond_late.set()
                await respond.late_ended.wait()
            await expect_next_answer(client, cls)

    run(test)


@pytest.mark.parametrize("breaks_off", [False, True], ids=["whole", "breaks off"])
@pytest.mark.parametrize("cls", ["lookup", "booking"])
def test_response_of_an_attempt_that_outlived_its_request_is_not_passed_on(tmp_path, cls, breaks_off):
    # Guards against a relay that writes without asking whether its request still waits for a response.
    async def test():
        async with conductor(tmp_path, LateWriter(breaks_off), first=BREAK_ABANDON) as program:
            client = await program.connect()
            await fail_late_request(client, cls)
            await expect_next_answer(client, cls)
            line = await program.line("response_too_late")
            assert line["request"] == "late" and line["endpoint"] in ("w1", "w2")

    run(test)


@pytest.mark.parametrize("stage", ["read", "write"])
def test_attempt_ends_with_the_final_answer_of_its_request(tmp_path, stage):
    # Guards against attempts that outlive their answer: a hanging endpoint held the stop until SIGKILL.
    async def test():
        stages = {"read": {"read": hang, "write": complete_read}, "write": {"write": hang}}
        async with conductor(tmp_path, **stages[stage]) as program:
            assert (await program.send_request(chat("late", "booking", left=400)))[0].split()[1] in (
                "502",
                "503",
            )
            closed = [asyncio.create_task(server.closed.get()) for server in program.servers]
            await within(asyncio.wait(closed, return_when=asyncio.FIRST_COMPLETED))
            assert await program.stop() == 0

    run(test)
