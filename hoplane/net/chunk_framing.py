"""Checks the framing of a chunked body byte by byte, ahead of the parser that decodes it. No I/O.

The HTTP parser believes any size and waits for a size line, an extension or a trailer section without end.
Source of the grammar: RFC 9112, section 7.1.
"""

from __future__ import annotations

import re
from enum import Enum

MAX_SIZE_DIGITS = 16  # of a chunk's size, leading zeros included
MAX_SIZE_LINE_BYTES = 4 * 1024  # a chunk's size with its extensions
MAX_TRAILER_BYTES, MAX_TRAILER_FIELDS = 8 * 1024, 64
# Size lines and line ends of a whole body: so many bytes, and so many for each byte of data.
MAX_FRAMING_BYTES, FRAMING_PER_DATA_BYTE = 64 * 1024, 24
PLAIN_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,%d})\r\n" % MAX_SIZE_DIGITS)
HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]*")
AFTER_SIZE = b";\r\n \t"  # what may follow the digits of a size
BLANKS = b" \t"
# An extension may hold any text; a return comes only before the end of the line.
NO_EXTENSION = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n|$)")
LINE_END = b"\r\n"


class FramingError(ValueError):
    """A body that can never be whole, as its framing is malformed or states more than may come."""


class Part(Enum):
    """The part of a chunked body that the next byte belongs to. The values appear in the log."""

    SIZE = "a chunk's size"
    EXTENSION = "the end of a size line"
    DATA = "a chunk's data"
    DATA_END = "the end of a chunk"
    TRAILER = "the trailer section"
    END = "nothing"


