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

CHUNK = 64 * 1024  # bytes: pieces that are spooled, and the most of a body that is held in memory
SPOOL_MOST = (
    2 * 1024 * 1024 * 1024
)  # bytes of all bodies spooled at a time, unless the operator file says otherwise
LARGE_MOST = 32 * 1024 * 1024  # bytes of one body, as the platform has it


class NoRoom(Exception):
    """The spool is full, or its disk is."""


class Spool:
    """One file without a name for all bodies: one descriptor, chunks used again, gone with the process."""

    def __init__(self, folder: str | None, most: int = SPOOL_MOST) -> None:
        """`folder`: where the file lies; None: where the system keeps temporary files.  It is made once needed."""
        self._folder = folder
        self._most = most // CHUNK
        self._fd: int | None = None
        self._free: list[int] = []
        self._made = 0  # chunks that the file holds, free ones included

    @property
    def used(self) -> int:
        """Bytes that are taken."""
        return (self._made - len(self._free)) * CHUNK

    def put(self, data: bytes) -> int:
        """Keep a chunk; give its number.  Raise NoRoom where that is not possible."""
        if not self._free and self._made >= self._most:
            raise NoRoom("too many large bodies at once")
        number = self._free.pop() if self._free else self._made
        self._made = max(self._made, number + 1)
        try:
            if self._fd is None:
                self._fd = _nameless(self._folder)
            written = os.pwrite(self._fd, data, number * CHUNK)
        except OSError as fault:
            self._free.append(number)
            raise NoRoom(f"the spool can't be written: {fault.strerror}") from fault
        if written != len(data):
            self._free.append(number)
            raise NoRoom("the spool's disk is full")
        return number

    def get(self, number: int, length: int) -> bytes:
        assert self._fd is not None
        return os.pread(self._fd, length, number * CHUNK)

    def give(self, numbers: list[int]) -> None:
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


class Large:
    """A body that was spooled whole."""

    def __init__(self, spool: Spool, chunks: list[int], length: int) -> None:
        self._spool = spool
        self._chunks = chunks
        self.length = length

    def pieces(self) -> Iterator[bytes]:
        """All of it, read anew each time."""
        left = self.length
        for number in self._chunks:
            yield self._spool.get(number, min(left, CHUNK))
            left -= CHUNK

    def release(self) -> None:
        """Nothing reads it any more."""
        chunks, self._chunks = self._chunks, []
        self._spool.give(chunks)


class Intake:
    """A request's body as it comes: in memory while it is small, else spooled."""

    def __init__(self, spool: Spool) -> None:
        self._spool = spool
        self._tail = bytearray()  # at most CHUNK, and what one read brings
        self._chunks: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, data: bytes) -> None:
        """Take what came next; raise NoRoom where it can't be kept."""
        self._tail += data
        self._length += len(data)
        while len(self._tail) > CHUNK:
            self._chunks.append(self._spool.put(bytes(self._tail[:CHUNK])))
            del self._tail[:CHUNK]

    def whole(self) -> bytes | Large:
        """All has come: give it, and begin anew."""
        if not self._chunks:
            body: bytes | Large = bytes(self._tail)
        else:
            self._chunks.append(self._spool.put(bytes(self._tail)))
            body = Large(self._spool, self._chunks, self._length)
        self._tail, self._chunks, self._length = bytearray(), [], 0
        return body

    def drop(self) -> None:
        """The rest won't come."""
        chunks, self._chunks = self._chunks, []
        if chunks:
            self._spool.give(chunks)
        self._tail, self._length = bytearray(), 0


class Taker(Protocol):
    """Who passes an answer on to its client."""

    def piece(self, data: bytes) -> None: ...

    def ended(self, whole: bool) -> None:
        """No more comes; not `whole`: it was cut short, and the client must be able to tell."""


class Stream:
    """An answer that has begun and is passed on as it comes; it has one end."""

    def __init__(
        self, length: int | None, first: bytes, pause: Callable[[bool], None], abort: Callable[[], None]
    ) -> None:
        """`length`: of all of it, where its head says; `first`: what is here; `pause(True)` stops what gives it."""
        self.length = length
        self.first = first
        self.pause = pause
        self._abort = abort
        self.taker: Taker | None = None
        self.given_up = False  # whether its client has gone

    def give_up(self) -> None:
        """Nobody takes it any more: end what gives it."""
        self.taker = None
        self.given_up = True
        self._abort()

    def piece(self, data: bytes) -> None:
        if self.taker is not None:
            self.taker.piece(data)

    def end(self, whole: bool) -> None:
        taker, self.taker = self.taker, None
        if taker is not None:
            taker.ended(whole)
