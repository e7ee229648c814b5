"""A holder of the lease that is told to end gives it away while its action still runs at an endpoint."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from second import (  # noqa: E402
    BROKEN,
    HELD,
    ROOT,
    TROUBLE,
    NotRunError,
    Program,
    Record,
    Server,
    build_message,
    free_address,
    free_port,
    run_case,
    start,
    until,
    write_v2_files,
)

sys.path.insert(0, str(ROOT))

from hoplane.lab.etcd_stub import EtcdStub  # noqa: E402

ENDPOINTS = 3
ACTION_TIME = 0.35  # seconds that an endpoint takes for an action; act_ms, its bound, is 500
ROUNDS = 3  # planned restarts, one conductor after the other
SIGTERM_AT = 0.1  # seconds after the start of an action


@dataclass
class Action:
    """An action under the lease, as its endpoint saw it."""

    holder: str
    token: int
    started: float
    ended: float = float("inf")


async def case(record: Record, scratch: Path) -> int:
    """Restart the holder of the lease as planned, and compare the actions of the two conductors."""
    actions: list[Action] = []

    def act_at(name: str):
        async def act(call: tuple, writer: asyncio.StreamWriter) -> None:
            token = call[1].get("x-fencing-token")
            if token is None:
                writer.write(build_message("HTTP/1.1 200 OK", b"{}"))
                return
            action = Action(call[1]["x-holder"], int(token), time.monotonic())
            actions.append(action)
            record(f"an action of {action.holder} begins at {name}, token {action.token}")
            await asyncio.sleep(ACTION_TIME)  # it runs to its end, also if its caller has gone
            action.ended = time.monotonic()
            record(f"an action of {action.holder} ends at {name}")
            writer.write(build_message("HTTP/1.1 200 OK", b"{}"))

        return act

    servers = [await Server(act_at(f"m{n}")).start() for n in range(ENDPOINTS)]
    endpoints = [{"name": f"m{n}", "address": each.address} for n, each in enumerate(servers)]
    programs: dict[str, Program] = {}
    async with EtcdStub(free_port()) as etcd:
        files = {}
        for name in ("east", "west"):
            (scratch / name).mkdir()
            lease = f'\n[lease]\nengine = ["{etcd.address}"]\n'
            changes = {'name = "sidecar"': f'name = "{name}"'}
            files[name] = write_v2_files(scratch / name, free_address(), endpoints, changes, lease)
        try:
            for name, file in files.items():
                programs[name] = await start(record, scratch, str(file))
                await programs[name].wait_for("started")
            for _ in range(ROUNDS):
                await restart_holder(record, scratch, actions, programs, files)
        finally:
            for program in programs.values():
                await program.end()
    overlaps = [
        (first, second)
        for first in actions
        for second in actions
        if first.token < second.token and second.started < first.ended
    ]
    for first, second in overlaps:
        record(
            f"{second.holder} (token {second.token}) acts {first.ended - second.started:.3f} s before "
            f"the action of {first.holder} (token {first.token}) has ended"
        )
    if len({action.token for action in actions}) < (2 if TROUBLE else 1):
        raise NotRunError("the lease had no second holder")
    return BROKEN if overlaps else HELD


async def restart_holder(
    record: Record,
    scratch: Path,
    actions: list[Action],
    programs: dict[str, Program],
    files: dict[str, Path],
) -> None:
    """Wait until an action has begun; tell its conductor to end, and start it again once it has ended."""
    count = len(actions)
    if not await until(lambda: len(actions) > count, 10):
        raise NotRunError("no action began")
    await asyncio.sleep(SIGTERM_AT)
    if not TROUBLE:
        await asyncio.sleep(4)
        return
    name = actions[-1].holder
    programs[name].signal(signal.SIGTERM)
    await asyncio.wait_for(programs[name].process.wait(), 15)
    record(f"{name} has ended with the status {programs[name].process.returncode}")
    await asyncio.sleep(2)
    programs[name] = await start(record, scratch, str(files[name]))
    await programs[name].wait_for("started")


run_case(Path(__file__).resolve().parent, case)
