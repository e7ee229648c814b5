"""Clients of a soak test that make a conductor hold, repeat or wait for something: crowds and floods."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress

from .soak_environment import PORT, ConductorProcess
from .soak_messages import encode_message

CROWD_CLIENTS = 240
REQUESTS_PER_WRITE = 50  # of a client at full speed
LONG_VALUE = b"x" * 8000
MAX_PAYLOAD_BYTES = 128 * 1024  # of one client of a crowd
ANSWER_BYTES = 64 * 1024  # read at once and discarded


def chat_request(request_id: str, time_left_ms: int = 2000, session: str = "s", prefix: str = "p") -> bytes:
    """Return a usual request under these names."""
    return encode_message(
        "POST /v1/chat/completions HTTP/1.1",
        b'{"stream":true}',
        Host="h",
        X_Correlation_Id=request_id,
        X_Service_Class="lookup",
        X_Time_Left_Ms=time_left_ms,
        X_Facts=f"prefix={prefix},prompt_len=100,prefix_len=50,max_out=20",
        X_Session_Key=session,
    )


HEAD = chat_request("crowd").partition(b"\r\nContent-Length")[0] + b"\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What each client of a crowd sends before it stops and waits.
CROWDS: dict[str, bytes] = {
    "short fields": HEAD + b"".join(b"X-%d: 1\r\n" % number for number in range(10_000)),
    "long fields": HEAD + b"".join(b"X-%d: %b\r\n" % (number, LONG_VALUE) for number in range(16)),
    "half a body": HEAD + b"Content-Length: 262144\r\n\r\n" + b" " * 100_000,
    "small chunks": CHUNKED_HEAD + b"1\r\n \r\n" * 20_000,
    "trailers": CHUNKED_HEAD + b"0\r\n" + b"X-More: 1\r\n" * 9_000,
    "noise": bytes(range(128, 256)) * 1024,
}
# What a client sends at full speed; the number makes names that are always new.
FLOODS = {
    "small": lambda number: b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n",
    "unsound": lambda number: b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n{",
    "new names": lambda number: chat_request(f"flood-{number}", 1, f"s{number}", f"p{number}"),
    "long waits": lambda number: chat_request(f"flood-{number}", 999_999_999, f"s{number}", f"p{number}"),
    "no text": lambda number: chat_request(f"flood-{number}").replace(b"Key: s", b"Key: \xff"),
}


async def run_crowd(process: ConductorProcess, variant: str, duration: float) -> None:
    """Let many clients write slowly, stop in the middle of their request and stay."""
    await asyncio.gather(
        *(stop_midway(process, CROWDS[variant][:MAX_PAYLOAD_BYTES], duration) for _ in range(CROWD_CLIENTS))
    )


async def stop_midway(process: ConductorProcess, data: bytes, duration: float) -> None:
    """Send data in two parts on one connection, and stay without reading."""
    with suppress(OSError):
        _, writer = await asyncio.open_connection(process.host, PORT)
        writer.transport.pause_reading()
        writer.write(data[: len(data) // 2])
        await asyncio.sleep(duration / 4)
        writer.write(data[len(data) // 2 :])
        await asyncio.sleep(duration * 3 / 4)
        writer.transport.abort()


async def run_flood(process: ConductorProcess, variant: str, duration: float) -> None:
    """Send requests at full speed on one connection, and on a new one whenever it ends."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration
    numbers = itertools.count()
    while loop.time() < until:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout_at(until):
                await flood_connection(process, variant, numbers)
        await asyncio.sleep(0.01)


async def flood_connection(process: ConductorProcess, variant: str, numbers: itertools.count) -> None:
    """Send until the conductor closes the connection; the answers are read and discarded."""
    reader, writer = await asyncio.open_connection(process.host, PORT)
    answers = asyncio.create_task(discard_answers(reader))
    try:
        while not answers.done():
            writer.write(b"".join(FLOODS[variant](next(numbers)) for _ in range(REQUESTS_PER_WRITE)))
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        answers.cancel()
        writer.transport.abort()


async def discard_answers(reader: asyncio.StreamReader) -> None:
    """Read until the connection ends."""
    with suppress(OSError):
        while await reader.read(ANSWER_BYTES):
            pass
