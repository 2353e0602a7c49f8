"""The memory that this process takes, as the operating system counts it."""

from __future__ import annotations

import contextlib
import gc
import os
import resource
from pathlib import Path
from typing import Final

from topazbank.core.memory_budget import MemoryBudget

_STATM: Final = Path("/proc/self/statm")
_RESIDENT_FIELD: Final = 1  # of statm, in pages
_BYTES_PER_KIB: Final = 1024
_CLOSED_MAX: Final = 256  # closed connections between two full collections
_BUDGET_BYTES_PER_CLOSED: Final = 32 * 1024  # fewer with a small budget: each takes a few kilobytes


def resident_bytes() -> int:
    """Return the resident size of this process; the largest so far where the system doesn't tell the present one."""
    try:
        return int(_STATM.read_text().split()[_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB


class ClosedConnections:
    """Frees the transports of closed connections: each refers to itself, so it stays until a full collection."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._count = 0

    def closed(self) -> None:
        """Record that a connection was closed."""
        self._count += 1
        if self._count >= self._closed_max():
            self._count = 0
            gc.collect()

    def _closed_max(self) -> int:
        return min(max(self._budget.limit_bytes // _BUDGET_BYTES_PER_CLOSED, 1), _CLOSED_MAX)


def release_free_memory() -> None:
    """Return free memory of the heap to the operating system, where the C library can do that."""
    import ctypes  # takes much memory, and is rarely used

    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).malloc_trim(0)
