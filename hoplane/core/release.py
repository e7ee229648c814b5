"""Order and timing of the calls that release a request's read state and reservations. No I/O, no clock.

Any endpoint accepts a release, so it fails only while no endpoint can be reached. Endpoints that are
partitioned, out of connections or down are skipped, and all are tried in rounds for as long as read state or
a reservation may exist."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta
from itertools import zip_longest
from zlib import crc32

from hoplane.core.events import Endpoint

HEDGE_DELAY = timedelta(milliseconds=70)  # without an answer; then the next endpoint is called as well
MIN_RETRY_DELAY = timedelta(milliseconds=5)  # after an immediate failure; doubled for each consecutive one
CALL_TIMEOUT = timedelta(seconds=0.5)  # for an answer; then the connection is closed
# Delays of repeated releases for a read that was cut off: it may still complete, and leave its read state,
# after the first release.
REPEAT_DELAYS = (timedelta(seconds=0.3), timedelta(seconds=0.5))
MAX_DURATION = timedelta(seconds=5)  # endpoints free the state of a dead conductor after some seconds


def candidate_endpoints(
    id: str, first: Sequence[Endpoint], listed: Iterable[Endpoint], zone: str | None
) -> Iterator[Endpoint]:
    """Yield the endpoints to call, without end: those that took part in the request, then all in rounds.

    Consecutive endpoints are in different zones, starting with the conductor's own: if a whole zone is down
    or partitioned, calling its endpoints one after the other would use up all the time. Each request starts
    at its own offset, so that the fleet's releases don't all go to one endpoint."""
    yield from first
    by_zone: dict[str, list[Endpoint]] = {}
    for endpoint in listed:
        by_zone.setdefault(endpoint.zone, []).append(endpoint)
    offset = crc32(id.encode())
    groups = [by_zone[name] for name in sorted(by_zone, key=lambda name: (name != zone, name))]
    rotated = [group[offset % len(group) :] + group[: offset % len(group)] for group in groups]
    others = [endpoint for row in zip_longest(*rotated) for endpoint in row if endpoint is not None]
    while first or others:
        yield from others
        yield from first


def retry_delay(consecutive_failures: int) -> timedelta:
    """Return the delay before the next call after so many consecutive calls that failed at once."""
    return min(MIN_RETRY_DELAY * 2 ** min(consecutive_failures, 8), HEDGE_DELAY)
