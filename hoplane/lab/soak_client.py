"""The clients of a soak test: usual ones, which stall, leave early and send an id again now and then."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from .answer_generator import FALSE_EVENT
from .soak_environment import CLASSES, PORT, ConductorProcess
from .soak_messages import encode_message, now, read_message
from .soak_oracle import RequestRecord, SoakRecord
from .soak_plan import SoakPlan

SEND_AGAIN_PROBABILITY = 0.5  # of a booking whose client leaves before its answer
STREAM_GRACE = 25.0  # seconds for which a client still waits for the rest of a slow stream
CLIENT_GRACE = 2.0  # seconds for which a client still waits after its request's deadline
# The share of requests whose client stalls within them, and the seconds it waits for an error or a close.
STALL_PROBABILITY, MAX_STALL_WAIT = 0.02, 5.0
BODY_PADDINGS, PEER_BODY_PADDINGS = (0, 0, 20_000), (0, 0, 20_000, 250_000)  # bytes


class Client:
    """A load generator that sends requests to one conductor, even while the conductor shuts down or restarts.

    It reuses its connection where possible."""

    def __init__(self, name: str, conductor: ConductorProcess, plan: SoakPlan, record: SoakRecord) -> None:
        self.name, self.conductor, self.plan, self.record = name, conductor, plan, record
        self.rng = random.Random(f"{plan.seed}/{name}")
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.request_count = 0

    async def run(self, until: float) -> None:
        """Send requests sequentially."""
        while now() < until:
            try:
                await self.send_request()
            except OSError:  # the conductor is not listening, or it closed the idle connection
                self.disconnect()
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.rng.uniform(0.0, 0.25))
        self.disconnect()

    def disconnect(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send_request(self) -> None:
        """Send a request and record its outcome."""
        if self.reader is None or self.reader.at_eof():
            self.disconnect()
            self.reader, self.writer = await asyncio.open_connection(self.conductor.host, PORT)
        self.request_count += 1
        class_name, idempotency = self.rng.choice(CLASSES)
        time_left = self.rng.uniform(0.5, 1.0) * self.plan.deadline
        request_id = f"{self.name}-{self.request_count}"
        data = encode_message(
            "POST /v1/chat/completions HTTP/1.1",
            b'{"stream":true}'
            + b" " * self.rng.choice(PEER_BODY_PADDINGS if self.plan.peers else BODY_PADDINGS),
            Host="h",
            X_Correlation_Id=request_id,
            X_Service_Class=class_name,
            X_Time_Left_Ms=int(time_left * 1000),
            X_Facts="prompt_len=100,max_out=20",
            X_Session_Key=f"s{self.rng.randrange(40)}",
        )
        if self.rng.random() < 0.1:  # in two writes with a delay between them
            self.writer.write(data[:60])
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            data = data[60:]
        if self.rng.random() < STALL_PROBABILITY:
            await self.stall(data)
            return
        self.writer.write(data)
        request = RequestRecord(
            request_id, self.conductor.number, idempotency == "side_effect", now(), now() + time_left
        )
        self.record.requests.append(request)
        disconnect_after = self.rng.uniform(0.0, time_left) if self.rng.random() < 0.12 else None
        await self.await_response(request, disconnect_after)
        may_come_again = self.plan.peers and request.at_most_once and request.disconnected_at is not None
        if may_come_again and self.rng.random() < SEND_AGAIN_PROBABILITY:
            await self.send_again(data, request)

    async def send_again(self, data: bytes, request: RequestRecord) -> None:
        """Send the same id again on a new connection, as its client has left before the answer."""
        process_record = self.conductor.process_records[-1]
        if process_record.started_at > request.sent_at or process_record.sigterm_at is not None:
            return  # another process does not know the id
        request.sent_again_at = now()
        self.reader, self.writer = await asyncio.open_connection(self.conductor.host, PORT)
        self.writer.write(data)
        time_left = request.deadline - request.sent_at
        again = RequestRecord(
            request.request_id, request.conductor, True, now(), now() + time_left, is_repeat=True
        )
        self.record.requests.append(again)
        await self.await_response(again, None)

    async def stall(self, data: bytes) -> None:
        """Send part of a request, then wait for an error or a close."""
        self.writer.write(data[: self.rng.randrange(1, len(data))])
        started_at = now()
        with suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(MAX_STALL_WAIT):
                await self.reader.read(1)
        self.record.stalled_clients.append((self.conductor.number, started_at, now() - started_at))
        self.disconnect()

    async def await_response(self, request: RequestRecord, disconnect_after: float | None) -> None:
        """Read a response to its end, or disconnect after a delay."""
        time_limit = (
            request.deadline + CLIENT_GRACE - request.sent_at
            if disconnect_after is None
            else disconnect_after
        )
        response = None
        try:
            async with asyncio.timeout(time_limit) as limit:
                response = await self.receive(request, limit if disconnect_after is None else None)
        except TimeoutError:
            if disconnect_after is not None:
                request.disconnected_at = now()
        except ConnectionError:
            request.reset = True
        except (asyncio.IncompleteReadError, ValueError):
            pass
        request.ended_at = now()
        if response is None or response[1].get("connection") == "close" or not request.complete:
            self.disconnect()

    async def receive(self, request: RequestRecord, limit: asyncio.Timeout | None):
        """Read a response; a stream that has begun may take longer than the request's deadline."""

        def on_first_byte() -> None:
            request.response_started = True
            if self.plan.peers and limit is not None:
                limit.reschedule(asyncio.get_running_loop().time() + STREAM_GRACE)

        def on_chunk(chunk: bytes) -> None:
            request.body += chunk
            if b"data: " in chunk.replace(FALSE_EVENT, b""):
                request.last_event_at = now()

        response = await read_message(self.reader, on_first_byte, on_chunk)
        if response is not None:
            request.status, request.body, request.complete = (
                int(response[0].split()[1]),
                response[2],
                response[3],
            )
        return response
