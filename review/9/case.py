"""A v2 server closes within an answer with binary tensors; the client gets the part of it as a whole one."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from second import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    NotRunError,
    Record,
    Server,
    build_inference,
    free_address,
    request,
    run_case,
    start,
    write_v2_files,
)

REQUESTS = 8
VALUES = 16_384  # 32-bit numbers in an answer
SIZE = 4 * VALUES


def build_answer(id: str) -> tuple[bytes, bytes]:
    """Build an answer's head with its JSON part, and its binary part; the connection's end is its end."""
    output = {
        "name": "scores",
        "shape": [1, VALUES],
        "datatype": "FP32",
        "parameters": {"binary_data_size": SIZE},
    }
    document = json.dumps({"model_name": "desk", "id": id, "outputs": [output]}).encode()
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n"
        f"Inference-Header-Content-Length: {len(document)}\r\n\r\n"
    )
    return head.encode() + document, bytes(range(256)) * (SIZE // 256)


async def case(record: Record, scratch: Path) -> int:
    """Ask for lookups and bookings; the first server's process ends within some answers."""
    answers = 0

    async def infer(call: tuple, writer: asyncio.StreamWriter) -> None:
        nonlocal answers
        if call[0].startswith("GET"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        id = json.loads(call[2])["id"]
        answers += 1
        ends_early = TROUBLE and answers % 2 == 1
        head, binary = build_answer(id)
        part = binary[: SIZE // 2] if ends_early else binary
        record(f"run {id}; its server writes {len(part)} of {SIZE} binary bytes and closes the connection")
        writer.write(head + part[: SIZE // 4])
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.write(part[SIZE // 4 :])
        await writer.drain()
        writer.close()

    servers = [await Server(infer).start() for _ in range(2)]
    address = free_address()
    endpoints = [{"name": f"m{n}", "address": each.address} for n, each in enumerate(servers)]
    file = write_v2_files(scratch, address, endpoints)
    program = await start(record, scratch, str(file))
    wrong, served = [], 0
    try:
        await program.wait_for("started")
        for number in range(REQUESTS):
            id, service_class = f"r{number}", "booking" if number % 4 == 3 else "lookup"
            answer = await request(address, build_inference(id, service_class))
            if answer is None:
                raise NotRunError(f"no answer to {id}")
            status = int(answer[0].split()[1])
            if status != 200:
                record(f"client has the answer {status} to {service_class} {id}")
                continue
            json_size = int(answer[1]["inference-header-content-length"])
            document = json.loads(answer[2][:json_size])
            told = document["outputs"][0]["parameters"]["binary_data_size"]
            whole = answer[2][json_size:] == build_answer(id)[1]
            record(
                f"client has the answer 200 to {service_class} {id}: {len(answer[2]) - json_size} binary "
                f"bytes, as its length says; its tensor has {told}"
            )
            served += whole
            if not whole:
                wrong.append(id)
    finally:
        await program.end()
    if not TROUBLE and served < REQUESTS:
        raise NotRunError(f"{served} of {REQUESTS} served without the disruption")
    record(f"answers passed on as whole that broke off: {wrong}")
    return BROKEN if wrong else HELD


run_case(Path(__file__).resolve().parent, case)
