"""When a connection's input was sent, as far as the system shows it."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from hoplane.net.socket_state import peek_unread, time_since_last_received


class ArrivalClock:
    """The earliest time at which the peer can have sent all that was read, on the event loop's clock.

    A busy event loop reads a large message in many pieces, while its rest waits in the system's buffers. What
    is read without these having been empty meanwhile may all have been sent with the first piece.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.drained = True  # nothing was left unread after the last read
        self.sent_at = loop.time()

    def note_read(self, transport: asyncio.BaseTransport | None) -> None:
        """Record that a piece of input was read just now."""
        if self.drained:
            self.sent_at = self.loop.time() - time_since_last_received(transport).total_seconds()
        self.drained = peek_unread(transport) is None

    @property
    def elapsed(self) -> timedelta:
        """The time since the input was sent."""
        return timedelta(seconds=max(0.0, self.loop.time() - self.sent_at))
