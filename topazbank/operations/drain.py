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

ACCEPT_S = (
    0.5  # after the order, how long connections still come: 0.2 s after the first no, 0.4 s after SIGTERM
)
LINGER_S = (
    0.65  # how much longer than the longest deadline an ending process may last: it is killed 0.7 s after
)
DEADLINE_MOST_S = 3.0  # the platform waits for no longer deadline than this


@unique
class Stage(Enum):
    """What a sidecar is about, as operators are told."""

    STARTING = "starting"
    SERVING = "serving"
    EMPTYING = "emptying"
    EMPTY = "empty"
    ENDING = "ending"


@dataclass(frozen=True, slots=True)
class Orders:
    """What holds at a moment."""

    ready: bool  # whether the front is told to send clients here, be it for another process that listens too
    listens: bool  # whether new connections are taken
    closes: bool  # whether connections end after their answer, and those at rest now
    closes_new: bool  # those that have carried nothing yet too
    over: bool  # whether the process may end


class Drain:
    """The machine.  Orders come from the loop's thread and from the operators' desk's, so each step takes a lock."""

    def __init__(self, longest_s: float) -> None:
        """`longest_s`: the longest deadline of a request, seconds."""
        self._lock = threading.Lock()
        self._longest_s = min(longest_s, DEADLINE_MOST_S)
        self._since = 0.0  # when it was ordered to be emptied, or to end
        self._succeeded = False  # whether another process takes the new connections
        self.stage = Stage.STARTING

    def serve(self) -> None:
        """It can take requests from now on; what was ordered before holds."""
        with self._lock:
            if self.stage is Stage.STARTING:
                self.stage = Stage.SERVING

    def standby(self, now: float) -> Stage:
        """Empty it; give what holds from now on.  While it starts or ends it is empty soon anyway."""
        with self._lock:
            if self.stage in (Stage.SERVING, Stage.STARTING):
                self.stage, self._since = Stage.EMPTYING, now
            return self.stage

    def active(self) -> Stage:
        """End of the drain; give what holds from now on.  SIGTERM is not taken back."""
        with self._lock:
            if self.stage in (Stage.EMPTYING, Stage.EMPTY):
                self.stage = Stage.SERVING
            return self.stage

    def end(self, now: float, succeeded: bool) -> None:
        """SIGTERM came; `succeeded`: a process beside this one takes what is new."""
        with self._lock:
            if self.stage is not Stage.ENDING:
                self.stage, self._since, self._succeeded = Stage.ENDING, now, succeeded

    def is_ready(self) -> bool:
        """Whether the front is told to send clients here: also while another process takes over from this one."""
        if self.stage is Stage.ENDING:
            return self._succeeded
        return self.stage in (Stage.STARTING, Stage.SERVING)

    def look(self, now: float, held: int) -> Orders:
        """What holds now, with so many connections of clients."""
        with self._lock:
            if self.stage in (Stage.STARTING, Stage.SERVING):
                return Orders(True, True, False, False, False)
            grown = now >= self._since + ACCEPT_S or self._succeeded
            if self.stage is not Stage.ENDING:
                if grown:
                    self.stage = Stage.EMPTYING if held else Stage.EMPTY
                return Orders(False, True, True, grown, False)
            late = now >= self._since + self._longest_s + LINGER_S
            lingers = (
                now < self._since + LINGER_S
            )  # what was opened for a request on its way is spared so long
            return Orders(
                self._succeeded, not grown, True, grown and not lingers, grown and (late or not held)
            )
