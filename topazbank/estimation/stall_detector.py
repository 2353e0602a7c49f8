"""Detection of stalls of this process (CPU starvation, a suspended machine); no I/O; times in microseconds.

After a stall, the sidecar reads events late that arrived during it.  Without this module it would mistake its own
stall for slow servers, eject those servers, and reject requests that they could serve.

While attempts are in flight, a heartbeat timer is due at regular intervals.  A heartbeat that is more than one interval
late indicates a stall.  Observations made while `catching_up` is True must not update estimates.  This state lasts as
long as the stall, plus one interval, so that a process with a permanent lack of CPU stays in it.
"""

from __future__ import annotations

HEARTBEAT_OBJECTIVE_RATIO = 0.1  # the heartbeat interval, as a part of the shortest latency objective
STALL_INTERVALS = 1.0  # a heartbeat that is late by more than this many intervals indicates a stall


class StallDetector:
    """Detects stalls of this process from late heartbeats."""

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
        """`tick_us`: the resolution of timers, and the minimum heartbeat interval."""
        self.heartbeat_interval_us = max(int(HEARTBEAT_OBJECTIVE_RATIO * shortest_objective_us), tick_us)
        self.heartbeat_due_at = 0  # 0: no heartbeat is scheduled
        self.just_resumed = False  # whether the current time is that of the first event after a stall
        self.catching_up = False  # whether current events may have been delayed by a stall
        self.catching_up_until = -1
        self.stalled_total_us = 0  # sum of all stalls so far
        self._resumed_at = -1

    def observe(self, now: int, by_timer: bool) -> None:
        """Update the state at the time of an event; `by_timer`: whether the event is a timer.

        Only a timer completes a heartbeat that is on time.  Under load, other events can be on time while timers are
        delayed.
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
