"""What routers tell each other, in few bytes. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from zlib import crc32

VERSION, FORM, CHECK = 1, Struct(">BBIH"), Struct(">H")


class Symptom(IntEnum):
    """What a router has met at a server."""

    DOWN = 1  # it refused the connection or broke it
    FULL = 3  # for a tenant and class


@dataclass(slots=True, frozen=True)
class Word:
    """What routers tell each other of a server; tenant and class by their place in the settings."""

    symptom: Symptom
    server: int
    pair: int = 0

    def pack(self) -> bytes:
        """Write it down with a check."""
        body = FORM.pack(VERSION, self.symptom, self.server, self.pair)
        return body + CHECK.pack(crc32(body) & 0xFFFF)

    @classmethod
    def read(cls, data: bytes) -> Word | None:
        """Give the word, or None where it was cut short, comes from another version or is noise."""
        body, check = data[: FORM.size], data[FORM.size :]
        if len(data) != FORM.size + CHECK.size or CHECK.pack(crc32(body) & 0xFFFF) != check:
            return None
        version, symptom, server, pair = FORM.unpack(body)
        known = version == VERSION and symptom in set(Symptom)
        return cls(Symptom(symptom), server, pair) if known else None