class ChunkedFraming:
    """The framing of one chunked body.

    `max_body_bytes`: the most data that the body may have, or None if there is no limit.
    `data_bytes`: the data so far.
    `progress`: the bytes of framing that bring the body closer to its end: ends of lines, and the digits of a
    size from the first that is not 0 on. Leading zeros, extensions and trailers may go on without an end.
    """

    def __init__(self, max_body_bytes: int | None = None) -> None:
        self.max_body_bytes = max_body_bytes
        self.part = Part.SIZE
        self.data_bytes = self.framing_bytes = self.progress = 0
        self.size = self.size_digits = 0  # of the size line that is being read
        self.remaining = 0  # of the present chunk's data
        self.line_bytes = 0  # of the present size line or trailer line
        self.extension_begun = self.after_return = False  # of the present size line
        self.line_is_empty = True
        # Of the last data that were fed: how many bytes are the body's, and what the parser gets of them.
        self.taken_bytes = self.kept_from = 0
        self.kept: list[bytes] = []
        self.trailer_bytes = self.trailer_fields = 0

    @property
    def stated_bytes(self) -> int:
        """The data that the body has at least, by what was received and what its present chunk states."""
        return self.data_bytes + (self.remaining if self.part is Part.DATA else self.size)

    @property
    def complete(self) -> bool:
        """Whether the body has ended."""
        return self.part is Part.END

    def check_size(self) -> None:
        """Raise FramingError if the body states more data than it may have."""
        if self.max_body_bytes is not None and self.stated_bytes > self.max_body_bytes:
            raise FramingError(f"a chunk exceeds the {self.max_body_bytes} bytes that the body may have")

    def feed(self, data: bytes) -> bytes:
        """Take the next bytes, and return them as far as they belong to the body, without extensions.

        `taken_bytes` tells how many do. Raises FramingError at the first byte that no sound body has."""
        position = self.kept_from = 0
        self.kept.clear()
        while position < len(data) and not self.complete:
            position = self.STEPS[self.part](self, data, position)
        self.taken_bytes = position
        if not self.kept:
            return data[self.kept_from : position]
        return b"".join([*self.kept, data[self.kept_from : position]])

    def take_size(self, data: bytes, position: int) -> int:
        """Take digits of a chunk's size, up to what follows them; return the position behind them."""
        if not self.size_digits and (line := PLAIN_SIZE_LINE.match(data, position)):
            return self.take_plain_size_line(line)
        digits = HEX_DIGITS.match(data, position)[0]
        for digit in digits:
            self.size_digits += 1
            if self.size_digits > MAX_SIZE_DIGITS:
                raise FramingError(f"a chunk's size has over {MAX_SIZE_DIGITS} digits")
            self.size = self.size * 16 + int(chr(digit), 16)
            self.check_size()
            self.progress += self.size > 0
        position += len(digits)
        self.count_framing(len(digits))
        if position < len(data):
            if not self.size_digits or data[position] not in AFTER_SIZE:
                raise FramingError("a chunk's size is malformed")
            self.part = Part.EXTENSION
        return position

    def take_plain_size_line(self, line: re.Match[bytes]) -> int:
        """Take a whole size line without extensions, the usual form; return the position behind it."""
        self.size = int(line[1], 16)
        self.check_size()
        self.progress += bool(self.size)
        self.count_framing(line.end() - line.start())
        self.end_size_line()
        return line.end()

    def take_extension(self, data: bytes, position: int) -> int:
        """Take the rest of a size line, up to its end if it has come; the parser gets the end alone."""
        line_end = data.find(b"\n", position)
        end = len(data) if line_end < 0 else line_end + 1
        extension = data[position:end]
        self.check_extension(extension)
        self.count_framing(len(extension))
        self.kept.append(data[self.kept_from : position])
        if line_end >= 0:
            self.kept.append(LINE_END)
            self.end_size_line()
        self.kept_from = end
        return end

    def check_extension(self, extension: bytes) -> None:
        """Raise FramingError if this can be no part of a chunk's extensions and the end of their line."""
        self.line_bytes += len(extension)
        if self.line_bytes > MAX_SIZE_LINE_BYTES:
            raise FramingError(f"a size line exceeds {MAX_SIZE_LINE_BYTES} bytes")
        if (self.after_return and extension[:1] != b"\n") or NO_EXTENSION.search(extension):
            raise FramingError("a chunk's extension is malformed")
        self.after_return = extension[-1:] == b"\r"
        if not self.extension_begun and (text := extension.lstrip(BLANKS)):
            if text[:1] not in (b";", b"\r", b"\n"):
                raise FramingError("a chunk's size is malformed")
            self.extension_begun = True

    def end_size_line(self) -> None:
        """Begin the data of the chunk whose size line has ended, or the trailers if it is the last one."""
        self.progress += 1
        self.line_bytes = 0
        self.extension_begun = self.after_return = False
        self.part = Part.DATA if self.size else Part.TRAILER
        self.remaining, self.size, self.size_digits = self.size, 0, 0

    def take_data(self, data: bytes, position: int) -> int:
        """Take data of the present chunk."""
        taken = min(self.remaining, len(data) - position)
        self.remaining -= taken
        self.data_bytes += taken
        if not self.remaining:
            self.part = Part.DATA_END
        return position + taken

    def take_data_end(self, data: bytes, position: int) -> int:
        """Take the line end behind a chunk's data; the parser checks that a return comes first."""
        if not self.line_bytes and data.startswith(LINE_END, position):
            self.progress += 1
            self.count_framing(len(LINE_END))
            self.part = Part.SIZE
            return position + len(LINE_END)
        byte = data[position : position + 1]
        if byte not in (b"\r", b"\n") or (byte == b"\r" and self.line_bytes):
            raise FramingError("a chunk is longer than its size")
        self.line_bytes += 1
        self.progress += 1
        self.count_framing(1)
        if byte == b"\n":
            self.part, self.line_bytes = Part.SIZE, 0
        return position + 1

    def take_trailer(self, data: bytes, position: int) -> int:
        """Take trailers, up to the end of a line if it has come; an empty line ends the body."""
        line_end = data.find(b"\n", position)
        end = len(data) if line_end < 0 else line_end + 1
        self.line_is_empty = self.line_is_empty and not data[position:end].strip(b"\r\n")
        self.trailer_bytes += end - position
        self.progress += self.line_is_empty
        if line_end >= 0:
            self.trailer_fields += 1
            if self.line_is_empty:
                self.part = Part.END
            self.line_is_empty = True
        if self.trailer_bytes > MAX_TRAILER_BYTES or self.trailer_fields > MAX_TRAILER_FIELDS + 1:
            raise FramingError("the trailer section is too long")
        return end

    def count_framing(self, size: int) -> None:
        """Count bytes that are no data, and refuse a body that has too many of them."""
        self.framing_bytes += size
        if self.framing_bytes > MAX_FRAMING_BYTES + FRAMING_PER_DATA_BYTE * self.data_bytes:
            raise FramingError("the chunks are too small, or their size lines are too long")

    STEPS = {
        Part.SIZE: take_size,
        Part.EXTENSION: take_extension,
        Part.DATA: take_data,
        Part.DATA_END: take_data_end,
        Part.TRAILER: take_trailer,
    }
