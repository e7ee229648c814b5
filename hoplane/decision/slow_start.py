"""Slow start: the share of the work that each of many routers may send to a cold server. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .interface import Settings
from .state import DecayingCounter, Server

SAFETY_FACTOR = 0.8  # fraction of the load that a cold server must tolerate, over all routers, that is used


class SlowStart:
    """Accrues slow-start credit for cold servers over time, in proportion to the current load.

    Credit starts at a random value, so that routers do not send at the same moment. Credit also accrues
    during congestion: servers warm up by the work that they do, and a returning server would otherwise stay
    idle then. The cost is that a server that warms up late gets work too early.
    """

    def __init__(self, span: int) -> None:
        self.span, self.arrivals = span, DecayingCounter(span)  # arrivals do not count retries
        # Hooks, set from outside if the fleet shares a budget for each cold server. They take the server id.
        # `shared_budget_allows` returns whether one more send fits the budget, or None if there is no shared
        # budget and the credit of this router decides.
        self.shared_budget_allows: Callable[[int], bool | None] = lambda server: None
        self.reserve_send: Callable[[int], None] = lambda server: None

    def allows_send(
        self, server: Server, now: int, settings: Settings, recent_sends: DecayingCounter, role_size: int
    ) -> bool:
        """Return whether a server is warm, or cold and has credit for one send (a credit of 1).

        `recent_sends` counts the sends to the server's role, `role_size` the servers of that role. Credit
        accrues with the larger of recent sends and client arrivals: if all servers of a role return cold,
        hardly anything has been sent to them, and credit by sends alone would hardly grow. Retries do not
        count as arrivals, as each refusal would add credit. The current request does not count either: where
        each of many routers sees few requests, it would count twice.
        """
        if server.warmup_progress(now, settings.cold) == 1 or not settings.fall_multiple:
            return True
        if (shared_budget_allows := self.shared_budget_allows(server.entry.server)) is not None:
            return shared_budget_allows
        work = max(1.0, recent_sends.add(now, 0), self.arrivals.add(now, 0) - 1)
        share = SAFETY_FACTOR * min(1.0, settings.cold_share * settings.fall_multiple) / role_size
        earned = (now - server.credit_updated_at) * work / self.span * share
        server.credit, server.credit_updated_at = min(1.0, (server.credit or 0.0) + earned), now
        return server.credit == 1

    @staticmethod
    def all_cold(servers: Iterable[Server], now: int, settings: Settings) -> bool:
        """Return whether every server is cold, so that any work for one of them needs credit first."""
        return bool(settings.fall_multiple) and all(
            server.warmup_progress(now, settings.cold) < 1 for server in servers
        )
