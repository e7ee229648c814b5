"""Error numbers of system calls that fail only temporarily, so that the call is retried. No I/O."""

from __future__ import annotations

import errno

# The system is out of file descriptors, buffers or memory.
RESOURCE_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# A connect failed for a local reason (no free port, no route, no permission), not because of its endpoint.
LOCAL_FAILURES = RESOURCE_EXHAUSTED | {
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EPERM,
    errno.EACCES,
}
# Reading a file failed, and may succeed a moment later.
TRANSIENT_READ_FAILURES = RESOURCE_EXHAUSTED | {errno.EIO, errno.EINTR, errno.EAGAIN, errno.ESTALE}
