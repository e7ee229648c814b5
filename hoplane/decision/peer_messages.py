"""The binary format of the messages between routers. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from zlib import crc32

VERSION, BODY_FORMAT, CHECKSUM_FORMAT = 1, Struct(">BBIH"), Struct(">H")


class Symptom(IntEnum):
    """A fault that a router has observed at a server."""

    DOWN = 1  # it refused the connection or broke it
    FULL = 3  # for a tenant and class


@dataclass(slots=True, frozen=True)
class PeerReport:
    """A report of a symptom at a server; tenant and class are given by their index in the settings."""

    symptom: Symptom
    server: int
    tenant_class_index: int = 0

    def pack(self) -> bytes:
        """Encode the report with a checksum."""
        body = BODY_FORMAT.pack(VERSION, self.symptom, self.server, self.tenant_class_index)
        return body + CHECKSUM_FORMAT.pack(crc32(body) & 0xFFFF)

    @classmethod
    def parse(cls, data: bytes) -> PeerReport | None:
        """Decode a report; return None if it is truncated, corrupt or of another version."""
        body, checksum = data[: BODY_FORMAT.size], data[BODY_FORMAT.size :]
        if (
            len(data) != BODY_FORMAT.size + CHECKSUM_FORMAT.size
            or CHECKSUM_FORMAT.pack(crc32(body) & 0xFFFF) != checksum
        ):
            return None
        version, symptom, server, tenant_class_index = BODY_FORMAT.unpack(body)
        known = version == VERSION and symptom in set(Symptom)
        return cls(Symptom(symptom), server, tenant_class_index) if known else None
