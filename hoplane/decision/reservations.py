"""Reservations at writers: the rate at which they fail, and when to make one. No I/O."""

from __future__ import annotations

from random import Random

from .state import DecayingCounter

# Price of a reservation, as a fraction of the value of one answered request, up to which every read makes a
# reservation.
CHEAP_PRICE = 0.003
LOW_FAILURE_RATE = 0.05  # below which writers have room, so that a sample of reservations is enough


class ReservationTracker:
    """Counts the results of recent reservations, and limits new ones where each has a price.

    A reservation shows whether writers are full, and lets most of a read state be transferred during the
    read. Where reservations have a price and none has failed recently, a sample of them gives the same
    information; the rest would only save some milliseconds of a TTFT target of a second or more.
    """

    def __init__(self, span: int) -> None:
        self.rates = {reserved: DecayingCounter(span) for reserved in (True, False)}

    def add(self, now: int, reserved: bool) -> None:
        """Count the result of a reservation."""
        self.rates[reserved].add(now)

    def failure_rate(self, now: int) -> float:
        """Return the share of recent reservations that failed; close to 0 while they are few.

        A high rate means that writers lack slots or memory, through bursts, lost writers or long prompts.
        Work sent there without a reservation is queued and delays answers, so `Router.would_be_late` counts
        the rate as delay. The rate is too high if full writers were tried while others had room; it decays
        with time.
        """
        failed, reserved = (self.rates[key].add(now, 0) for key in (False, True))
        return failed / (failed + reserved + 1)

    def should_reserve(self, now: int, price: float, rng: Random) -> bool:
        """Return whether to make a reservation during a read that is being sent."""
        if price <= CHEAP_PRICE or self.failure_rate(now) >= LOW_FAILURE_RATE:
            return True
        return rng.random() < (CHEAP_PRICE / price) ** 2
