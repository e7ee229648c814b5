"""Statistics for the operator: counters since the start of the process, and gauges of the current state."""

from __future__ import annotations

from dataclasses import dataclass, field

from hoplane.decision.interface import State

# Outcomes of requests, counted for each class. Operators' tools read these names, so they stay: "deferred"
# means refused, "errored" means failed.
OUTCOMES = ("answered", "deferred", "errored")


@dataclass(slots=True)
class Statistics:
    """Counters of the reducer; they start at 0 in each process."""

    transactions: dict[str, dict[str, int]] = field(default_factory=dict)
    sends: int = 0  # attempts fully written to endpoints, over all classes
    conf_loaded: int = 0
    conf_invalid: int = 0

    def count(self, class_name: str, outcome: str) -> None:
        """Count a request of a class by its outcome, one of `OUTCOMES`."""
        if (counts := self.transactions.get(class_name)) is None:
            counts = self.transactions[class_name] = dict.fromkeys(OUTCOMES, 0)
        counts[outcome] += 1


def collect(state, now: int) -> dict[str, object]:
    """Return the statistics of a conductor; `now` is on the decision module's clock.

    `current` counts requests in flight: without a final answer, or with a response still streaming.
    `cluster_unhealthy` counts listed endpoints that get no new work: draining or ejected."""
    current = sum(
        1
        for request in state.requests.values()
        if not request.closed
        or (request.response_started and any(not each.ended for each in request.attempts))
    )
    servers = state.router.servers
    unhealthy = 0
    for server_id, endpoint in state.fleet.items():
        server = servers.get(server_id)
        ejected = server is not None and (server.consecutive_ejections > 0 or now < server.ejected_until)
        unhealthy += endpoint.state is not State.LIVE or ejected
    statistics = state.statistics
    return {
        "transactions": {name: dict(counts) for name, counts in statistics.transactions.items()},
        "sends": statistics.sends,
        "current": current,
        "cluster_size": len(state.fleet),
        "cluster_unhealthy": unhealthy,
        "conf_loaded": statistics.conf_loaded,
        "conf_invalid": statistics.conf_invalid,
        "violations": state.invariants.total,
    }
