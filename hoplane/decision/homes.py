"""How many readers share a prefix, and how much one of many routers sees of a reader. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping

from .state import Rate

HOMES = 4.0  # readers of a prefix for each reader's part of all requests that it draws
ADDED = 10  # requests that are added to all when a prefix's part of them is worked out
UNSEEN = 0.5  # a request that others saw of each prefix, where routers are many to each reader


def seen(readers: int, routers: int) -> float:
    """Give the part of a reader's doings that one router sees: all where there is a reader for each router.

    What is guessed of a reader's speed, and of what it has yet to read, is worth as much: where many send to
    it, its reads took their time behind others' work, and most of what it keeps was read for others."""
    return min(1.0, readers / routers)


def homes(drawn: Mapping[str, Rate], prefix: str, readers: int, routers: int) -> int:
    """Give the readers of a prefix by what it drew at one router, the request at hand among it, "" for all.

    Guards against a hot prefix that each of many routers has hardly seen, and so sends to the same one
    reader: where they outnumber the readers, part of a request is thought to have been seen elsewhere. It
    counts less the more a router has seen itself. May harm where prefixes are many and readers cold."""
    unseen = UNSEEN * (1 - seen(readers, routers))
    part = max(0.0, drawn[prefix].count - 1 + unseen) / (drawn[""].count + ADDED)
    return 1 + int(HOMES * part * readers)
