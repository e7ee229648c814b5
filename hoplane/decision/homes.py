"""How many readers share a prefix, by what one of many routers has seen of it. No I/O, no clock."""

from __future__ import annotations

HOMES = 4.0  # readers of a prefix for each reader's part of all requests that it draws
ADDED = 10  # requests that are added to all when a prefix's part of them is worked out
UNSEEN = 0.5  # a request that others saw of each prefix, where routers are many to each reader


def homes(seen: float, total: float, readers: int, routers: int) -> int:
    """Give the readers of a prefix that drew so many earlier ones of all requests at one router.

    Guards against a hot prefix that each of many routers has hardly seen, and so sends to the same one
    reader: where they outnumber the readers, part of a request is thought to have been seen elsewhere. It
    counts less the more a router has seen itself. May harm where prefixes are many and readers cold."""
    unseen = UNSEEN * max(0.0, 1 - readers / routers)
    return 1 + int(HOMES * max(0.0, seen + unseen) / (total + ADDED) * readers)
