"""What conductors tell each other of endpoints that fail them, and what the fleet makes of it. No I/O.

Evidence is a failed request, with its age. An endpoint is avoided once `need` failures of the fleet are
fresh, and for no longer than `keep` after the last of them: a report that is late, or that never ends as
its conductor is cut off, cannot keep it out for longer."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class Rule:
    """When an endpoint is avoided. `most_part`: of the listed endpoints, the part avoided at the most."""

    need: int = 3
    keep: timedelta = timedelta(seconds=4)
    most_part: float = 0.5

    def __post_init__(self) -> None:
        """Refuse rules that judge by nothing."""
        if self.need < 1:
            raise ValueError("need: must be at least 1")
        if self.keep <= timedelta():
            raise ValueError("keep_ms: must be above 0")


Ages = dict[str, list[timedelta]]  # by endpoint, how old each failure is


class Verdicts:
    """One conductor's evidence and what it heard of the others'."""

    def __init__(self, rule: Rule) -> None:
        self.rule = rule
        self.mine: dict[str, deque[timedelta]] = {}
        self.heard: dict[str, dict[str, list[timedelta]]] = {}  # by conductor and endpoint, when each failed

    def failed(self, now: timedelta, endpoint: str) -> None:
        """Note a failure that was met here."""
        self.mine.setdefault(endpoint, deque(maxlen=self.rule.need)).append(now)

    def answered(self, endpoint: str) -> None:
        """Drop our own evidence: the endpoint answered us since."""
        self.mine.pop(endpoint, None)

    def report(self, now: timedelta) -> Ages:
        """Give our fresh evidence, as ages, to be told."""
        keep = self.rule.keep
        ages = {name: [now - at for at in times if now - at < keep] for name, times in self.mine.items()}
        self.mine = {name: self.mine[name] for name, each in ages.items() if each}
        return {name: each for name, each in ages.items() if each}

    def take(self, now: timedelta, conductor: str, ages: Ages, since: timedelta = timedelta()) -> None:
        """Take a conductor's report in, which replaces its last; `since`: how long ago it was written."""
        self.heard[conductor] = {
            name: [now - since - age for age in each][-self.rule.need :] for name, each in ages.items()
        }

    def forget(self, living: Iterable[str]) -> None:
        """Drop the reports of conductors that are gone."""
        self.heard = {name: self.heard[name] for name in living if name in self.heard}

    def avoided(self, now: timedelta, listed: list[str]) -> dict[str, timedelta]:
        """Give the endpoints to avoid, each until when; the surest first where they are too many.

        A conductor that tells of most endpoints has trouble of its own, and is not heard."""
        told = [list(each) for each in self.heard.values()]
        sources = [
            reports
            for reports, names in zip(self.heard.values(), told, strict=True)
            if len(set(names) & set(listed)) <= max(1, len(listed) // 2)
        ]
        found: dict[str, list[timedelta]] = {}
        for reports in [*sources, {name: list(times) for name, times in self.mine.items()}]:
            for name, times in reports.items():
                fresh = [at for at in times if now - at < self.rule.keep]
                if fresh and name in listed:
                    found.setdefault(name, []).extend(fresh)
        sure = {name: times for name, times in found.items() if len(times) >= self.rule.need}
        order = sorted(sure, key=lambda name: (-len(sure[name]), name))
        kept = order[: int(len(listed) * self.rule.most_part)]
        # As many as are needed must still be fresh: the oldest of the latest `need` sets the end.
        return {name: sorted(sure[name])[-self.rule.need] + self.rule.keep for name in kept}
