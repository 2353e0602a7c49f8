"""Bodies too large for memory: requests' are spooled to a file, responses' pass through as they come.

A request's body is spooled until its last byte has come: its time counts from there, so that is when a server is
selected, and it can be sent again as often as the rules allow.  A response's first bytes are what counts, so it is
forwarded as it comes; a client that reads slowly slows its server down (docs/design/operations.md weighs both).
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Iterator
from typing import Final, Protocol

CHUNK_BYTES: Final = 64 * 1024  # of a spooled chunk, and the most of a body that is held in memory
# Of all spooled bodies together.
SPOOL_BYTES_MAX: Final = 2 * 1024 * 1024 * 1024
BODY_BYTES_MAX: Final = 32 * 1024 * 1024  # of one body; set by the platform


class SpoolFull(Exception):
    """The spool has reached its bound, or its disk is full."""


class Spool:
    """One unnamed file for all bodies: one descriptor, chunks that are used again, deleted with the process."""

    def __init__(self, folder: str | None, bytes_max: int = SPOOL_BYTES_MAX) -> None:
        """`folder`: of the file, made once it is needed; None: the system's folder of temporary files."""
        self._folder = folder
        self._chunks_max = bytes_max // CHUNK_BYTES
        self._fd: int | None = None
        self._free: list[int] = []  # chunk numbers
        self._allocated = 0  # chunks in the file, free ones included

    @property
    def used_bytes(self) -> int:
        """Bytes in chunks that are in use."""
        return (self._allocated - len(self._free)) * CHUNK_BYTES

    def write(self, data: bytes) -> int:
        """Store a chunk of at most CHUNK_BYTES; return its number.  Raise SpoolFull where that is not possible."""
        if not self._free and self._allocated >= self._chunks_max:
            raise SpoolFull("too many large bodies at once")
        number = self._free.pop() if self._free else self._allocated
        self._allocated = max(self._allocated, number + 1)
        try:
            if self._fd is None:
                self._fd = _unnamed_file(self._folder)
            written = os.pwrite(self._fd, data, number * CHUNK_BYTES)
        except OSError as error:
            self._free.append(number)
            raise SpoolFull(f"the spool can't be written: {error.strerror}") from error
        if written != len(data):
            self._free.append(number)
            raise SpoolFull("the spool's disk is full")
        return number

    def read(self, number: int, length: int) -> bytes:
        """The first `length` bytes of a chunk."""
        assert self._fd is not None
        return os.pread(self._fd, length, number * CHUNK_BYTES)

    def free(self, numbers: list[int]) -> None:
        """Free chunks.  With none in use the file is emptied: others need the disk too."""
        self._free += numbers
        if len(self._free) == self._allocated and self._fd is not None:
            self._free, self._allocated = [], 0
            os.ftruncate(self._fd, 0)

    def close(self) -> None:
        """Delete the file."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def _unnamed_file(folder: str | None) -> int:
    with tempfile.TemporaryFile(dir=folder, buffering=0) as file:
        return os.dup(file.fileno())


class SpooledBody:
    """A body that was spooled completely."""

    def __init__(self, spool: Spool, chunks: list[int], length: int) -> None:
        self._spool = spool
        self._chunks = chunks
        self.length = length  # bytes

    def chunks(self) -> Iterator[bytes]:
        """All of it, read anew by each iterator."""
        remaining = self.length
        for number in self._chunks:
            yield self._spool.read(number, min(remaining, CHUNK_BYTES))
            remaining -= CHUNK_BYTES

    def release(self) -> None:
        """Free its chunks: nothing reads it any more."""
        chunks, self._chunks = self._chunks, []
        self._spool.free(chunks)


class BodyBuffer:
    """A request's body as it comes: in memory while it is small, spooled beyond."""

    def __init__(self, spool: Spool) -> None:
        self._spool = spool
        self._tail = bytearray()  # at most CHUNK_BYTES, and what one read brings
        self._chunks: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        """Bytes that have come."""
        return self._length

    def append(self, data: bytes) -> None:
        """Add what came next; raise SpoolFull where it can't be stored."""
        self._tail += data
        self._length += len(data)
        while len(self._tail) > CHUNK_BYTES:
            self._chunks.append(self._spool.write(bytes(self._tail[:CHUNK_BYTES])))
            del self._tail[:CHUNK_BYTES]

    def finish(self) -> bytes | SpooledBody:
        """Return the complete body, and begin anew; raise SpoolFull where its end can't be stored."""
        if not self._chunks:
            body: bytes | SpooledBody = bytes(self._tail)
        else:
            self._chunks.append(self._spool.write(bytes(self._tail)))
            body = SpooledBody(self._spool, self._chunks, self._length)
        self._tail, self._chunks, self._length = bytearray(), [], 0
        return body

    def discard(self) -> None:
        """Drop what has come: the rest never will."""
        chunks, self._chunks = self._chunks, []
        if chunks:
            self._spool.free(chunks)
        self._tail, self._length = bytearray(), 0


class StreamReceiver(Protocol):
    """Forwards a streamed response to its client."""

    def stream_data(self, data: bytes) -> None:
        """Forward what came next."""

    def stream_ended(self, complete: bool) -> None:
        """Nothing more comes; if it is not `complete` the client must be able to tell."""


class ResponseStream:
    """A response that has begun and is forwarded as it comes; it ends once."""

    def __init__(
        self,
        length: int | None,
        first_data: bytes,
        pause: Callable[[bool], None],
        abort: Callable[[], None],
    ) -> None:
        """`length`: of the body, if its head says; `pause(True)` stops its server, `pause(False)` lets it go on."""
        self.length = length  # bytes
        self.first_data = first_data
        self.pause = pause
        self._abort = abort
        self.receiver: StreamReceiver | None = None
        self.is_aborted = False  # whether its client has disconnected

    def abort(self) -> None:
        """End it at its server: its client has disconnected."""
        self.receiver = None
        self.is_aborted = True
        self._abort()

    def feed(self, data: bytes) -> None:
        """Forward what came next."""
        if self.receiver is not None:
            self.receiver.stream_data(data)

    def finish(self, complete: bool) -> None:
        """End it at its client; `complete`: not cut short."""
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.stream_ended(complete)
