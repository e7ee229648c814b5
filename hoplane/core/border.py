"""The one place where spans of the program become the decision module's integer nanoseconds and back."""

from __future__ import annotations

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)


def to_ns(span: timedelta) -> int:
    """Give a span or clock time as integer nanoseconds."""
    return span // MICROSECOND * 1000


def to_span(ns: int) -> timedelta:
    """Give integer nanoseconds as a span, rounded up so that a timer never fires early."""
    return timedelta(microseconds=-(-ns // 1000))
