"""How often one conductor of many asks discovery, and how long it waits for the answer. No I/O.

Where lists are pushed, an agent on the conductor's own machine answers at once and at no cost, and what it
has counts as told: there the rules' grace for a drain bounds how long it may go unasked, however many
conductors there are.

Where they are asked for, all conductors ask one discovery of fixed capacity, which serves calls in turn and
turns them away when they have waited long. Each asks little, yet together, and in step after a restart of
many, they hold it down: who gives up and asks anew loses his turn, and his old call is served in vain."""

from __future__ import annotations

import random
from datetime import timedelta

from hoplane.core.border import to_span
from hoplane.decision.interface import Settings

WAIT = timedelta(seconds=0.5)  # that a running watch may be held open: its agent answers at no cost
SPARE = timedelta(milliseconds=300)  # for the answer's way
TURN = timedelta(milliseconds=60)  # a call of each conductor may be ahead of ours, and takes this long
QUEUED = timedelta(seconds=2)  # a call that has waited this long for its turn is turned away
PATIENCE_MOST = timedelta(seconds=3)  # so a call that is silent for longer has no turn
FEW = 3  # that may ask again at once: a watch goes on if its next call comes within 200 ms
CLOCK = timedelta(seconds=6)  # what there is to tell counts as told after this, whatever became of our calls
PAUSE_MOST = CLOCK - QUEUED  # so that a call that follows, and waits for its turn, is answered by then
NO_WAIT = timedelta(milliseconds=1)  # of a call that only asks what there is
GRACE = timedelta(seconds=1)  # where the settings name none
ASKED_WITHIN, PAUSED = 0.3, 0.1  # parts of the grace: the wait for what is there, and a pause


class Pacing:
    """Says how long one of many conductors waits for an answer, and pauses after a call that failed.

    `told`: the settings, for the kind of discovery, the number of conductors and the grace of a drain."""

    def __init__(self, told: Settings, rng: random.Random) -> None:
        self.rng, self.asked = rng, told.must_subscribe
        self.routers, self.position = told.routers, told.position % told.routers
        self.failures = 0  # in a row
        grace = to_span(told.drain_grace) or GRACE
        self.again = ASKED_WITHIN * grace  # an agent answers within this, or it is silent
        self.first = grace if self.asked else self.again  # that a start waits for the first answer
        if self.asked:
            self.wait, self.patience = WAIT, min(WAIT + SPARE + TURN * told.routers, PATIENCE_MOST)
            self.pause = TURN * max(1, told.routers - FEW)  # so that all that failed come back one by one
            self.silence = CLOCK - QUEUED - self.patience
        else:
            # What comes at discovery's return counts at once: a call that was cut off, a pause and the next
            # call take under half of the grace; the rest is for a busy loop and a connection that is late.
            self.wait, self.patience = min(WAIT, grace / 4), min(WAIT, grace / 4) + self.again
            self.pause = self.silence = PAUSED * grace

    def call(self) -> tuple[timedelta, timedelta]:
        """Give how long the next call may be held open, and how long its answer is awaited."""
        if self.failures and not self.asked:
            return NO_WAIT, self.again
        return self.wait, self.patience

    def answered(self) -> None:
        """Begin anew: the watch runs."""
        self.failures = 0

    def failed(self, silent: bool, unheard: timedelta = timedelta()) -> timedelta:
        """Give the pause after a failure, `unheard` after the last good call; where asked, doubled in a row.

        Guards against conductors that were turned away together and come back together: the first pause goes
        by their numbers, the next are drawn. What there is to tell counts as told within `CLOCK`, whether a
        call was refused, turned away or given up, so while there is time left the next one begins in it. A
        call that nobody answered was in no queue: the watch is broken, and all but its wait is left."""
        most = self.silence * 2 / 3 if silent else PAUSE_MOST
        span = min(self.pause * 2**self.failures if self.asked else self.pause, most)
        if not self.asked or silent:
            span *= self.rng.uniform(0.5, 1.5)
        elif self.failures == 0:
            span *= (self.position + self.rng.random()) / self.routers
        else:
            span *= self.rng.uniform(0.5, 1)
        self.failures = min(self.failures + 1, 16)
        left = PAUSE_MOST - unheard
        return min(span, left * self.rng.uniform(0.5, 1)) if self.asked and left > timedelta() else span
