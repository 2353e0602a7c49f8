r"""The state machine of draining and graceful shutdown; no I/O, the time (monotonic seconds) is an argument.

    SERVING --start_drain--> DRAINING --no connections--> DRAINED --cancel_drain--> SERVING
       \\                        |                            |
        `------- terminate ------+----------------------------'--> TERMINATING, finished once no connection is open
                                                                    or the time limit is reached

The readiness check fails as soon as a drain starts, yet load balancers react late: new connections are accepted for
ACCEPT_AFTER_DRAIN_S longer.  Persistent connections are closed while idle: from the start those that have carried a
request, after ACCEPT_AFTER_DRAIN_S also those that have carried none.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import Enum, unique

# The platform opens connections up to 0.2 s after the first failed readiness check and 0.4 s after SIGTERM.
ACCEPT_AFTER_DRAIN_S = 0.5
# The platform kills a terminating process 0.7 s after the longest deadline of a request.
TERMINATION_GRACE_S = 0.65
REQUEST_DEADLINE_MAX_S = 3.0  # the platform waits no longer than this for a request


@unique
class DrainState(Enum):
    """Where a sidecar is between start and end; the values are the admin API's answers."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "emptying"
    DRAINED = "empty"
    TERMINATING = "ending"


@dataclass(frozen=True, slots=True)
class DrainDecision:
    """What the sidecar does with its connections at one moment."""

    ready: bool  # the readiness check passes, on behalf of a successor too
    accepts_connections: bool
    closes_idle: bool  # connections are closed after their response, and at once while idle
    closes_unused: bool  # so are those that have carried no request
    finished: bool  # the process may exit


_OPEN = DrainDecision(
    ready=True, accepts_connections=True, closes_idle=False, closes_unused=False, finished=False
)


class Drain:
    """The state machine; the event loop's thread and the admin API's both use it, so that each step takes a lock."""

    def __init__(self, longest_deadline_s: float) -> None:
        """`longest_deadline_s`: the longest deadline that a request may have."""
        self._lock = threading.Lock()
        self._longest_deadline_s = min(longest_deadline_s, REQUEST_DEADLINE_MAX_S)
        self._started_at_s = 0.0  # of the drain or the termination
        self._has_successor = False  # another process accepts the new connections
        self.state = DrainState.STARTING

    def mark_started(self) -> None:
        """The sidecar can take requests from now on; a drain ordered during the start stays in force."""
        with self._lock:
            if self.state is DrainState.STARTING:
                self.state = DrainState.SERVING

    def start_drain(self, now_s: float) -> DrainState:
        """Start a drain, unless one runs or the process terminates; return the state afterwards."""
        with self._lock:
            if self.state in (DrainState.SERVING, DrainState.STARTING):
                self.state, self._started_at_s = DrainState.DRAINING, now_s
            return self.state

    def cancel_drain(self) -> DrainState:
        """End the drain and serve again; a termination can't be cancelled.  Return the state afterwards."""
        with self._lock:
            if self.state in (DrainState.DRAINING, DrainState.DRAINED):
                self.state = DrainState.SERVING
            return self.state

    def terminate(self, now_s: float, has_successor: bool) -> None:
        """SIGTERM was received; `has_successor`: another process of this sidecar accepts new connections."""
        with self._lock:
            if self.state is not DrainState.TERMINATING:
                self.state, self._started_at_s = DrainState.TERMINATING, now_s
                self._has_successor = has_successor

    def is_ready(self) -> bool:
        """Whether the readiness check passes: also while a successor takes over from this process."""
        if self.state is DrainState.TERMINATING:
            return self._has_successor
        return self.state in (DrainState.STARTING, DrainState.SERVING)

    def decide(self, now_s: float, open_connections: int) -> DrainDecision:
        """Advance the state machine; `open_connections`: those of clients."""
        with self._lock:
            if self.state in (DrainState.STARTING, DrainState.SERVING):
                return _OPEN
            accept_time_over = now_s >= self._started_at_s + ACCEPT_AFTER_DRAIN_S or self._has_successor
            if self.state is DrainState.TERMINATING:
                return self._decide_termination(now_s, open_connections, accept_time_over)
            if accept_time_over:
                self.state = DrainState.DRAINING if open_connections else DrainState.DRAINED
            return DrainDecision(
                ready=False,
                accepts_connections=True,
                closes_idle=True,
                closes_unused=accept_time_over,
                finished=False,
            )

    def _decide_termination(
        self, now_s: float, open_connections: int, accept_time_over: bool
    ) -> DrainDecision:
        time_limit_s = self._started_at_s + self._longest_deadline_s + TERMINATION_GRACE_S
        # A connection opened just before the end may have a request on its way: it is spared for the grace time.
        spares_unused = now_s < self._started_at_s + TERMINATION_GRACE_S
        return DrainDecision(
            ready=self._has_successor,
            accepts_connections=not accept_time_over,
            closes_idle=True,
            closes_unused=accept_time_over and not spares_unused,
            finished=accept_time_over and (now_s >= time_limit_s or not open_connections),
        )
