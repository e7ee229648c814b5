"""Which failures of system calls pass with time, so that the call is made again. No I/O."""

from __future__ import annotations

import errno

# The system is out of descriptors, buffers or memory.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# A connection could not be made by no fault of its endpoint: no local port, no route, no permission.
OWN_MACHINE = EXHAUSTED | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES}
# A file may be readable a moment later.
UNREADABLE = EXHAUSTED | {errno.EIO, errno.EINTR, errno.EAGAIN, errno.ESTALE}
