"""Turns at cold servers: what part of the work each of many routers may send to one. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .interface import Settings
from .state import Rate, Server

PART = 0.8  # of what a cold server must stand, over all routers


class Turns:
    """Pays turns in at cold servers as time goes on, in proportion to the work that there is.

    Begun at random, lest routers meet. Guards against servers that come back in a jam and stay idle, as they
    warm by what they serve; may harm where one warms late."""

    def __init__(self, span: int) -> None:
        self.span, self.came = span, Rate(span)  # first tries of late
        # Where the fleet shares a budget for each cold server, it stands in for the guess made here: whether
        # one more send fits, and a send that is booked. Set from outside; both take the server's number.
        self.fits: Callable[[int], bool | None] = lambda server: None
        self.book: Callable[[int], None] = lambda server: None

    def room(self, server: Server, now: int, told: Settings, sent: Rate, peers: int) -> bool:
        """Tell whether a server is warm or has its turn; `sent` went to its role of late, `peers` have it.

        The work is what was sent or what clients asked for, if that is more. Guards against a role that comes
        back cold all together: what was sent there had fallen to nothing, turns went by it, and so few came
        that it stayed so. Repeats do not count: each one refused would bring more turns; nor does the request
        at hand, which would count double where each of many routers sees few."""
        if server.warmth(now, told.cold) == 1 or not told.fall_multiple:
            return True
        if (fits := self.fits(server.entry.server)) is not None:
            return fits
        work = max(1.0, sent.add(now, 0), self.came.add(now, 0) - 1)
        part = PART * min(1.0, told.cold_share * told.fall_multiple) / peers
        paid = (now - server.credit_at) * work / self.span * part
        server.credit, server.credit_at = min(1.0, (server.credit or 0.0) + paid), now
        return server.credit == 1

    @staticmethod
    def scarce(servers: Iterable[Server], now: int, told: Settings) -> bool:
        """Tell whether every server is cold, so that a turn at one is to be had before work for it begins."""
        return bool(told.fall_multiple) and all(s.warmth(now, told.cold) < 1 for s in servers)
