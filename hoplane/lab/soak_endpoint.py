"""A model server's stand-in of a soak test, with its faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .answer_generator import Answer, Defect, draw_defect, draw_pace, generate
from .partition import PartitionProxy
from .soak_messages import encode_chunk, encode_message, now, read_message
from .soak_oracle import EndpointCall, RequestTrace, SoakRecord

UNKNOWN_READ_DELAY = 0.3  # seconds after which an endpoint reports that the read is unknown to it
SLOW_READ_DELAY = 3.0  # seconds for which a slow endpoint leaves a request's body unread
# Pieces in which a slow endpoint writes its events, and the seconds between them.
SLOW_PIECE_BYTES, SLOW_PIECE_PAUSE = 4, 0.35
COMMENT_INTERVAL = 0.5  # seconds
RESET_DELAY = 0.05  # seconds after a request's last byte, in which a reset behind it arrives
USUAL_PACE = 0.1  # seconds between two pieces of what an unsound answer goes on with
MAX_ANSWER_DURATION = 3.0  # seconds in which a generated answer is written
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
USAGE_EVENT = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
FINAL_EVENT = b"data: [DONE]\n\n"


class Endpoint:
    """A model server's stand-in, which records the calls it receives and responds according to its faults."""

    def __init__(self, number: int, is_reader: bool, record: SoakRecord, rng: random.Random) -> None:
        self.number, self.is_reader, self.record, self.rng = number, is_reader, record, rng
        self.errors_until = self.malformed_until = 0.0
        self.stream_faults: dict[str, float] = {}  # until when, by the kind of the fault event
        self.defect: Defect | None = None  # of generated answers; None if it is drawn for each of them
        self.name = f"{'r' if is_reader else 'w'}{number}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.proxy = PartitionProxy("{}:{}".format(*self.server.sockets[0].getsockname()))
        await self.proxy.__aenter__()

    async def stop(self) -> None:
        await self.proxy.__aexit__()
        self.server.close()

    def entry(self, status: str = "Ready") -> dict[str, object]:
        """Return its entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.proxy.address,
            "zone": "z",
            "status": status,
            "weight": 1.0,
            "type": "prefill" if self.is_reader else "decode",
            "group": 1,
            "since_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first_byte_at = 0.0

        def on_first_byte() -> None:
            nonlocal first_byte_at
            first_byte_at = now()

        try:
            while http_request := await self.read_request(reader, on_first_byte):
                if not await self.handle_call(http_request, first_byte_at, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def set_defect(self, name: str) -> None:
        """Set the defect of answers that are generated; without a name, it is drawn for each of them."""
        self.defect = Defect[name] if name else None

    def has_fault(self, kind: str) -> bool:
        return now() < self.stream_faults.get(kind, 0.0)

    async def read_request(self, reader: asyncio.StreamReader, on_first_byte: Callable[[], None]):
        """Read a request; while this endpoint reads slowly, leave its body unread for a while.

        Returns None for one that was given up meanwhile: the system discards the unread rest at a reset."""
        if not self.has_fault("slow_read"):
            return await read_message(reader, on_first_byte)
        http_request = await read_message(reader, on_first_byte, before_body=self.delay_body)
        await self.proxy.path_up.wait()  # a reset waits behind a partition, and the rest of a body does too
        await asyncio.sleep(RESET_DELAY)
        given_up = reader.at_eof() or reader.exception() is not None
        return None if given_up else http_request

    @staticmethod
    async def delay_body() -> None:
        await asyncio.sleep(SLOW_READ_DELAY)

    async def handle_call(self, http_request, first_byte_at: float, reader, writer) -> bool:
        """Handle one call; return whether the connection stays open."""
        method, path, _ = http_request[0].split()
        request_id = http_request[1].get("x-correlation-id") or path.rsplit("/", 1)[-1]
        trace = self.record.trace(request_id)
        if path.startswith("/health"):
            writer.write(encode_message("HTTP/1.1 200 OK"))
        elif method == "DELETE":
            trace.add_call(EndpointCall(now(), first_byte_at, self.number, "release"))
            writer.write(encode_message("HTTP/1.1 204 No Content"))
        elif path.startswith("/v1/holds"):
            trace.add_call(EndpointCall(now(), first_byte_at, self.number, "hold"))
            writer.write(encode_message(await self.reserve(trace)))
        else:
            time_left = float(http_request[1]["x-time-left-ms"]) / 1000
            endpoint_call = EndpointCall(
                now(), first_byte_at, self.number, "read" if self.is_reader else "write", time_left
            )
            trace.add_call(endpoint_call)
            execution = asyncio.ensure_future(self.execute(request_id, endpoint_call, writer))
            disconnection = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({execution, disconnection}, return_when=asyncio.FIRST_COMPLETED)
            disconnection.cancel()
            execution.cancel()
            results = await asyncio.gather(execution, disconnection, return_exceptions=True)
            if self.is_reader:
                trace.end_read(now())
            return results[0] is True
        return True

    async def reserve(self, trace: RequestTrace) -> str:
        """Return the status line for a reservation; it is kept even if no read arrives within the delay."""
        deadline = now() + UNKNOWN_READ_DELAY
        while trace.reads_in_flight == 0 and now() < deadline:
            await asyncio.sleep(0.005)
        return "HTTP/1.1 200 OK" if trace.reads_in_flight else "HTTP/1.1 204 No Content"

    async def execute(
        self, request_id: str, endpoint_call: EndpointCall, writer: asyncio.StreamWriter
    ) -> bool:
        """Execute a read or a write; return whether the connection stays open."""
        if now() < self.malformed_until:
            endpoint_call.executed = True
            writer.write(b"no answer at all\r\n\r\n")
            return False
        if now() < self.errors_until:
            endpoint_call.executed = True
            writer.write(encode_message("HTTP/1.1 500 Internal Server Error"))
            return True
        if self.is_reader:
            await asyncio.sleep(self.rng.uniform(0.005, 0.06))
            writer.write(encode_message("HTTP/1.1 202 Accepted", b'{"cached_tokens":4}'))
            return True
        endpoint_call.executed = True
        await asyncio.sleep(self.rng.uniform(0.005, 0.04))
        events = [self.event(request_id, index) for index in range(self.rng.randint(2, 8))]
        if self.has_fault("generated"):
            return await self.write_generated(events, endpoint_call, writer)
        writer.write(STREAM_HEAD)
        for index, event in enumerate(events):
            await self.write_event(writer, event)
            if index and self.has_fault("end_early"):
                writer.write(b"0\r\n\r\n")
                return True
            if index and self.has_fault("endless"):
                await self.write_comments(writer)
                return False
        writer.write(encode_chunk(USAGE_EVENT + FINAL_EVENT) + b"0\r\n\r\n")
        await writer.drain()
        return True

    def event(self, request_id: str, index: int) -> bytes:
        """Return an event that names its request, this endpoint and its position in the stream."""
        content = f'{{"content":"{request_id}/{self.name}/{index}"}}'
        return b'data: {"choices":[{"index":0,"delta":' + content.encode() + b"}]}\n\n"

    async def write_generated(
        self, events: list[bytes], endpoint_call: EndpointCall, writer: asyncio.StreamWriter
    ) -> bool:
        """Write an answer that is generated, sound or not; return whether the connection stays open."""
        defect = draw_defect(self.rng) if self.defect is None else self.defect
        answer = generate(self.rng, [*events, USAGE_EVENT, FINAL_EVENT], defect)
        endpoint_call.unsound = not answer.is_sound
        data = STREAM_HEAD + answer.body
        pace = draw_pace(self.rng, len(data), MAX_ANSWER_DURATION)
        for start in range(0, len(data), pace.piece_bytes):
            writer.write(data[start : start + pace.piece_bytes])
            await writer.drain()
            await asyncio.sleep(pace.pause)
        if answer.is_sound:
            return True
        await self.write_repeated(answer, writer)
        return False

    @staticmethod
    async def write_repeated(answer: Answer, writer: asyncio.StreamWriter) -> None:
        """Go on with what an unsound answer repeats until the conductor closes the connection."""
        while not writer.is_closing():
            writer.write(answer.repeated)
            await writer.drain()
            await asyncio.sleep(USUAL_PACE)

    async def write_event(self, writer: asyncio.StreamWriter, event: bytes) -> None:
        """Write an event, in small pieces if this endpoint writes slowly."""
        if not self.has_fault("slow_write"):
            writer.write(encode_chunk(event))
            await asyncio.sleep(self.rng.uniform(0.0, 0.08))
            return
        for start in range(0, len(event), SLOW_PIECE_BYTES):
            writer.write(encode_chunk(event[start : start + SLOW_PIECE_BYTES]))
            await asyncio.sleep(SLOW_PIECE_PAUSE)

    @staticmethod
    async def write_comments(writer: asyncio.StreamWriter) -> None:
        """Go on with comments in place of events until the conductor closes the connection."""
        while not writer.is_closing():
            writer.write(encode_chunk(b": ping\n\n"))
            await writer.drain()
            await asyncio.sleep(COMMENT_INTERVAL)
