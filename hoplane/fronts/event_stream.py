"""Finds the events in an endpoint's stream, and whether the stream is whole. No I/O."""

from __future__ import annotations

import re

from hoplane.config import MAX_BODY_BYTES

FIELD_NAMES = (b"data:", b"event:", b"id:", b"retry:", b":")  # the last one begins a comment
LONGEST_FIELD_NAME = max(map(len, FIELD_NAMES))
DATA_FIELD = FIELD_NAMES[0]
FIELD_VALUE = re.compile(rb" ?([^\r]*)")
FINAL_EVENT = b"[DONE]"  # the data of the last event of a whole stream
MAX_SLOW_EVENT_BYTES = 4 * 1024  # of an event that is waited for beyond the usual time
MAX_BLOCKS_AFTER_FINAL_EVENT = 1  # the comment with the load report


class EventStream:
    """The stream of one attempt; malformed ones are rejected.

    A wrong chunk size either leaves lines that belong to no event, or makes the stream exceed its limit, or
    ends it before its final event. Comments, blank lines and other fields are no events.
    """

    def __init__(self) -> None:
        self.pending = bytearray()  # received behind the last complete block of lines
        # In `pending`: where the incomplete line starts, and up to where its end was looked for.
        self.line_start = self.searched = 0
        self.received = 0
        self.event_count = 0  # complete events with data
        self.block_events = 0  # in the block of lines that is not complete
        self.blocks_since_event = 0  # complete ones that hold no event
        self.final_event_seen = self.block_is_final = False

    @property
    def partial_bytes(self) -> int:
        """The bytes of an incomplete event, comment or other field."""
        return len(self.pending)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not complete yet."""
        begun = self.pending[self.line_start : self.line_start + len(DATA_FIELD)]
        return self.block_events > 0 or (len(begun) > 0 and DATA_FIELD.startswith(begun))

    @property
    def is_advancing(self) -> bool:
        """Whether all that came since the last event belongs to the next one, or to the stream's end."""
        if len(self.pending) > MAX_SLOW_EVENT_BYTES:
            return False
        if self.final_event_seen:
            return self.blocks_since_event + bool(self.pending) <= MAX_BLOCKS_AFTER_FINAL_EVENT
        return self.has_partial_event or not (self.pending or self.blocks_since_event)

    def push(self, data: bytes) -> bytes:
        """Take a piece of the stream and return the complete events that may be sent now.

        Raises ValueError if the stream is malformed."""
        self.received += len(data)
        if self.received > MAX_BODY_BYTES:
            raise ValueError("the stream exceeds 256 KiB")
        self.pending += data
        block_end = 0
        while (line_end := self.pending.find(b"\n", self.searched)) >= 0:
            line = bytes(self.pending[self.line_start : line_end])
            self.line_start = self.searched = line_end + 1
            if self.take_line(line):
                block_end = self.line_start
        self.searched = len(self.pending)
        self.check_begun_line()
        return self.remove(block_end)

    def remove(self, size: int) -> bytes:
        """Remove bytes that are passed on, and return them."""
        complete = bytes(self.pending[:size])
        del self.pending[:size]
        self.line_start -= size
        self.searched -= size
        return complete

    def flush(self, has_framing: bool) -> bytes:
        """Return the rest at the stream's end; its last line may lack the empty line that ends an event.

        `has_framing`: HTTP shows that the stream has ended. Raises ConnectionError if it does not, and
        ValueError if the stream is malformed or ends before its final event."""
        if not has_framing:
            raise ConnectionError("the stream's end is not framed")
        if last_line := bytes(self.pending[self.line_start :]):
            self.take_line(last_line)
        self.end_block()
        self.line_start = self.searched = len(self.pending)
        if not self.final_event_seen:
            raise ValueError("the stream ended before its final event")
        return self.remove(len(self.pending))

    def take_line(self, line: bytes) -> bool:
        """Take a complete line without its end; return whether it is empty, which ends a block of lines."""
        line = line.removesuffix(b"\r")
        if not line:
            self.end_block()
            return True
        if not line.startswith(FIELD_NAMES):
            raise ValueError("malformed event")
        if line.startswith(DATA_FIELD):
            self.take_data(FIELD_VALUE.match(line, len(DATA_FIELD))[1].rstrip())
        return False

    def take_data(self, value: bytes) -> None:
        """Count a line with data that is not empty, and check that none follows the final event."""
        if not value:
            return
        if self.final_event_seen or self.block_is_final:
            raise ValueError("an event after the final one")
        self.block_events += 1
        self.block_is_final = value == FINAL_EVENT

    def end_block(self) -> None:
        """Count the events of a block of lines that is complete."""
        self.event_count += self.block_events
        self.blocks_since_event = 0 if self.block_events else self.blocks_since_event + 1
        self.final_event_seen = self.final_event_seen or self.block_is_final
        self.block_events, self.block_is_final = 0, False

    def check_begun_line(self) -> None:
        """Raise ValueError if the incomplete line cannot become a sound one."""
        begun = bytes(self.pending[self.line_start : self.line_start + LONGEST_FIELD_NAME])
        may_be_blank = begun in (b"", b"\r")
        may_be_field = begun.startswith(FIELD_NAMES) or any(name.startswith(begun) for name in FIELD_NAMES)
        if not (may_be_blank or may_be_field):
            raise ValueError("malformed event")
