"""Request bodies that are too large for memory: they are spooled to a file until their last byte is received.

The request's latency is measured from that point, so the server is selected then, and the spooled body can be resent as
often as the retry rules allow.  docs/design/operations.md compares the alternatives.

The file counts as memory, so its size is bounded by the memory budget.  When it is full, the body that began last is
refused, so that the others can be completed.
"""

from __future__ import annotations

import contextlib
import heapq
import os
from collections.abc import Callable, Iterator
from typing import Final

from topazbank.core.memory_budget import MemoryAccount, MemoryBudget, MemoryShare

CHUNK_BYTES: Final = 64 * 1024  # size of a spooled chunk, and the limit of a body in memory
_FILE_MODE: Final = 0o600
BODY_BYTES_MAX: Final = 32 * 1024 * 1024  # size of one body; set by the platform


class SpoolFull(Exception):
    """A chunk cannot be stored: the memory budget is used up, or the disk is full."""


def _ignore_refusal(error: SpoolFull) -> None:
    pass


class Spool:
    """One unnamed file for all bodies; it needs one descriptor, reuses its chunks and is deleted with the process."""

    def __init__(self, folder: str | None, budget: MemoryBudget) -> None:
        """`folder`: where the file is created on first use; None: the system's folder for temporary files."""
        self._folder = folder
        self._budget = budget
        self._account = MemoryAccount(budget)
        self._fd: int | None = None
        self._free: list[int] = []  # a heap of the numbers of free chunks
        self._chunks = 0  # number of chunks in the file, including free ones
        self._incomplete: dict[BodyBuffer, None] = {}  # bodies with chunks, in the order in which they began

    @property
    def used_bytes(self) -> int:
        """The total size of the chunks in use."""
        return (self._chunks - len(self._free)) * CHUNK_BYTES

    def write(self, data: bytes, owner: BodyBuffer) -> int:
        """Store a chunk of at most CHUNK_BYTES and return its number.  Raises SpoolFull if it cannot be stored."""
        self._incomplete.setdefault(owner)
        while not self._free and not self._budget.has_room(CHUNK_BYTES, MemoryShare.LARGE_BODY):
            self._refuse_last(owner)
        number = heapq.heappop(self._free) if self._free else self._chunks
        self._resize(max(self._chunks, number + 1))
        try:
            if self._fd is None:
                self._fd = _unnamed_file(self._folder)
            written = os.pwrite(self._fd, data, number * CHUNK_BYTES)
        except OSError as error:
            self.free([number])
            raise SpoolFull(f"spool file cannot be written: {error.strerror}") from error
        if written != len(data):
            self.free([number])
            raise SpoolFull(f"spool file stored {written} of {len(data)} bytes")
        return number

    def _refuse_last(self, owner: BodyBuffer) -> None:
        """Refuse the incomplete body that began last; raise SpoolFull if that is the owner's."""
        error = SpoolFull(f"large request bodies exceed the memory limit, {self.used_bytes} bytes in use")
        last = next(reversed(self._incomplete))
        if last is owner:
            raise error
        last.refuse(error)

    def read(self, number: int, length: int) -> bytes:
        """Return the first `length` bytes of a chunk."""
        assert self._fd is not None
        return os.pread(self._fd, length, number * CHUNK_BYTES)

    def body_ended(self, owner: BodyBuffer) -> None:
        """Record that a body is complete or discarded, so that it is no longer refused."""
        self._incomplete.pop(owner, None)

    def free(self, numbers: list[int]) -> None:
        """Free chunks; those at the end of the file are given back, since they count as memory."""
        for number in numbers:
            heapq.heappush(self._free, number)
        free = set(self._free)
        chunks = self._chunks
        while chunks - 1 in free:
            chunks -= 1
        if chunks < self._chunks and self._fd is not None:
            os.ftruncate(self._fd, chunks * CHUNK_BYTES)
        self._free = sorted(number for number in free if number < chunks)
        self._resize(chunks)

    def _resize(self, chunks: int) -> None:
        self._chunks = chunks
        self._account.set(chunks * CHUNK_BYTES)

    def close(self) -> None:
        """Close the file, which also deletes it."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def _unnamed_file(folder: str | None) -> int:
    """Create a file that is deleted when it is closed; return its descriptor."""
    if folder is not None:
        with contextlib.suppress(OSError):  # not every file system has files without a name
            return os.open(folder, os.O_RDWR | os.O_TMPFILE | os.O_CLOEXEC, _FILE_MODE)
    import tempfile  # takes much memory, and is rarely used

    with tempfile.TemporaryFile(dir=folder, buffering=0) as file:
        return os.dup(file.fileno())


class SpooledBody:
    """A completely spooled body."""

    def __init__(self, spool: Spool, chunks: list[int], length: int) -> None:
        self._spool = spool
        self._chunks = chunks
        self.length = length  # bytes

    def chunks(self) -> Iterator[bytes]:
        """Yield the whole body in chunks; each iterator reads it again."""
        remaining = self.length
        for number in self._chunks:
            yield self._spool.read(number, min(remaining, CHUNK_BYTES))
            remaining -= CHUNK_BYTES

    def release(self) -> None:
        """Free the chunks once nothing reads the body any more."""
        chunks, self._chunks = self._chunks, []
        if chunks:
            self._spool.free(chunks)


class BodyBuffer:
    """Collects a request body while it is received: in memory up to CHUNK_BYTES, spooled beyond that."""

    def __init__(self, spool: Spool, on_refused: Callable[[SpoolFull], None] = _ignore_refusal) -> None:
        """`on_refused`: called if the body is refused while it is incomplete, to make room for an earlier one."""
        self._spool = spool
        self._on_refused = on_refused
        self._tail = bytearray()  # at most CHUNK_BYTES, plus the data of one read
        self._chunks: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        """Number of bytes received."""
        return self._length

    @property
    def memory_bytes(self) -> int:
        """Number of bytes that are not spooled."""
        return len(self._tail)

    def append(self, data: bytes) -> None:
        """Add received data.  Raises SpoolFull if it cannot be stored."""
        self._tail += data
        self._length += len(data)
        while len(self._tail) > CHUNK_BYTES:
            self._spool_chunk(bytes(self._tail[:CHUNK_BYTES]))
            del self._tail[:CHUNK_BYTES]

    def _spool_chunk(self, data: bytes) -> None:
        self._chunks.append(self._spool.write(data, self))

    def finish(self) -> bytes | SpooledBody:
        """Return the complete body and reset the buffer.  Raises SpoolFull if the last chunk cannot be stored."""
        if not self._chunks:
            body: bytes | SpooledBody = bytes(self._tail)
        else:
            self._spool_chunk(bytes(self._tail))
            body = SpooledBody(self._spool, self._chunks, self._length)
            self._spool.body_ended(self)
        self._tail, self._chunks, self._length = bytearray(), [], 0
        return body

    def discard(self) -> None:
        """Drop the received data, because the rest of the body will not be received."""
        chunks, self._chunks = self._chunks, []
        self._spool.body_ended(self)
        if chunks:
            self._spool.free(chunks)
        self._tail, self._length = bytearray(), 0

    def refuse(self, error: SpoolFull) -> None:
        """Drop the received data to make room, and tell the owner."""
        self.discard()
        self._on_refused(error)
