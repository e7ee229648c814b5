"""Shares the event loop's time between the input of many client connections."""

from __future__ import annotations

import asyncio
from collections import deque
from datetime import timedelta
from typing import Protocol

# For the input of all connections in a pass of the loop, which many clients may fill at once.
PARSE_TIME_PER_PASS = timedelta(milliseconds=5)


class ParsingConnection(Protocol):
    """A connection whose input may have to wait until it is parsed."""

    @property
    def reads_chunked_body(self) -> bool:
        """Whether the rest of a body that comes in chunks is next."""
        ...

    def take_turn(self) -> None:
        """Parse the input that has waited, and read on."""
        ...


class ParseTurns:
    """Lets connections parse their input in turn, as far as it does not fit a pass of the loop.

    Chunks of a body wait behind all other input, as they may be as small as a byte."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[ParsingConnection] = deque()
        self.waiting_with_chunks: deque[ParsingConnection] = deque()
        # Whether turns are scheduled, and the present pass of the loop with the end of its parsing.
        self.scheduled = self.in_pass = False
        self.pass_ends_at = 0.0

    def has_time(self) -> bool:
        """Return whether input may be parsed in this pass of the loop; it begins with the first question."""
        if not self.in_pass:
            self.in_pass, self.pass_ends_at = True, self.loop.time() + PARSE_TIME_PER_PASS.total_seconds()
            self.loop.call_soon(self.end_pass)
        return not self.waiting and self.loop.time() < self.pass_ends_at

    def end_pass(self) -> None:
        self.in_pass = False

    def request(self, connection: ParsingConnection) -> None:
        """Let a connection parse its input once those before it have had their turn."""
        queue = self.waiting_with_chunks if connection.reads_chunked_body else self.waiting
        queue.append(connection)
        self.schedule()

    def schedule(self) -> None:
        """Give turns in the next pass of the loop, if any connection waits."""
        if not self.scheduled and (self.waiting or self.waiting_with_chunks):
            self.scheduled = True
            self.loop.call_soon(self.give)

    def give(self) -> None:
        """Let connections parse their input for a while, chunks last; then the loop goes on."""
        self.scheduled = False
        until = self.loop.time() + PARSE_TIME_PER_PASS.total_seconds()
        try:
            while self.waiting and self.loop.time() < until:
                self.waiting.popleft().take_turn()
            if self.waiting_with_chunks:
                self.waiting_with_chunks.popleft().take_turn()
        finally:
            self.schedule()
