"""Where a release is tried, in what order and how often. No I/O, no clock.

Any endpoint takes a release, so it fails only while none is reached: endpoints that are cut off, out of room
for connections or gone are passed by, round after round, for as long as something may be held."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta
from itertools import zip_longest
from zlib import crc32

from hoplane.core.events import Endpoint

TRY = timedelta(milliseconds=70)  # without an answer, then another endpoint is asked as well
AGAIN = timedelta(milliseconds=5)  # after one that failed at once, doubled in a row up to the time of a try
PATIENCE = timedelta(seconds=0.5)  # with one that took the call and is silent; its connection is closed then
# After a release for a read that was cut off: such a read may end well, and leave its state, a moment later.
REPEATS = (timedelta(seconds=0.3), timedelta(seconds=0.5))
MOST = timedelta(seconds=5)  # what a dead conductor left is freed some seconds later; so much for ours


def order(
    id: str, first: Sequence[Endpoint], listed: Iterable[Endpoint], zone: str | None
) -> Iterator[Endpoint]:
    """Give the endpoints to ask, without end: those that had part in it, then all, round by round.

    Neighbours lie in different zones, ours first; each request begins at a spot of its own. Guards against
    a zone that is lost or cut off, whose endpoints one after the other would take all the time there is, and
    against all releases of a fleet meeting at one endpoint."""
    yield from first
    zones: dict[str, list[Endpoint]] = {}
    for each in listed:
        zones.setdefault(each.zone, []).append(each)
    spot = crc32(id.encode())
    parts = [zones[name] for name in sorted(zones, key=lambda name: (name != zone, name))]
    turned = [part[spot % len(part) :] + part[: spot % len(part)] for part in parts]
    others = [each for row in zip_longest(*turned) for each in row if each is not None]
    while first or others:
        yield from others
        yield from first


def pause(failures: int) -> timedelta:
    """Give the time till the next is asked after so many in a row that failed at once."""
    return min(AGAIN * 2 ** min(failures, 8), TRY)
