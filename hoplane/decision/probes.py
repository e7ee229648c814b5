"""Learns whether a probe timeout means a dead or a busy server, which depends on the deployment. No I/O."""

from __future__ import annotations

from .state import Server

# Answers sent ahead of the queue that are needed per false timeout for timeouts to count as failures.
ANSWERS_PER_FALSE_TIMEOUT = 20


class ProbeReliability:
    """Learns whether a probe timeout means a dead server or a busy one.

    Some servers answer probes ahead of their queue, so that a timeout means failure. Others answer in queue
    order: a timeout then means that the queue is longer than the probe's timeout. Ejecting such a server and
    cancelling its attempts wastes reads: it would have finished them, or finishes them unused where a
    cancellation does not stop work in progress.

    A timeout was false if the same server process shows activity later. Timeouts are ignored while there is
    more than one false timeout per ANSWERS_PER_FALSE_TIMEOUT answers that came while an older request was
    waiting.
    """

    def __init__(self) -> None:
        self.answers_while_busy = 0  # answers to probes while an older request of ours still waited
        self.false_timeouts = 0  # timeouts of servers that turned out to be alive

    def record_timeout(self, server: Server) -> bool:
        """Record a probe timeout; return whether it counts as a failure of the server."""
        server.timed_out_process = server.entry.started_at
        return self.answers_while_busy >= ANSWERS_PER_FALSE_TIMEOUT * self.false_timeouts

    def confirm_alive(self, server: Server) -> None:
        """Record that a server is alive.

        Its last probe timeout is counted as false if the same process is still running.
        """
        self.false_timeouts += server.timed_out_process == server.entry.started_at
        server.timed_out_process = None

    def record_answer(self, server: Server) -> None:
        """Record the answer to a probe, which was sent after any request that is still waiting."""
        self.confirm_alive(server)
        oldest_waiting = server.oldest_waiting
        self.answers_while_busy += (
            oldest_waiting is not None and oldest_waiting.sent_at < server.last_probe_at
        )
