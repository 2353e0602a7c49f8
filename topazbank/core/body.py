"""Bodies that are too large for memory: request bodies are spooled to a file, response bodies are streamed.

A request body is spooled until its last byte is received.  The request's latency is measured from that point, so the
server is selected then, and the spooled body can be resent as often as the retry rules allow.  For a response the first
bytes matter, so it is forwarded as it is received; a slow client thereby slows its server down
(docs/design/operations.md compares both methods).
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Iterator
from typing import Final, Protocol

CHUNK_BYTES: Final = 64 * 1024  # size of a spooled chunk, and the limit of a body in memory
# Total size of all spooled bodies.
SPOOL_BYTES_MAX: Final = 2 * 1024 * 1024 * 1024
BODY_BYTES_MAX: Final = 32 * 1024 * 1024  # size of one body; set by the platform


class SpoolFull(Exception):
    """A chunk cannot be stored: the spool has reached its size limit, or its disk is full."""


class Spool:
    """One unnamed file for all bodies; it needs one descriptor, reuses its chunks and is deleted with the process."""

    def __init__(self, folder: str | None, bytes_max: int = SPOOL_BYTES_MAX) -> None:
        """`folder`: where the file is created on first use; None: the system's folder for temporary files."""
        self._folder = folder
        self._chunks_max = bytes_max // CHUNK_BYTES
        self._fd: int | None = None
        self._free: list[int] = []  # numbers of free chunks
        self._allocated = 0  # number of chunks in the file, including free ones

    @property
    def used_bytes(self) -> int:
        """The total size of the chunks in use."""
        return (self._allocated - len(self._free)) * CHUNK_BYTES

    def write(self, data: bytes) -> int:
        """Store a chunk of at most CHUNK_BYTES and return its number.  Raises SpoolFull if it cannot be stored."""
        if not self._free and self._allocated >= self._chunks_max:
            raise SpoolFull(f"spool exceeds {self._chunks_max} chunks of {CHUNK_BYTES} bytes")
        number = self._free.pop() if self._free else self._allocated
        self._allocated = max(self._allocated, number + 1)
        try:
            if self._fd is None:
                self._fd = _unnamed_file(self._folder)
            written = os.pwrite(self._fd, data, number * CHUNK_BYTES)
        except OSError as error:
            self._free.append(number)
            raise SpoolFull(f"spool file cannot be written: {error.strerror}") from error
        if written != len(data):
            self._free.append(number)
            raise SpoolFull(f"spool file stored {written} of {len(data)} bytes")
        return number

    def read(self, number: int, length: int) -> bytes:
        """Return the first `length` bytes of a chunk."""
        assert self._fd is not None
        return os.pread(self._fd, length, number * CHUNK_BYTES)

    def free(self, numbers: list[int]) -> None:
        """Free chunks.  If no chunk is left in use, truncate the file, since other programs need the disk space."""
        self._free += numbers
        if len(self._free) == self._allocated and self._fd is not None:
            self._free, self._allocated = [], 0
            os.ftruncate(self._fd, 0)

    def close(self) -> None:
        """Close the file, which also deletes it."""
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def _unnamed_file(folder: str | None) -> int:
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
        self._spool.free(chunks)


class BodyBuffer:
    """Collects a request body while it is received: in memory up to CHUNK_BYTES, spooled beyond that."""

    def __init__(self, spool: Spool) -> None:
        self._spool = spool
        self._tail = bytearray()  # at most CHUNK_BYTES, plus the data of one read
        self._chunks: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        """Number of bytes received."""
        return self._length

    def append(self, data: bytes) -> None:
        """Add received data.  Raises SpoolFull if it cannot be stored."""
        self._tail += data
        self._length += len(data)
        while len(self._tail) > CHUNK_BYTES:
            self._chunks.append(self._spool.write(bytes(self._tail[:CHUNK_BYTES])))
            del self._tail[:CHUNK_BYTES]

    def finish(self) -> bytes | SpooledBody:
        """Return the complete body and reset the buffer.  Raises SpoolFull if the last chunk cannot be stored."""
        if not self._chunks:
            body: bytes | SpooledBody = bytes(self._tail)
        else:
            self._chunks.append(self._spool.write(bytes(self._tail)))
            body = SpooledBody(self._spool, self._chunks, self._length)
        self._tail, self._chunks, self._length = bytearray(), [], 0
        return body

    def discard(self) -> None:
        """Drop the received data, because the rest of the body will not be received."""
        chunks, self._chunks = self._chunks, []
        if chunks:
            self._spool.free(chunks)
        self._tail, self._length = bytearray(), 0


class StreamReceiver(Protocol):
    """Forwards a streamed response to its client."""

    def stream_data(self, data: bytes) -> None:
        """Forward received data."""

    def stream_ended(self, complete: bool) -> None:
        """End the response; if it is not `complete`, the client must be able to detect that."""


class ResponseStream:
    """A response that is forwarded while it is received; it ends exactly once."""

    def __init__(
        self,
        length: int | None,
        first_data: bytes,
        pause: Callable[[bool], None],
        abort: Callable[[], None],
    ) -> None:
        """`length`: None if the head does not state it; `pause(True)` pauses the server, `pause(False)` resumes it."""
        self.length = length  # bytes
        self.first_data = first_data
        self.pause = pause
        self._abort = abort
        self.receiver: StreamReceiver | None = None
        self.is_aborted = False  # whether its client has disconnected

    def abort(self) -> None:
        """Abort the response at the server after the client has disconnected."""
        self.receiver = None
        self.is_aborted = True
        self._abort()

    def feed(self, data: bytes) -> None:
        """Forward received data to the client."""
        if self.receiver is not None:
            self.receiver.stream_data(data)

    def finish(self, complete: bool) -> None:
        """End the response at the client; `complete`: whether the whole body was received."""
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.stream_ended(complete)
