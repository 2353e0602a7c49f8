"""How a sidecar is emptied and filled again; no I/O, and the time is an argument.

SIGTERM and an operator's `standby` are two ways into one machine:

    serving --standby--> emptying --all gone--> empty --active--> serving
       \\                    |                     |
        `------ SIGTERM -----+---------------------'--> ending, and over once nothing is held or the time is up

From the first no on, new connections come for a little longer; then none.  Kept connections go on for as long as they
are open, so they are closed as they come to rest: first those that have carried requests, and once nothing new comes
also those that have not.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import Enum, unique

ACCEPT_AFTER_DRAIN_S = (
    0.5  # after the order, how long connections still come: 0.2 s after the first no, 0.4 s after SIGTERM
)
TERMINATION_GRACE_S = (
    0.65  # how much longer than the longest deadline an ending process may last: it is killed 0.7 s after
)
REQUEST_DEADLINE_MAX_S = 3.0  # the platform waits for no longer deadline than this


@unique
class DrainState(Enum):
    """What a sidecar is about, as operators are told."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "emptying"
    DRAINED = "empty"
    TERMINATING = "ending"


@dataclass(frozen=True, slots=True)
class DrainDecision:
    """What holds at a moment."""

    ready: bool  # whether the front is told to send clients here, be it for another process that listens too
    accepts_connections: bool  # whether new connections are taken
    closes_idle: bool  # whether connections end after their answer, and those at rest now
    closes_unused: bool  # those that have carried nothing yet too
    finished: bool  # whether the process may end


class Drain:
    """The machine.  Orders come from the loop's thread and from the operators' desk's, so each step takes a lock."""

    def __init__(self, longest_s: float) -> None:
        """`longest_s`: the longest deadline of a request, seconds."""
        self._lock = threading.Lock()
        self._longest_s = min(longest_s, REQUEST_DEADLINE_MAX_S)
        self._since = 0.0  # when it was ordered to be emptied, or to end
        self._succeeded = False  # whether another process takes the new connections
        self.state = DrainState.STARTING

    def mark_started(self) -> None:
        """It can take requests from now on; what was ordered before holds."""
        with self._lock:
            if self.state is DrainState.STARTING:
                self.state = DrainState.SERVING

    def start_drain(self, now: float) -> DrainState:
        """Empty it; give what holds from now on.  While it starts or ends it is empty soon anyway."""
        with self._lock:
            if self.state in (DrainState.SERVING, DrainState.STARTING):
                self.state, self._since = DrainState.DRAINING, now
            return self.state

    def cancel_drain(self) -> DrainState:
        """End of the drain; give what holds from now on.  SIGTERM is not taken back."""
        with self._lock:
            if self.state in (DrainState.DRAINING, DrainState.DRAINED):
                self.state = DrainState.SERVING
            return self.state

    def terminate(self, now: float, succeeded: bool) -> None:
        """SIGTERM came; `succeeded`: a process beside this one takes what is new."""
        with self._lock:
            if self.state is not DrainState.TERMINATING:
                self.state, self._since, self._succeeded = DrainState.TERMINATING, now, succeeded

    def is_ready(self) -> bool:
        """Whether the front is told to send clients here: also while another process takes over from this one."""
        if self.state is DrainState.TERMINATING:
            return self._succeeded
        return self.state in (DrainState.STARTING, DrainState.SERVING)

    def decide(self, now: float, held: int) -> DrainDecision:
        """What holds now, with so many connections of clients."""
        with self._lock:
            if self.state in (DrainState.STARTING, DrainState.SERVING):
                return DrainDecision(True, True, False, False, False)
            grown = now >= self._since + ACCEPT_AFTER_DRAIN_S or self._succeeded
            if self.state is not DrainState.TERMINATING:
                if grown:
                    self.state = DrainState.DRAINING if held else DrainState.DRAINED
                return DrainDecision(False, True, True, grown, False)
            late = now >= self._since + self._longest_s + TERMINATION_GRACE_S
            lingers = (
                now < self._since + TERMINATION_GRACE_S
            )  # what was opened for a request on its way is spared so long
            return DrainDecision(
                self._succeeded, not grown, True, grown and not lingers, grown and (late or not held)
            )
