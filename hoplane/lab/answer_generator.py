"""Generates answers of endpoints, sound and unsound ones, with what the protocol asks of a conductor. No I/O.

Source of what is sound: RFC 9112, section 7.1, for the framing; the platform's protocol page for the rest: a
stream of events to its last chunk, with a body of at most 256 KiB.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

MAX_BODY_BYTES = 256 * 1024
FALSE_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"unsound"}}]}\n\n'  # behind an unsound byte
LAST_CHUNK = b"0\r\n\r\n"
MAX_CHUNKS = 12  # that the data of one answer is cut into
MAX_PIECES = 2000  # that one answer is written in


class Defect(Enum):
    """What is wrong with an answer."""

    NONE = "none"
    HUGE_CHUNK = "a chunk of gigabytes"
    CHUNK_OVER_LIMIT = "a chunk over what the body has left"
    MANY_ZEROS = "a size of too many zeros"
    MALFORMED_SIZE = "a size that is no number"
    LONG_SIZE_LINE = "a size line that is too long"
    CHUNK_TOO_SHORT = "a chunk that is shorter than its data"
    CHUNK_TOO_LONG = "a chunk that is longer than its data"
    EARLY_LAST_CHUNK = "the last chunk before the final event"
    EVENTS_AS_TRAILERS = "events in place of trailers"
    FOREIGN_LINE = "a line that belongs to no event"
    ENDLESS_ZEROS = "a size line that goes on with zeros"
    ENDLESS_EXTENSION = "a size line that goes on with an extension"
    ENDLESS_COMMENTS = "comments without an end"
    SILENCE = "nothing more"


# These are not disproved by any byte; a stream with one of them ends by the time without an event.
UNDECIDED = (Defect.ENDLESS_EXTENSION, Defect.ENDLESS_COMMENTS, Defect.SILENCE)


@dataclass(slots=True, frozen=True)
class Answer:
    """A body in chunks.

    `body`: all bytes, up to the end or a little beyond the unsound byte.
    `repeated`: what the endpoint goes on sending at its usual pace; empty for a sound answer.
    `events`: the data of a sound answer, or those that come before what is unsound."""

    defect: Defect
    body: bytes
    repeated: bytes
    events: bytes

    @property
    def is_sound(self) -> bool:
        """Whether the answer is whole."""
        return self.defect is Defect.NONE


@dataclass(slots=True, frozen=True)
class Pace:
    """How an answer is cut and how fast it is written: bytes of a piece, and seconds between two of them."""

    piece_bytes: int
    pause: float


def draw_pace(rng: random.Random, size: int, max_duration: float) -> Pace:
    """Draw a pace at which an answer of a size takes at most some seconds."""
    piece_bytes = max(rng.choice((1, 2, 3, 7, 20, 64, 500, 4096)), size // MAX_PIECES)
    pause = rng.choice((0.0, 0.001, 0.01, 0.05, 0.2, 0.5))
    pieces = -(-size // piece_bytes)
    if pieces * pause > max_duration:
        pause = max_duration / pieces
    return Pace(piece_bytes, pause)


def cut(rng: random.Random, data: bytes, parts: int) -> list[bytes]:
    """Cut data into parts at random places; none is empty."""
    places = sorted(rng.sample(range(1, len(data)), min(parts, len(data)) - 1)) if len(data) > 1 else []
    return [data[start:end] for start, end in zip([0, *places], [*places, len(data)], strict=True)]


def draw_size_line(rng: random.Random, size: int) -> bytes:
    """Draw one of the forms in which a chunk may state its size."""
    digits = format(size, rng.choice(("x", "X", "04x", "08X", "016x")))
    return digits.encode() + rng.choice((b"", b"", b";a", b";a=1", b';a="b c"', b" ; name=value")) + b"\r\n"


def draw_chunk(rng: random.Random, data: bytes) -> bytes:
    """Return a chunk with its size in one of the forms."""
    return draw_size_line(rng, len(data)) + data + b"\r\n"


def draw_end(rng: random.Random) -> bytes:
    """Draw a last chunk, some with an extension or trailers."""
    size = rng.choice((b"0", b"0", b"00", b"0000", b"0;last", b"0;a=1"))
    trailers = rng.choice((b"", b"", b"X-A: 1\r\n", b"X-A: 1\r\nX-Longer: some text\r\n"))
    return size + b"\r\n" + trailers + b"\r\n"


def huge_chunk(rng: random.Random, data_bytes: int) -> tuple[bytes, bytes]:
    """Return the size line of a chunk of gigabytes, or of one over the limit of a body."""
    size = rng.choice((2**31 - 1, 2**31, 2**32 + 5, 2**40, 2**62, MAX_BODY_BYTES + 1))
    return b"%x\r\n" % size, FALSE_EVENT


def chunk_over_limit(rng: random.Random, data_bytes: int) -> tuple[bytes, bytes]:
    """Return the size line of a chunk that exceeds what the body has left."""
    return b"%x\r\n" % (MAX_BODY_BYTES - data_bytes + rng.randint(1, 9)), FALSE_EVENT


def chunk_too_short(rng: random.Random, data_bytes: int) -> tuple[bytes, bytes]:
    """Return a chunk whose data go on behind its size."""
    return b"%x\r\n" % rng.randint(1, 5) + FALSE_EVENT + b"\r\n", frame(FALSE_EVENT)


def chunk_too_long(rng: random.Random, data_bytes: int) -> tuple[bytes, bytes]:
    """Return a chunk whose size covers the framing behind it."""
    comment = b": surplus\n\n"
    return b"%x\r\n" % (len(comment) + rng.choice((2, 4))) + comment + b"\r\n", frame(FALSE_EVENT)


def malformed_size(rng: random.Random, data_bytes: int) -> tuple[bytes, bytes]:
    """Return a size line without a sound size, and data behind it."""
    line = rng.choice((b"zz", b"-5", b"0x10", b"", b"5 5", b"5;\x01", b"\x80")) + b"\r\n"
    return line + FALSE_EVENT, frame(FALSE_EVENT)


def foreign_line(rng: random.Random, data_bytes: int) -> tuple[bytes, bytes]:
    """Return a sound chunk with a line that belongs to no event."""
    return frame(rng.choice((b"oops\n\n", b"dat: 1\n\n", b"{}\n\n", b"5a\r\n"))), frame(FALSE_EVENT)


def frame(data: bytes) -> bytes:
    """Return a chunk in its usual form."""
    return b"%x\r\n" % len(data) + data + b"\r\n"


# What an endpoint sends at the place of the defect, and what it repeats from then on, by the defect and the
# data before it.
DEFECTS: dict[Defect, Callable[[random.Random, int], tuple[bytes, bytes]]] = {
    Defect.HUGE_CHUNK: huge_chunk,
    Defect.CHUNK_OVER_LIMIT: chunk_over_limit,
    Defect.MANY_ZEROS: lambda rng, data_bytes: (b"0" * 17, b"0"),
    Defect.MALFORMED_SIZE: malformed_size,
    Defect.LONG_SIZE_LINE: lambda rng, data_bytes: (b"5;" + b"x" * 5000, b"x"),
    Defect.CHUNK_TOO_SHORT: chunk_too_short,
    Defect.CHUNK_TOO_LONG: chunk_too_long,
    Defect.EARLY_LAST_CHUNK: lambda rng, data_bytes: (LAST_CHUNK, b""),
    Defect.EVENTS_AS_TRAILERS: lambda rng, data_bytes: (b"0\r\n", FALSE_EVENT.strip() + b"\r\n"),
    Defect.FOREIGN_LINE: foreign_line,
    Defect.ENDLESS_ZEROS: lambda rng, data_bytes: (b"", b"0"),
    Defect.ENDLESS_EXTENSION: lambda rng, data_bytes: (b"5;", b"x"),
    Defect.ENDLESS_COMMENTS: lambda rng, data_bytes: (b"", frame(b": ping\n\n")),
    Defect.SILENCE: lambda rng, data_bytes: (b"", b""),
}


def generate(rng: random.Random, events: Sequence[bytes], defect: Defect) -> Answer:
    """Generate an answer with these events, the last of which ends a whole stream.

    A defect comes before the final event, at the end of a random chunk."""
    if defect is Defect.NONE:
        data = b"".join(events)
        chunks = [draw_chunk(rng, part) for part in cut(rng, data, rng.randint(1, MAX_CHUNKS))]
        return Answer(defect, b"".join(chunks) + draw_end(rng), b"", data)
    data = b"".join(events[: rng.randint(1, len(events) - 1)])
    chunks = [draw_chunk(rng, part) for part in cut(rng, data, rng.randint(1, MAX_CHUNKS))]
    unsound, repeated = DEFECTS[defect](rng, len(data))
    return Answer(defect, b"".join(chunks) + unsound, repeated, data)


def draw_defect(rng: random.Random, sound_share: float = 0.5) -> Defect:
    """Draw whether an answer is sound, and if it is not, what is wrong with it."""
    return Defect.NONE if rng.random() < sound_share else rng.choice(list(DEFECTS))
