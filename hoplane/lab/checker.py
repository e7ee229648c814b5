"""Checks mutual exclusion on the actions that resources recorded. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Action:
    """One action of a lease holder at one resource, with its fencing token.

    Times are in seconds; all actions of a run use the same clock."""

    resource: str
    holder: str
    token: int
    started: float
    ended: float


def find_violations(actions: Iterable[Action], across_resources: bool) -> list[str]:
    """Describe all violations: overlapping actions of two tenures, and fencing tokens that decrease.

    With `across_resources`, actions of two tenures must not overlap even at different resources; the lease's
    safety margin alone guarantees that as long as no action is delayed in the network. Without it, they must
    not overlap at the same resource, which the resource's token check guarantees under any fault."""
    violations, actions = [], sorted(actions, key=lambda action: action.started)
    latest_by_tenure: dict[tuple, Action] = {}  # the action that ends last
    highest_by_resource: dict[str, Action] = {}  # the action with the highest token
    for action in actions:
        tenure = (action.holder, action.token, None if across_resources else action.resource)
        for key, other in latest_by_tenure.items():
            if key != tenure and key[2] == tenure[2] and action.started < other.ended:
                violations.append(f"overlapping tenures: {other} and {action}")
        previous = highest_by_resource.get(action.resource)
        if previous is not None and action.token < previous.token:
            violations.append(f"stale fencing token: {action} after {previous}")
        if previous is None or action.token > previous.token:
            highest_by_resource[action.resource] = action
        if tenure not in latest_by_tenure or action.ended > latest_by_tenure[tenure].ended:
            latest_by_tenure[tenure] = action
    return violations
