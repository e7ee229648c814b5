"""Decides the handover between processes that share an inherited listening socket.

The decision is which process drains and when the new one reports ready. No I/O: `net/handover.py` exchanges
the processes' heartbeats."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

HEARTBEAT_TIMEOUT = timedelta(seconds=1)  # a process without a heartbeat for this long counts as ended
MAX_READINESS_DELAY = timedelta(seconds=4)  # longest time that a new process waits for the old one to drain


@dataclass(slots=True, frozen=True)
class Peer:
    """Latest heartbeat of a process. `open_requests` counts its requests that are not yet answered.

    Times are on the machine's monotonic clock; `heartbeat_at` is when the heartbeat was written."""

    pid: int
    started_at: timedelta
    open_requests: int
    heartbeat_at: timedelta


@dataclass(slots=True, frozen=True)
class HandoverDecision:
    """What a process has to do in a handover.

    `superseded`: a newer process accepts the new connections, so this one drains.
    `waiting`: an older process still has open requests, so this one doesn't report ready yet."""

    superseded: bool
    waiting: bool


def decide_handover(pid: int, started_at: timedelta, peers: list[Peer], now: timedelta) -> HandoverDecision:
    """Decide by the recent heartbeats of the other processes; equal start times are ordered by process id.

    The old process is stopped once the new one reports ready, and killed soon after. So that SIGKILL doesn't
    cut its streams, the new one reports ready only once the old one has no open requests, or after
    `MAX_READINESS_DELAY`."""
    live = [peer for peer in peers if peer.pid != pid and now - peer.heartbeat_at < HEARTBEAT_TIMEOUT]
    own_order = (started_at, pid)
    superseded = any((peer.started_at, peer.pid) > own_order for peer in live)
    older_open = any((peer.started_at, peer.pid) < own_order and peer.open_requests > 0 for peer in live)
    return HandoverDecision(superseded, older_open and now - started_at < MAX_READINESS_DELAY)
