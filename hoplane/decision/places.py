"""Places at writers: what asking for them tells, and when to ask. No I/O, no clock."""

from __future__ import annotations

from random import Random

from .state import Rate

CHEAP = 0.003  # price of an asking, in points of service for one a request, up to which every read asks
ROOMY = 0.05  # askings in vain up to which writers have room, so that few askings tell as much as all


class Places:
    """Counts what came of the places asked for of late, and asks seldom where asking is dear.

    An asking tells whether writers are full, and lets most of a state flow during its read. Where each costs
    points, and none of late was in vain, a part of them tells the same; the rest would buy some milliseconds
    of a first token that is wanted within a second or more."""

    def __init__(self, span: int) -> None:
        self.rates = {held: Rate(span) for held in (True, False)}

    def add(self, now: int, held: bool) -> None:
        """Note an asking and whether the place is held."""
        self.rates[held].add(now)

    def crowding(self, now: int) -> float:
        """Give the share of the places asked for of late that no writer held; a few askings tell little.

        Guards against writers filled past their memory unseen: work sent with no place queues, puts answers
        back. `late` takes it as wait. Covers any shortage of slots or memory: bursts, lost writers, long
        prompts. May harm where full writers are asked while others have room; what was asked fades."""
        none, held = (self.rates[key].add(now, 0) for key in (False, True))
        return none / (none + held + 1)

    def wanted(self, now: int, price: float, rng: Random) -> bool:
        """Tell whether a read that starts shall ask for a place."""
        if price <= CHEAP or self.crowding(now) >= ROOMY:
            return True
        return rng.random() < (CHEAP / price) ** 2
