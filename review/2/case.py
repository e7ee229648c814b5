"""Case 2: where attempts may not be cancelled, a late answer is written into the client's next answer."""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common

ROUNDS = 5
WRITERS = 4
TIME_LEFT = 1.5  # seconds that a client's first request waits for its first token
LATE = 2.0  # seconds after which the instance answers that request, with trouble
PAUSE = (
    0.3  # seconds from the answer to that request to the client's next one, which precedes the late answer
)
NEXT_TAKES = 0.6  # seconds that the instance takes for the next one, so that the late answer comes before it
IN_TIME = 0.05  # seconds that an instance takes for `late-N` without trouble


class Writer:
    """An instance that streams its answers; with trouble, those to requests `late-N` are late."""

    def __init__(self, record: common.Record, trouble: bool) -> None:
        self.record, self.trouble = record, trouble

    @staticmethod
    def events(id: str) -> bytes:
        """Return all events of the answer to a request."""
        return b"".join(common.event(id, number) for number in range(3)) + common.STREAM_END

    async def respond(self, first: str, headers: dict, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        if not first.startswith("POST /v1/chat"):
            writer.write(common.message("HTTP/1.1 204 No Content"))
            return
        id = headers["x-correlation-id"]
        self.record.line(f"instance: {id} arrived, X-Time-Left-Ms {headers['x-time-left-ms']}")
        late = LATE if self.trouble else IN_TIME
        await asyncio.sleep(late if id.startswith("late") else NEXT_TAKES)
        self.record.line(f"instance: {id} is answered")
        writer.write(common.STREAM_HEAD + common.chunk(self.events(id)) + b"0\r\n\r\n")


async def ask(reader: asyncio.StreamReader, limit: float) -> tuple[str, bytes]:
    """Read one answer; return its start line and body, or what is wrong with it and no body."""
    try:
        async with asyncio.timeout(limit):
            head = await common.read_head(reader)
            if head is None:
                return "closed without an answer", b""
            return head[0], await common.read_body(reader, head[1])
    except TimeoutError:
        return f"no whole answer within {limit:.1f} s", b""
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        return f"cannot be read: {error!r}", b""


async def one_round(record: common.Record, address: str, number: int) -> bool:
    """Send two requests on one connection, the second after the answer to the first.

    Return whether each got one answer, and the second one the events of its own instance."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(common.chat(f"late-{number}", "booking", time_left_ms=round(TIME_LEFT * 1000)))
        record.line(f"client: late-{number} sent")
        first, _ = await ask(reader, TIME_LEFT + 0.55)
        record.line(f"client: late-{number} got: {first}")
        if not first.startswith("HTTP/1.1 "):
            raise common.CouldNotRun("the first request has no answer")
        await asyncio.sleep(PAUSE)
        if reader.at_eof():
            record.line("client: the conductor has closed the connection between the requests")
            return True
        writer.write(common.chat(f"next-{number}", "booking", time_left_ms=5000))
        record.line(f"client: next-{number} sent on the same connection")
        second, body = await ask(reader, 5.55)
        record.line(f"client: next-{number} got: {second}, {len(body)} bytes")
        right = second.startswith("HTTP/1.1 200") and body == Writer.events(f"next-{number}")
        refused_or_failed = second.startswith(("HTTP/1.1 4", "HTTP/1.1 5"))
        return right or refused_or_failed
    finally:
        writer.close()


async def show_bytes(record: common.Record, address: str) -> None:
    """Record, for the reader of the record, the bytes that such a client receives."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for id, time_left in (("late-bytes", TIME_LEFT), ("next-bytes", 5.0)):
        writer.write(common.chat(id, "booking", time_left_ms=round(time_left * 1000)))
        await asyncio.sleep(TIME_LEFT + PAUSE)
        for line in (await asyncio.wait_for(reader.read(4096), 5)).splitlines():
            record.line(f"client: after {id}: {line!r}")
    writer.close()


async def case(record: common.Record, folder: Path, trouble: bool) -> bool:
    """Return whether every answer was that of its own request."""
    entries: list[dict] = []
    async with AsyncExitStack() as stack:
        reader = await stack.enter_async_context(common.StandIn(common.respond_as_reader))
        agent = await stack.enter_async_context(common.StandIn(common.discovery(entries)))
        entries.append(common.entry("s-r1", reader, "prefill"))
        for number in range(WRITERS):
            writer = await stack.enter_async_context(common.StandIn(Writer(record, trouble).respond))
            entries.append(common.entry(f"s-w{number}", writer, "decode-a"))
        address, file = f"127.0.0.1:{common.free_port()}", folder / "config.json"
        common.write_configuration(file, address, agent, entries, settings=common.settings(cancel=False))
        conductor = common.Conductor("n1", record, folder)
        try:
            await conductor.start(EDGE_CONFIG=str(file))
            right = [await one_round(record, address, number) for number in range(ROUNDS)]
            record.line(f"{ROUNDS} rounds, {right.count(False)} with a wrong answer")
            if not all(right):
                await show_bytes(record, address)
            if conductor.process.returncode is not None:
                raise common.CouldNotRun("the conductor has ended")
            return all(right)
        finally:
            await conductor.kill()


if __name__ == "__main__":
    common.start(case, __file__)
