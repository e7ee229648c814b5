"""Two processes on one inherited socket: which of them gives way, and when the new one may say yes.

No I/O: `net/handover.py` reads and writes what each process tells of itself."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

STALE = timedelta(seconds=1)  # a process that has not told of itself for so long is gone
PATIENCE = timedelta(seconds=4)  # the longest a new process waits for the old one to empty before it says yes


@dataclass(slots=True, frozen=True)
class Peer:
    """What a process told of itself, and when: `born` is its start, `open` its requests not yet answered."""

    pid: int
    born: timedelta
    open: int
    told: timedelta


@dataclass(slots=True, frozen=True)
class Verdict:
    """What a process is to do beside the others.

    `superseded`: a newer process takes the clients, so this one empties itself. `waiting`: an older one still
    has requests open, so this one does not say yes yet."""

    superseded: bool
    waiting: bool


def judge(pid: int, born: timedelta, peers: list[Peer], now: timedelta) -> Verdict:
    """Judge by what the other processes told lately; ties of the start go by the process id.

    Guards against streams cut by SIGKILL: the old process is asked to stop once the new one says yes, and is
    killed soon after, so the new one says yes once the old has nothing open, or after `PATIENCE`."""
    live = [peer for peer in peers if peer.pid != pid and now - peer.told < STALE]
    me = (born, pid)
    superseded = any((peer.born, peer.pid) > me for peer in live)
    older_open = any((peer.born, peer.pid) < me and peer.open > 0 for peer in live)
    return Verdict(superseded, older_open and now - born < PATIENCE)
