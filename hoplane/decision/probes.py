"""What a probe's answer tells at this deployment: learnt, as no setting names it. No I/O, no clock."""

from __future__ import annotations

from .state import Server

FEW = 20  # answers beside the queue that make good for one time-out at a server that was well


class Trust:
    """Learns whether a probe that times out tells a dead server from a busy one.

    Some servers answer a probe beside their queue, so silence means that they are gone. Others serve it in
    its turn: then silence is a queue longer than the probe's time-out, and to take all work away from such a
    server throws away reads that it would have done (where a cancel stops no work, it does them in vain). A
    time-out was false where the same process shows life later; time-outs count for nothing while false ones
    are more than one to FEW answers that came while an older request of ours still waited."""

    def __init__(self) -> None:
        self.beside = 0  # answers that came before an older request of ours
        self.false = 0  # time-outs at servers that were well

    def heeds(self, server: Server) -> bool:
        """Note a probe that timed out; tell whether it is to be heeded."""
        server.missed = server.entry.started_at
        return self.beside >= FEW * self.false

    def shows(self, server: Server) -> None:
        """Note a sign of life."""
        self.false += server.missed == server.entry.started_at
        server.missed = None

    def answered(self, server: Server) -> None:
        """Note a probe that was answered; it was sent after any request that still waits."""
        self.shows(server)
        oldest = server.oldest
        self.beside += oldest is not None and oldest.sent < server.probed
