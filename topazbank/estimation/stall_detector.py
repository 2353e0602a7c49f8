"""Whether this sidecar itself stood still: what it finds on its return came at times that it cannot tell.

While anything is out a beat falls due; one that comes far too late tells of a stall. Nothing is learned until what
came meanwhile is gone through: else a sidecar would take its own absence for slow servers, eject them and refuse what
they could serve. Going through all that takes a while; as long as the stall is enough, and one with too little CPU
stays so. No I/O; times in microseconds.
"""

from __future__ import annotations

BEAT_AIMS = 0.1  # of the shortest aim: how often a beat falls due
STALL_BEATS = 1.0  # a beat later than this many beats tells of a stall


class Stall:
    """The stalls of one sidecar."""

    __slots__ = ("_back_at", "absent_us", "back", "beat_due", "beat_us", "behind", "caught_up_at")

    def __init__(self, shortest_aim_us: int, tick_us: int) -> None:
        self.beat_us = max(int(BEAT_AIMS * shortest_aim_us), tick_us)
        self.beat_due = 0  # when the next beat falls due; 0: none does
        self._back_at = -1
        self.back = False  # whether this moment is the first after a stall: others may come at it as well
        self.behind = False  # whether what is heard now may have waited through one
        self.caught_up_at = -1  # by when it has gone through what came meanwhile
        self.absent_us = 0  # how long it has stalled, over all its stalls

    def notice(self, now: int, by_timer: bool) -> None:
        """Take an event; a beat is over by a timer alone: where events are many they come on time, and timers wait."""
        late = now - self.beat_due
        if self.beat_due and late > STALL_BEATS * self.beat_us:
            self.absent_us += late
            self._back_at = now
            self.caught_up_at = now + late + self.beat_us
            self.beat_due = 0
        elif late >= 0 and by_timer:
            self.beat_due = 0
        self.back = now == self._back_at
        self.behind = now <= self.caught_up_at
