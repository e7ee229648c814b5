"""Converts between the core's `timedelta` values and the decision module's integer nanoseconds."""

from __future__ import annotations

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)


def to_ns(duration: timedelta) -> int:
    """Convert a duration or a clock time to integer nanoseconds."""
    return duration // MICROSECOND * 1000


def to_timedelta(ns: int) -> timedelta:
    """Convert integer nanoseconds to a timedelta, rounded up so that a timer never fires early."""
    return timedelta(microseconds=-(-ns // 1000))
