"""Converts start times from Unix time to the reducer's clock, which wall-clock steps do not change.

Discovery reports `since_ms` as Unix time. The reducer's clock starts at the wall-clock time and continues
monotonically, so the two differ by every step of the wall clock since this process started. What counts is an
endpoint's age: the wall-clock time minus `since_ms`, both taken before or both after a step.
"""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from hoplane.core.events import ZERO, Endpoint, EndpointsUpdated
from hoplane.decision.interface import State


class StartTimes:
    """Remembers for each listed endpoint the reported start time and the first conversion of it.

    A list that repeats a start time after a step changes nothing. A start before a step that is first
    reported after it cannot be recognized: a negative age counts as zero.
    """

    def __init__(self) -> None:
        self.known: dict[str, tuple[timedelta, timedelta]] = {}  # by endpoint: reported, converted

    def convert(self, listed: EndpointsUpdated, wall: timedelta, now: timedelta) -> EndpointsUpdated:
        """Return a list with its start times on the reducer's clock; `wall` and `now` are the present."""
        endpoints = tuple(self.converted(each, wall, now) for each in listed.endpoints)
        if listed.complete:
            names = {each.name for each in endpoints} | set(listed.unreadable)
            self.known = {name: each for name, each in self.known.items() if name in names}
        for each in endpoints:
            if each.state is State.GONE:
                self.known.pop(each.name, None)
        return replace(listed, endpoints=endpoints)

    def converted(self, endpoint: Endpoint, wall: timedelta, now: timedelta) -> Endpoint:
        """Return an endpoint with its start time on the reducer's clock.

        Zero, which means long ago, is not converted.
        """
        if endpoint.started == ZERO:
            self.known.pop(endpoint.name, None)
            return endpoint
        reported, converted = self.known.get(endpoint.name, (None, ZERO))
        if reported != endpoint.started:
            converted = now - max(ZERO, wall - endpoint.started)
            self.known[endpoint.name] = endpoint.started, converted
        return replace(endpoint, started=converted)
