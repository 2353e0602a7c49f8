"""Bodies too large to be held: requests' are spooled to a file, answers' pass through in pieces.

A request's body is held until its last byte has come: its time counts from there, so that is when a node is chosen,
and it can be passed on again as often as the rules allow.  An answer's first bytes are what counts, so it is passed on
as it comes; whoever takes it slowly holds up what gives it (docs/design/operations.md weighs both).
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable, Iterator
from typing import Protocol

CHUNK_BYTES = 64 * 1024  # bytes: pieces that are spooled, and the most of a body that is held in memory
SPOOL_BYTES_MAX = (
    2 * 1024 * 1024 * 1024
)  # bytes of all bodies spooled at a time, unless the operator file says otherwise
BODY_BYTES_MAX = 32 * 1024 * 1024  # bytes of one body, as the platform has it


class SpoolFull(Exception):
    """The spool is full, or its disk is."""


class Spool:
    """One file without a name for all bodies: one descriptor, chunks used again, gone with the process."""

    def __init__(self, folder: str | None, most: int = SPOOL_BYTES_MAX) -> None:
        """`folder`: where the file lies; None: where the system keeps temporary files.  It is made once needed."""
        self._folder = folder
        self._most = most // CHUNK_BYTES
        self._fd: int | None = None
        self._free: list[int] = []
        self._made = 0  # chunks that the file holds, free ones included

    @property
    def used_bytes(self) -> int:
        """Bytes that are taken."""
        return (self._made - len(self._free)) * CHUNK_BYTES

    def write(self, data: bytes) -> int:
        """Keep a chunk; give its number.  Raise SpoolFull where that is not possible."""
        if not self._free and self._made >= self._most:
            raise SpoolFull("too many large bodies at once")
        number = self._free.pop() if self._free else self._made
        self._made = max(self._made, number + 1)
        try:
            if self._fd is None:
                self._fd = _nameless(self._folder)
            written = os.pwrite(self._fd, data, number * CHUNK_BYTES)
        except OSError as fault:
            self._free.append(number)
            raise SpoolFull(f"the spool can't be written: {fault.strerror}") from fault
        if written != len(data):
            self._free.append(number)
            raise SpoolFull("the spool's disk is full")
        return number

    def read(self, number: int, length: int) -> bytes:
        assert self._fd is not None
        return os.pread(self._fd, length, number * CHUNK_BYTES)

    def free(self, numbers: list[int]) -> None:
        """Take chunks back.  With none in use the file is emptied: the disk is others' too."""
        self._free += numbers
        if len(self._free) == self._made and self._fd is not None:
            self._free, self._made = [], 0
            os.ftruncate(self._fd, 0)

    def close(self) -> None:
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def _nameless(folder: str | None) -> int:
    with tempfile.TemporaryFile(dir=folder, buffering=0) as file:
        return os.dup(file.fileno())


class SpooledBody:
    """A body that was spooled whole."""

    def __init__(self, spool: Spool, chunks: list[int], length: int) -> None:
        self._spool = spool
        self._chunks = chunks
        self.length = length

    def chunks(self) -> Iterator[bytes]:
        """All of it, read anew each time."""
        left = self.length
        for number in self._chunks:
            yield self._spool.read(number, min(left, CHUNK_BYTES))
            left -= CHUNK_BYTES

    def release(self) -> None:
        """Nothing reads it any more."""
        chunks, self._chunks = self._chunks, []
        self._spool.free(chunks)


class BodyBuffer:
    """A request's body as it comes: in memory while it is small, else spooled."""

    def __init__(self, spool: Spool) -> None:
        self._spool = spool
        self._tail = bytearray()  # at most CHUNK, and what one read brings
        self._chunks: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def append(self, data: bytes) -> None:
        """Take what came next; raise SpoolFull where it can't be kept."""
        self._tail += data
        self._length += len(data)
        while len(self._tail) > CHUNK_BYTES:
            self._chunks.append(self._spool.write(bytes(self._tail[:CHUNK_BYTES])))
            del self._tail[:CHUNK_BYTES]

    def finish(self) -> bytes | SpooledBody:
        """All has come: give it, and begin anew."""
        if not self._chunks:
            body: bytes | SpooledBody = bytes(self._tail)
        else:
            self._chunks.append(self._spool.write(bytes(self._tail)))
            body = SpooledBody(self._spool, self._chunks, self._length)
        self._tail, self._chunks, self._length = bytearray(), [], 0
        return body

    def discard(self) -> None:
        """The rest won't come."""
        chunks, self._chunks = self._chunks, []
        if chunks:
            self._spool.free(chunks)
        self._tail, self._length = bytearray(), 0


class StreamReceiver(Protocol):
    """Who passes an answer on to its client."""

    def stream_data(self, data: bytes) -> None: ...

    def stream_ended(self, whole: bool) -> None:
        """No more comes; not `whole`: it was cut short, and the client must be able to tell."""


class ResponseStream:
    """An answer that has begun and is passed on as it comes; it has one end."""

    def __init__(
        self, length: int | None, first: bytes, pause: Callable[[bool], None], abort: Callable[[], None]
    ) -> None:
        """`length`: of all of it, where its head says; `first`: what is here; `pause(True)` stops what gives it."""
        self.length = length
        self.first_data = first
        self.pause = pause
        self._abort = abort
        self.receiver: StreamReceiver | None = None
        self.is_aborted = False  # whether its client has gone

    def abort(self) -> None:
        """Nobody takes it any more: end what gives it."""
        self.receiver = None
        self.is_aborted = True
        self._abort()

    def feed(self, data: bytes) -> None:
        if self.receiver is not None:
            self.receiver.stream_data(data)

    def finish(self, whole: bool) -> None:
        taker, self.receiver = self.receiver, None
        if taker is not None:
            taker.stream_ended(whole)
