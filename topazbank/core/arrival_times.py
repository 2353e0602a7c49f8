"""When the bytes of a connection arrived, by their offset in its stream; no I/O.

A request's time counts from its last byte, also while it waits behind others of its connection.  Bytes may have waited
in the kernel before they were read; they count from the earliest time at which they can have arrived.
All times are seconds on the event loop's clock.  Lists hold the few records, since an empty deque takes 600 bytes.
"""

from __future__ import annotations

from typing import Final, NamedTuple

QUEUE_BYTES_MAX: Final = 6 * 1024 * 1024  # that wait in the kernel, at most
_RECORDS_MAX: Final = 64
_RESOLUTION_S: Final = 0.005  # reads that follow one another more closely share a record


class _Record(NamedTuple):
    """A time, for the bytes before an offset."""

    end: int
    at: float


class ArrivalTimes:
    """The arrival times of the bytes of one connection that belong to requests not handled yet."""

    def __init__(self) -> None:
        self._arrivals: list[_Record] = []  # each for the bytes after the record before it
        self._read_bytes = 0
        # The reads since the kernel's queue was last known to be empty, and the pauses.
        self._reads: list[_Record] = []
        self._queue_bytes_max = QUEUE_BYTES_MAX
        self._is_paused = False

    def pause(self, now: float, queue_bytes_max: int = QUEUE_BYTES_MAX) -> None:
        """Record that this process stops reading; no effect if it has stopped already.

        `queue_bytes_max`: how much may wait in the kernel meanwhile.
        """
        if not self._is_paused:
            self._is_paused = True
            self._queue_bytes_max = queue_bytes_max
            self._reads.append(_Record(self._read_bytes, now))

    def resume(self) -> None:
        """Record that this process reads again."""
        self._is_paused = False

    def received(self, now: float, count: int, was_last: bool) -> None:
        """Record that `count` bytes were read; `was_last`: whether no further bytes waited in the kernel."""
        arrived_at = self._earliest_arrival() if self._reads else now
        self._read_bytes += count
        if was_last:
            self._reads.clear()
            self._queue_bytes_max = QUEUE_BYTES_MAX
        else:
            self._reads.append(_Record(self._read_bytes, now))
        arrivals = self._arrivals
        if arrivals and (arrived_at < arrivals[-1].at + _RESOLUTION_S or len(arrivals) >= _RECORDS_MAX):
            arrivals[-1] = _Record(self._read_bytes, arrivals[-1].at)
        else:
            arrivals.append(_Record(self._read_bytes, arrived_at))

    def _earliest_arrival(self) -> float:
        """Return the earliest time at which the next byte can have arrived: the kernel's queue is bounded."""
        reads = self._reads
        while len(reads) > 1 and reads[1].end + self._queue_bytes_max <= self._read_bytes:
            del reads[0]
        return reads[0].at

    def time_of(self, offset: int) -> float:
        """Return when the byte before `offset` arrived; earlier offsets must not be asked for afterwards."""
        arrivals = self._arrivals
        while len(arrivals) > 1 and arrivals[0].end < offset:
            del arrivals[0]
        return arrivals[0].at
