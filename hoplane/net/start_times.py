"""Converts endpoints' start times, told in wall-clock time, to the reducer's clock, which no step moves.

Discovery tells `since_ms` as Unix time. The reducer's clock begins at the wall's time and runs on
monotonically, so the two differ by every step of the wall clock since this process began. What counts is an
endpoint's age: the wall's time now less `since_ms`, both before or both after a step."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from hoplane.core.events import ZERO, Endpoint, EndpointsUpdated


class StartTimes:
    """Remembers for each listed endpoint what was told, and what it meant when it was told first.

    A list that repeats a start time after a step changes nothing. One that is told first after a step, of a
    start before it, cannot be told apart: an age below zero counts as zero."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[timedelta, timedelta]] = {}  # by endpoint: as told, as converted

    def convert(self, listed: EndpointsUpdated, wall: timedelta, now: timedelta) -> EndpointsUpdated:
        """Give a list with its start times on the reducer's clock. `wall` and `now` are this moment."""
        endpoints = tuple(self.converted(each, wall, now) for each in listed.endpoints)
        if listed.complete:
            names = {each.name for each in endpoints} | set(listed.unreadable)
            self.known = {name: each for name, each in self.known.items() if name in names}
        return replace(listed, endpoints=endpoints)

    def converted(self, endpoint: Endpoint, wall: timedelta, now: timedelta) -> Endpoint:
        """Give an endpoint with its start time on the reducer's clock; zero stays, for long ago."""
        if endpoint.started == ZERO:
            self.known.pop(endpoint.name, None)
            return endpoint
        told, converted = self.known.get(endpoint.name, (None, ZERO))
        if told != endpoint.started:
            converted = now - max(ZERO, wall - endpoint.started)
            self.known[endpoint.name] = endpoint.started, converted
        return replace(endpoint, started=converted)
