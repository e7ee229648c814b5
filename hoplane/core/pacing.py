"""How often one conductor of many asks discovery, and how long it waits for the answer. No I/O.

All conductors ask one discovery of fixed capacity, which serves calls in turn and turns them away when they
have waited long. Each asks little, yet together, and in step after a restart of many, they hold it down: who
gives up and asks anew loses his turn, and his old call is served in vain."""

from __future__ import annotations

import random
from datetime import timedelta

WAIT = timedelta(seconds=0.5)  # that a running watch may be held open: its agent answers at no cost
SPARE = timedelta(milliseconds=300)  # for the answer's way
TURN = timedelta(milliseconds=60)  # a call of each conductor may be ahead of ours, and takes this long
PATIENCE_MOST = timedelta(seconds=3)  # a call that has waited 2 s for its turn is turned away
FEW = 3  # that may ask again at once: a watch goes on if its next call comes within 200 ms
PAUSE_MOST = timedelta(seconds=20)  # a list this old costs requests, yet calls in vain keep it from all


class Pacing:
    """Says how long one of so many conductors waits for an answer, and pauses after a call that failed."""

    def __init__(self, conductors: int, rng: random.Random) -> None:
        self.rng = rng
        self.patience = min(WAIT + SPARE + TURN * conductors, PATIENCE_MOST)
        self.pause = TURN * max(1, conductors - FEW)  # so that all that failed at once come back one by one
        self.failures = 0  # in a row

    def answered(self) -> None:
        """Begin anew: the watch runs."""
        self.failures = 0

    def failed(self) -> timedelta:
        """Give the pause after a failure, doubled each time in a row, at a random moment of its span.

        Guards against conductors that were turned away together and come back together."""
        span = min(self.pause * 2**self.failures, PAUSE_MOST)
        self.failures = min(self.failures + 1, 16)
        return span * self.rng.uniform(0.5, 1.5)
