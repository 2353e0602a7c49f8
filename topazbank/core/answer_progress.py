"""The pace at which a client reads its answers; decides whether it has stalled; no I/O.

The platform allows clients to read at 64 kB/s.  The sender sees that pace in steps: a receiver whose buffer is full
reopens its window only once a part of the buffer is free (RFC 9293, 3.8.6.2.2), and that part grows with the buffer.
How many bytes wait in this process does not matter: a client that reads at the allowed pace is never stalled.
"""

from __future__ import annotations

from typing import Final

from topazbank.core.connection_states import STALL_LIMIT_S, SWEEP_INTERVAL_S

ANSWER_BYTES_PER_S: Final = 64_000.0  # the lowest rate that the platform allows
# Minimum mean rate between two steps: half of the lowest rate that the platform allows.
ANSWER_BYTES_PER_S_MIN: Final = ANSWER_BYTES_PER_S / 2
# The largest step, as a part of what the client's kernel has taken in; Linux uses a tenth to a fifth of its buffer.
_STEP_RATIO: Final = 0.25
_STEP_BYTES_MAX: Final = 1024 * 1024
_STEP_MARGIN_S: Final = 1.0
# Where the kernel doesn't report acknowledged bytes, the time until it accepts more is the only sign of progress.
UNKNOWN_PROGRESS_LIMIT_S: Final = 60.0
# Time between two observations beyond this is a delay of this process, and does not count.
OBSERVED_S_MAX: Final = 2.0 * SWEEP_INTERVAL_S


class AnswerProgress:
    """Follows the bytes that a client's kernel acknowledges while answers wait in this process."""

    def __init__(self) -> None:
        self._waited_s = 0.0  # since the last sufficient progress
        self._progress_bytes = 0  # acknowledged at that time
        self._acknowledged_bytes: int | None = None  # None: unknown

    @property
    def waited_s(self) -> float:
        """The time without sufficient progress, in seconds."""
        return self._waited_s

    def observe(self, elapsed_s: float, acknowledged_bytes: int | None) -> None:
        """Record the bytes acknowledged on the connection so far, `elapsed_s` after the previous observation."""
        self._waited_s += min(elapsed_s, OBSERVED_S_MAX)
        self._acknowledged_bytes = acknowledged_bytes
        if acknowledged_bytes is None:
            return
        progress_bytes = acknowledged_bytes - self._progress_bytes
        if progress_bytes > 0 and progress_bytes >= ANSWER_BYTES_PER_S_MIN * self._waited_s:
            self._waited_s = 0.0
            self._progress_bytes = acknowledged_bytes

    def limit_s(self) -> float:
        """The maximum time without sufficient progress, in seconds."""
        if self._acknowledged_bytes is None:
            return UNKNOWN_PROGRESS_LIMIT_S
        step_bytes = min(_STEP_RATIO * self._acknowledged_bytes, _STEP_BYTES_MAX)
        return max(STALL_LIMIT_S, _STEP_MARGIN_S + step_bytes / ANSWER_BYTES_PER_S)

    def is_stalled(self) -> bool:
        """Whether the client reads nothing, or less than the platform allows."""
        return self._waited_s >= self.limit_s()
