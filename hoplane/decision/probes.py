"""Learns what probe timeouts mean in this deployment, as no setting says so. No I/O."""

from __future__ import annotations

from .state import Server

ANSWERS_PER_FALSE_TIMEOUT = 20  # answers ahead of the queue that make up for one false timeout


class ProbeReliability:
    """Learns whether a probe timeout means a dead server or a busy one.

    Some servers answer probes ahead of their queue, so that a timeout means failure. Others answer in queue
    order: a timeout then means that the queue is longer than the probe's timeout. Taking all work away from
    such a server discards reads that it would have done, or does in vain where cancelling stops no work.

    A timeout was false if the same server process shows activity later. Timeouts are ignored while there is
    more than one false timeout per ANSWERS_PER_FALSE_TIMEOUT answers that came while an older request was
    waiting.
    """

    def __init__(self) -> None:
        self.answers_while_busy = 0  # answers that came before that to an older request of ours
        self.false_timeouts = 0  # timeouts of servers that turned out to be alive

    def record_timeout(self, server: Server) -> bool:
        """Record a probe timeout; return whether it counts as a failure of the server."""
        server.timed_out_process = server.entry.started_at
        return self.answers_while_busy >= ANSWERS_PER_FALSE_TIMEOUT * self.false_timeouts

    def confirm_alive(self, server: Server) -> None:
        """Record activity of a server."""
        self.false_timeouts += server.timed_out_process == server.entry.started_at
        server.timed_out_process = None

    def record_answer(self, server: Server) -> None:
        """Record the answer to a probe, which was sent after any request that is still waiting."""
        self.confirm_alive(server)
        oldest_waiting = server.oldest_waiting
        self.answers_while_busy += (
            oldest_waiting is not None and oldest_waiting.sent_at < server.last_probe_at
        )
