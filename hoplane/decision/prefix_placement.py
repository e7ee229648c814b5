"""Over how many readers a prefix is spread, and how much of a reader's work one router observes. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from .state import DecayingCounter

# A prefix with a share s of all requests is spread over one reader plus about this times s times the number
# of readers.
FANOUT_FACTOR = 4.0
PRIOR_REQUESTS = 10  # added to all requests when the share of a prefix is computed
# Requests for each prefix assumed to be seen by other routers, where routers far outnumber readers.
UNOBSERVED_REQUESTS = 0.5


def observed_share(readers: int, routers: int) -> float:
    """Return the share of a reader's work that one router observes: all, if readers are as many as routers.

    Estimates of a reader's speed, and of what it has yet to read, are weighted by this share. With many
    routers to each reader, the observed reads were delayed by requests of other routers, and most of the
    reader's cached tokens were read for those.
    """
    return min(1.0, readers / routers)


def count(arrivals: Mapping[str, DecayingCounter], prefix: str) -> float:
    """Return the requests of a prefix, 0 if its entry was dropped while a request waited."""
    return arrivals[prefix].count if prefix in arrivals else 0.0


def prefix_fanout(arrivals: Mapping[str, DecayingCounter], prefix: str, readers: int, routers: int) -> int:
    """Return over how many readers a prefix is spread, by its share of the requests at this router.

    `arrivals` includes the current request; the key "" counts all requests. Where routers outnumber readers,
    a fraction of a request is added as if seen by other routers: otherwise all routers send a hot prefix that
    each has hardly seen to the same reader. The addition weighs less the more requests a router has seen
    itself. It spreads too widely where prefixes are many and readers are cold.
    """
    unobserved = UNOBSERVED_REQUESTS * (1 - observed_share(readers, routers))
    share = max(0.0, count(arrivals, prefix) - 1 + unobserved) / (count(arrivals, "") + PRIOR_REQUESTS)
    return 1 + int(FANOUT_FACTOR * share * readers)
