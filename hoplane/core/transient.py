"""Which failures of system calls pass with time, so that the call is made again. No I/O."""

from __future__ import annotations

import errno

# The system is out of descriptors, buffers or memory.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# A file may be readable a moment later.
UNREADABLE = EXHAUSTED | {errno.EIO, errno.EINTR, errno.EAGAIN, errno.ESTALE}
