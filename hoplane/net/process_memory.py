"""Reads how much memory this process has used at most."""

from __future__ import annotations

from pathlib import Path

STATUS_FILE = Path("/proc/self/status")
PEAK_FIELD = "VmHWM:"  # in KiB; unlike `ru_maxrss` it starts anew with the program


def peak_memory_mb() -> int | None:
    """Return the peak of this process's resident memory in MiB, or None if the system does not tell."""
    try:
        lines = STATUS_FILE.read_text().splitlines()
    except OSError:
        return None
    return next((int(line.split()[1]) // 1024 for line in lines if line.startswith(PEAK_FIELD)), None)
