"""The figures that the operator reads: counts by class since the start, and what is open and known now."""

from __future__ import annotations

from dataclasses import dataclass, field

from hoplane.decision.interface import State

COUNTS = ("answered", "deferred", "errored")  # requests of each class, by their final answer


@dataclass(slots=True)
class Figures:
    """What the reducer counts; counting starts from 0 in each process."""

    transactions: dict[str, dict[str, int]] = field(default_factory=dict)
    sends: int = 0  # attempts written whole to endpoints, of all classes
    conf_loaded: int = 0
    conf_invalid: int = 0

    def count(self, cls: str, what: str) -> None:
        """Count a request of a class: served, refused or failed."""
        if (counts := self.transactions.get(cls)) is None:
            counts = self.transactions[cls] = dict.fromkeys(COUNTS, 0)
        counts[what] += 1


def dump(state, now: int) -> dict[str, object]:
    """Give the figures of a conductor's state, `now` on the module's clock.

    `current` counts the requests taken and not ended: no final answer yet, or a stream on its way.
    `cluster_unhealthy` counts the endpoints listed that get nothing new: draining, or set aside."""
    current = sum(
        1
        for request in state.requests.values()
        if not request.closed or (request.began and any(not each.over for each in request.attempts))
    )
    servers = state.router.servers
    unhealthy = 0
    for number, endpoint in state.fleet.items():
        server = servers.get(number)
        avoided = server is not None and (server.consecutive_ejections > 0 or now < server.ejected_until)
        unhealthy += endpoint.state is not State.LIVE or avoided
    figures = state.figures
    return {
        "transactions": {cls: dict(counts) for cls, counts in figures.transactions.items()},
        "sends": figures.sends,
        "current": current,
        "cluster_size": len(state.fleet),
        "cluster_unhealthy": unhealthy,
        "conf_loaded": figures.conf_loaded,
        "conf_invalid": figures.conf_invalid,
        "violations": state.invariants.total,
    }
