"""Lets the processes of an upgrade agree on which of them accepts an id that must not run twice.

Each process appends a record to a file in `$TMPDIR` before it accepts such an id; the first record of an id
counts, in the order of the file, which is the same for all processes. There is a file for each span of time,
so that old ids are dropped with their file. A record of a process that was killed stays: its id may have run.
"""

from __future__ import annotations

import os
import time
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from pathlib import Path

from hoplane.core.idempotency import key_digest

FILE_PREFIX = "hoplane-ids-"
READ_BYTES = 64 * 1024  # read from a file at once


class RecordKind(Enum):
    """What a record says about an id; the values are the file format, which other releases read."""

    CLAIM = "claim"
    RELEASE = "release"  # the id certainly never ran here


@dataclass(slots=True)
class Segment:
    """The records of one span of time: the file, what was read of it, and the ids of other processes.

    `claimed_by`: by digest, the process that has claimed an id first, without those of this process."""

    descriptor: int
    offset: int = 0
    partial_line: bytes = b""
    claimed_by: dict[str, int] = field(default_factory=dict)


class SharedIds:
    """The ids that this process and others in the same folder have accepted, for at least `retention`."""

    def __init__(self, directory: Path, retention: timedelta) -> None:
        self.directory, self.retention = directory, retention
        self.pid = os.getpid()
        self.segments: dict[int, Segment] = {}  # by the number of the span of time

    def claim(self, key: str) -> bool:
        """Accept an id; return False if another process has accepted it and it may have run there.

        Raises OSError if the record cannot be written or the others' cannot be read."""
        digest = key_digest(key).hex()
        current = self.open_segments()
        self.append(self.segments[current], RecordKind.CLAIM, digest)
        held = [self.is_held(segment, digest, number == current) for number, segment in self.segments.items()]
        accepted = not any(held)
        if not accepted:
            self.append(self.segments[current], RecordKind.RELEASE, digest)
        return accepted

    def release(self, key: str) -> None:
        """Give an id up that certainly never ran here, so that any process may accept it."""
        with suppress(OSError):
            self.append(self.segments[self.open_segments()], RecordKind.RELEASE, key_digest(key).hex())

    def close(self) -> None:
        """Close the files; the records stay for the other processes."""
        for segment in self.segments.values():
            os.close(segment.descriptor)
        self.segments.clear()

    def open_segments(self) -> int:
        """Open the files of this span, the one before and the one after; return the number of this span.

        Another process may be a moment ahead or behind. Older files are removed."""
        current = int(time.monotonic() / self.retention.total_seconds())
        if current not in self.segments or current - 2 in self.segments:
            for number in [each for each in self.segments if each < current - 1]:
                os.close(self.segments.pop(number).descriptor)
                with suppress(OSError):
                    self.path(number).unlink()
            for number in (current - 1, current, current + 1):
                if number not in self.segments:
                    flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
                    self.segments[number] = Segment(os.open(self.path(number), flags, 0o600))
        return current

    def path(self, number: int) -> Path:
        """Return the file of a span of time."""
        return self.directory / f"{FILE_PREFIX}{number}"

    def append(self, segment: Segment, kind: RecordKind, digest: str) -> None:
        """Append a record. It begins a line of its own, as a process may have been killed within a record."""
        record = f"\n{kind.value} {digest} {self.pid}\n".encode()
        if os.write(segment.descriptor, record) != len(record):
            raise OSError("the record of an id was written in part")

    def is_held(self, segment: Segment, digest: str, claimed_here: bool) -> bool:
        """Read on to the end of a file; return whether another process holds an id there.

        `claimed_here`: this process has just claimed the id in this file; only records before that count."""
        held_before_claim = False
        for line in self.read_lines(segment):
            words = line.split()
            if len(words) != 3 or not words[2].isdigit():
                continue  # empty, or a record that was cut off
            kind, recorded, pid = words[0].decode(), words[1].decode(), int(words[2])
            if pid == self.pid:
                if kind == RecordKind.CLAIM.value and recorded == digest:
                    held_before_claim = digest in segment.claimed_by
            elif kind == RecordKind.CLAIM.value:
                segment.claimed_by.setdefault(recorded, pid)
            elif segment.claimed_by.get(recorded) == pid:
                del segment.claimed_by[recorded]
        return held_before_claim if claimed_here else digest in segment.claimed_by

    def read_lines(self, segment: Segment) -> list[bytes]:
        """Return the complete lines that were added to a file since the last call."""
        data = segment.partial_line
        while piece := os.pread(segment.descriptor, READ_BYTES, segment.offset):
            segment.offset += len(piece)
            data += piece
        *lines, segment.partial_line = data.split(b"\n")
        return lines
