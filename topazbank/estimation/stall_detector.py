"""Detection of pauses of this process itself (CPU starvation, a suspended machine); no I/O; times in microseconds.

Failure guarded against: after a pause, events that waited meanwhile are read late.  Without this module the sidecar
would take its own pause for slow servers, eject them, and reject requests that they could serve.

While attempts are in flight a heartbeat timer is due at regular intervals; one that fires more than an interval late
shows a stall.  Observations made while `catching_up` are not to be learned from: that lasts as long as the stall did,
plus one interval.  A process that permanently lacks CPU therefore stays in that state.
"""

from __future__ import annotations

HEARTBEAT_OBJECTIVE_RATIO = 0.1  # the heartbeat interval, as part of the shortest latency objective
STALL_INTERVALS = 1.0  # a heartbeat later than this many intervals shows a stall


class StallDetector:
    """The stalls of one process."""

    __slots__ = (
        "_resumed_at",
        "catching_up",
        "catching_up_until",
        "heartbeat_due_at",
        "heartbeat_interval_us",
        "just_resumed",
        "stalled_total_us",
    )

    def __init__(self, shortest_objective_us: int, tick_us: int) -> None:
        """`tick_us`: the resolution of timers; the interval is never below it."""
        self.heartbeat_interval_us = max(int(HEARTBEAT_OBJECTIVE_RATIO * shortest_objective_us), tick_us)
        self.heartbeat_due_at = 0  # 0: no heartbeat is due
        self.just_resumed = False  # whether this event has the time of the first one after a stall
        self.catching_up = False  # whether events of now may have waited through a stall
        self.catching_up_until = -1
        self.stalled_total_us = 0  # the sum over all stalls so far
        self._resumed_at = -1

    def observe(self, now: int, by_timer: bool) -> None:
        """Take the time of an event; `by_timer`: whether a timer fired.

        Only a timer ends a heartbeat that is in time: under load other events come on time while timers wait.
        """
        late_us = now - self.heartbeat_due_at
        if self.heartbeat_due_at and late_us > STALL_INTERVALS * self.heartbeat_interval_us:
            self.stalled_total_us += late_us
            self._resumed_at = now
            self.catching_up_until = now + late_us + self.heartbeat_interval_us
            self.heartbeat_due_at = 0
        elif late_us >= 0 and by_timer:
            self.heartbeat_due_at = 0
        self.just_resumed = now == self._resumed_at
        self.catching_up = now <= self.catching_up_until
