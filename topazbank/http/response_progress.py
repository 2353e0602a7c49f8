"""How long a response that is forwarded while it is received may make no progress; no I/O.

Guarantees: a response that goes on is never ended.  One that stops before its request's deadline is ended in time for
its client, unless it is large, known or probably: only the first bytes of a large response have a deadline.
All times are seconds of the event loop's clock.
"""

from __future__ import annotations

import math
from typing import Final

from topazbank.core.call import BUFFERED_BODY_BYTES_MAX
from topazbank.core.request_rules import ANSWER_GRACE_S, SCHEDULING_DELAY_S

PAUSE_S_MAX: Final = 2.0  # no server that works pauses for longer within a response
LARGE_PAUSE_S_MAX: Final = 20.0  # the same for a large response, whose request has no further deadline
# A response without a byte for this long after its deadline is ended, so that its client learns it within the grace.
LATE_S_MAX: Final = ANSWER_GRACE_S - SCHEDULING_DELAY_S
# A response of unknown length that has brought more, or goes on after its deadline, is probably a large one.
PROBABLY_LARGE_BYTES: Final = BUFFERED_BODY_BYTES_MAX // 8
STREAM_LIMIT_S: Final = 600.0  # for a whole response: 32 MB at 64 kB/s, with a margin


class ResponseProgress:
    """The progress of one forwarded response."""

    def __init__(self, now: float, deadline: float, length: int | None, received: int) -> None:
        """`deadline`: of the request; `length`: as declared, in bytes; `received`: bytes of the body so far."""
        self._started_at = self._last_at = now
        self._deadline = deadline
        self._received = max(received, length or 0)
        self._paused = False  # whether nothing is read, since the client does not read

    def received(self, now: float, count: int) -> None:
        """Record that `count` bytes of the body were received."""
        self._last_at = now
        self._received += count

    def pause(self) -> None:
        """Record that this process has stopped reading, so that the server's progress is unknown."""
        self._paused = True

    def resume(self, now: float) -> None:
        """Record that this process reads again."""
        self._last_at, self._paused = now, False

    def limit_at(self) -> float:
        """When the response is ended if nothing more is received."""
        return min(self._silence_limit_at(), self._started_at + STREAM_LIMIT_S)

    def _silence_limit_at(self) -> float:
        if self._paused:
            return math.inf
        if self._received > BUFFERED_BODY_BYTES_MAX:
            return self._last_at + LARGE_PAUSE_S_MAX
        silent_at = self._last_at + PAUSE_S_MAX
        if self._last_at >= self._deadline or self._received > PROBABLY_LARGE_BYTES:
            return max(silent_at, self._deadline)
        return min(max(self._deadline, silent_at), self._deadline + LATE_S_MAX)
