r"""The state machine of draining and graceful shutdown; no I/O, the time (monotonic seconds) is a parameter.

    SERVING --start_drain--> DRAINING --no connections--> DRAINED --cancel_drain--> SERVING
       \\                        |                            |
        `------- terminate ------+----------------------------'--> TERMINATING, finished once no connection is open,
                                                                    or no answer is being read after the time limit

The readiness check fails as soon as a drain starts, but load balancers react with a delay: new connections are accepted
for another ACCEPT_AFTER_DRAIN_S.  Idle persistent connections that have carried a request are closed from the start of
the drain; those that have carried none are closed after ACCEPT_AFTER_DRAIN_S.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import Enum, unique

# The platform opens connections up to 0.2 s after the first failed readiness check and 0.4 s after SIGTERM.
ACCEPT_AFTER_DRAIN_S = 0.5
# The platform kills a terminating process 0.7 s after the longest deadline of a request.
TERMINATION_GRACE_S = 0.65
REQUEST_DEADLINE_MAX_S = 3.0  # the platform's timeout for a request
DELIVERY_LIMIT_S = 30.0  # after the time limit, for clients that are still reading their answers


@unique
class DrainState(Enum):
    """The lifecycle state of a sidecar; the values are the admin API's answers."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "emptying"
    DRAINED = "empty"
    TERMINATING = "ending"


@dataclass(frozen=True, slots=True)
class DrainDecision:
    """How the sidecar treats its connections at a given time."""

    ready: bool  # the readiness check passes, also on behalf of a successor
    accepts_connections: bool
    closes_idle: bool  # used connections are closed when idle or after their response
    closes_unused: bool  # idle connections that have carried no request are closed too
    fails_unanswered: bool  # requests in progress are answered as failed
    finished: bool  # the process may exit


_OPEN = DrainDecision(
    ready=True,
    accepts_connections=True,
    closes_idle=False,
    closes_unused=False,
    fails_unanswered=False,
    finished=False,
)


class Drain:
    """The drain's state machine; a lock guards each step, as the event loop and the admin API's thread both use it."""

    def __init__(self, longest_deadline_s: float) -> None:
        """`longest_deadline_s`: the longest deadline of any request."""
        self._lock = threading.Lock()
        self._longest_deadline_s = min(longest_deadline_s, REQUEST_DEADLINE_MAX_S)
        self._started_at_s = 0.0  # start of the drain or the termination
        self._has_successor = False  # another process accepts new connections
        self.state = DrainState.STARTING

    def mark_started(self) -> None:
        """Mark the sidecar as able to take requests; a drain that began during startup stays in force."""
        with self._lock:
            if self.state is DrainState.STARTING:
                self.state = DrainState.SERVING

    def start_drain(self, now_s: float) -> DrainState:
        """Start a drain unless one is in progress or the process terminates; return the resulting state."""
        with self._lock:
            if self.state in (DrainState.SERVING, DrainState.STARTING):
                self.state, self._started_at_s = DrainState.DRAINING, now_s
            return self.state

    def cancel_drain(self) -> DrainState:
        """End the drain and serve again; a termination can't be cancelled.  Return the resulting state."""
        with self._lock:
            if self.state in (DrainState.DRAINING, DrainState.DRAINED):
                self.state = DrainState.SERVING
            return self.state

    def terminate(self, now_s: float, has_successor: bool) -> None:
        """Start the termination (SIGTERM); `has_successor`: another process of this sidecar accepts new connections."""
        with self._lock:
            if self.state is not DrainState.TERMINATING:
                self.state, self._started_at_s = DrainState.TERMINATING, now_s
                self._has_successor = has_successor

    def is_ready(self) -> bool:
        """Return whether the readiness check passes; it also passes while a successor takes over from this process."""
        if self.state is DrainState.TERMINATING:
            return self._has_successor
        return self.state in (DrainState.STARTING, DrainState.SERVING)

    def decide(self, now_s: float, open_connections: int, undelivered: int = 0) -> DrainDecision:
        """Advance the state machine.

        `open_connections` counts client connections, `undelivered` those with an answer to come or being read.
        """
        with self._lock:
            if self.state in (DrainState.STARTING, DrainState.SERVING):
                return _OPEN
            accept_period_over = now_s >= self._started_at_s + ACCEPT_AFTER_DRAIN_S or self._has_successor
            if self.state is DrainState.TERMINATING:
                is_delivered = not open_connections or self._is_delivered(now_s, undelivered)
                return self._decide_termination(now_s, accept_period_over, is_delivered)
            if accept_period_over:
                self.state = DrainState.DRAINING if open_connections else DrainState.DRAINED
            return DrainDecision(
                ready=False,
                accepts_connections=True,
                closes_idle=True,
                closes_unused=accept_period_over,
                fails_unanswered=False,
                finished=False,
            )

    def _time_limit_s(self) -> float:
        """When a terminating process answers what it has not answered."""
        return self._started_at_s + self._longest_deadline_s + TERMINATION_GRACE_S

    def _is_delivered(self, now_s: float, undelivered: int) -> bool:
        """Whether no client waits for an answer or reads one after the time limit, or has had long enough."""
        time_limit_s = self._time_limit_s() + (DELIVERY_LIMIT_S if undelivered else 0.0)
        return now_s >= time_limit_s

    def _decide_termination(
        self, now_s: float, accept_period_over: bool, is_delivered: bool
    ) -> DrainDecision:
        # A request may be on its way on a recently opened connection, so unused ones stay open for the grace period.
        keeps_unused = now_s < self._started_at_s + TERMINATION_GRACE_S
        return DrainDecision(
            ready=self._has_successor,
            accepts_connections=not accept_period_over,
            closes_idle=True,
            closes_unused=accept_period_over and not keeps_unused,
            fails_unanswered=accept_period_over and now_s >= self._time_limit_s(),
            finished=accept_period_over and is_delivered,
        )
