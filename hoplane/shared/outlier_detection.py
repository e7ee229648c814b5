"""Fleet-wide outlier detection from failure reports that conductors exchange. No I/O.

A report lists failed requests with their ages. An endpoint is ejected while the fleet has at least
`min_failures` failures of it that are younger than `ejection_time`. The ages in a report increase from the
moment at which this process first read it, so a report that stays in etcd because its conductor is
partitioned cannot extend an ejection forever."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class OutlierRule:
    """Conditions for ejecting an endpoint.

    At most the fraction `max_ejected_fraction` of the listed endpoints is ejected."""

    min_failures: int = 3
    ejection_time: timedelta = timedelta(seconds=4)
    max_ejected_fraction: float = 0.5

    def __post_init__(self) -> None:
        """Reject values out of range."""
        if self.min_failures < 1:
            raise ValueError("need: must be at least 1")
        if self.ejection_time <= timedelta():
            raise ValueError("keep_ms: must be above 0")


FailureAges = dict[str, list[timedelta]]  # by endpoint: the age of each failure


class OutlierDetector:
    """Failures that one conductor observed, and those that the others reported to it."""

    def __init__(self, rule: OutlierRule) -> None:
        self.rule = rule
        self.local_failures: dict[str, deque[timedelta]] = {}
        # by conductor and endpoint: times of failures
        self.reported_failures: dict[str, dict[str, list[timedelta]]] = {}

    def record_failure(self, now: timedelta, endpoint: str) -> None:
        """Record a failure observed by this conductor."""
        self.local_failures.setdefault(endpoint, deque(maxlen=self.rule.min_failures)).append(now)

    def record_success(self, endpoint: str) -> None:
        """Discard this conductor's own failures of an endpoint that has responded since."""
        self.local_failures.pop(endpoint, None)

    def report(self, now: timedelta) -> FailureAges:
        """Return this conductor's recent failures as ages, and discard older ones."""
        ejection_time = self.rule.ejection_time
        ages = {
            name: [now - at for at in times if now - at < ejection_time]
            for name, times in self.local_failures.items()
        }
        self.local_failures = {name: self.local_failures[name] for name, each in ages.items() if each}
        return {name: each for name, each in ages.items() if each}

    def merge(
        self, now: timedelta, conductor: str, ages: FailureAges, report_age: timedelta = timedelta()
    ) -> None:
        """Replace a conductor's last report.

        `report_age`: time since this process first read the report, a lower bound of the report's age."""
        self.reported_failures[conductor] = {
            name: [now - report_age - age for age in each][-self.rule.min_failures :]
            for name, each in ages.items()
        }

    def retain_reporters(self, live: Iterable[str]) -> None:
        """Discard the reports of conductors that are not live."""
        self.reported_failures = {
            name: self.reported_failures[name] for name in live if name in self.reported_failures
        }

    def ejected(self, now: timedelta, listed: list[str]) -> dict[str, timedelta]:
        """Return the endpoints to eject, each with the end of its ejection.

        If there are too many, those with the most failures are chosen. A conductor that reports more than
        half of the endpoints probably has a fault of its own, and its report is ignored."""
        reported_names = [list(each) for each in self.reported_failures.values()]
        trusted_reports = [
            reports
            for reports, names in zip(self.reported_failures.values(), reported_names, strict=True)
            if len(set(names) & set(listed)) <= max(1, len(listed) // 2)
        ]
        failures: dict[str, list[timedelta]] = {}
        for reports in [*trusted_reports, {name: list(times) for name, times in self.local_failures.items()}]:
            for name, times in reports.items():
                recent = [at for at in times if now - at < self.rule.ejection_time]
                if recent and name in listed:
                    failures.setdefault(name, []).extend(recent)
        outliers = {name: times for name, times in failures.items() if len(times) >= self.rule.min_failures}
        ranked = sorted(outliers, key=lambda name: (-len(outliers[name]), name))
        selected = ranked[: int(len(listed) * self.rule.max_ejected_fraction)]
        # An ejection ends when the oldest of the latest `min_failures` failures expires.
        return {
            name: sorted(outliers[name])[-self.rule.min_failures] + self.rule.ejection_time
            for name in selected
        }
