"""What must hold of the acts that resources wrote down. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Act:
    """One act at one resource: whose, under which token, from when to when (seconds, one clock)."""

    resource: str
    holder: str
    token: int
    begun: float
    ended: float


def problems(acts: Iterable[Act], everywhere: bool) -> list[str]:
    """Name all that breaks the rule: acts of two tenures that overlap, and tokens that fall.

    `everywhere`: they may not overlap at any two resources (what the margin alone gives while no act is
    late on its way); else at any one resource (what its look at the token gives whatever happens)."""
    found, acts = [], sorted(acts, key=lambda act: act.begun)
    last: dict[tuple, Act] = {}  # by tenure, the act that ends last
    highest: dict[str, Act] = {}  # by resource
    for act in acts:
        tenure = (act.holder, act.token, None if everywhere else act.resource)
        for key, other in last.items():
            if key != tenure and key[2] == tenure[2] and act.begun < other.ended:
                found.append(f"two at once: {other} and {act}")
        top = highest.get(act.resource)
        if top is not None and act.token < top.token:
            found.append(f"stale token: {act} after {top}")
        if top is None or act.token > top.token:
            highest[act.resource] = act
        if tenure not in last or act.ended > last[tenure].ended:
            last[tenure] = act
    return found
