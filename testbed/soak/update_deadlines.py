"""When a sidecar counts as notified of a change in the list, by the platform's terms and what was done to it; no I/O.

Times are seconds on one clock.  Terms: while its watch is open, at once; 6 s after discovery had the change and could
be reached, whatever became of its calls; 4 s after a SIGHUP; 2 s after the process of an upgrade is ready; and a
process that stands still hears nothing meanwhile.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from testbed.fleet.invariants import EndpointNotice

WATCH_NOTICE_S = 0.3  # with an open watch: the way there, and what the rig's one loop adds
NOTICE_AFTER_OUTAGE_S = 6.0 + WATCH_NOTICE_S  # discovery had the change and could be reached
NOTICE_AFTER_RELOAD_S = 4.0 + WATCH_NOTICE_S
NOTICE_AFTER_UPGRADE_S = 3.0  # from its beginning: ready within a second, and 2 s
START_MAX_S = 2.0  # a process begins no sooner before it is ready
RESUME_MAX_S = 0.2  # until a process that stood still goes on


@dataclass(frozen=True, slots=True)
class Interval:
    """From one moment to another."""

    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class DrainChange:
    """A server that began to drain, or ended that."""

    at: float
    node: str
    drains: bool


@dataclass(slots=True)
class DisturbanceHistory:
    """What happened that delays notice, as it happened."""

    troubles: list[Interval] = field(default_factory=list)  # of discovery, for all
    signals: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # SIGHUP, by sidecar
    starts: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    upgrades: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    pauses: dict[int, list[Interval]] = field(default_factory=lambda: defaultdict(list))

    def notified_at(self, sidecar: int, at: float) -> float:
        """By when this sidecar counts as notified of a change made at this time."""
        due = at + WATCH_NOTICE_S
        while (later := max(self._delays(sidecar, at, due), default=due)) > due:
            due = later
        return due

    def _delays(self, sidecar: int, at: float, due: float) -> Iterator[float]:
        """When notice is due by each thing that happened close to the change, or before it was due."""
        for each in self.troubles:
            if each.began <= due and at <= each.ended + NOTICE_AFTER_OUTAGE_S:
                yield max(at, each.ended) + NOTICE_AFTER_OUTAGE_S
        for moments, within_s in (
            (self.signals, NOTICE_AFTER_RELOAD_S),
            (self.starts, NOTICE_AFTER_OUTAGE_S),
            (self.upgrades, NOTICE_AFTER_UPGRADE_S),
        ):
            for moment in moments[sidecar]:
                if moment <= due and at <= moment + within_s:
                    yield moment + within_s
        for each in self.pauses[sidecar]:
            if each.began <= due and at <= each.ended + WATCH_NOTICE_S:
                yield each.ended + RESUME_MAX_S + WATCH_NOTICE_S


def expected_notices(
    changes: Sequence[DrainChange], history: DisturbanceHistory, sidecars: int
) -> list[EndpointNotice]:
    """What each sidecar counts as notified of; a drain that ends before is nobody's fault."""
    found = []
    for index, change in enumerate(changes):
        later = (each.at for each in changes[index + 1 :] if each.node == change.node)
        ended = next(later, float("inf"))
        for sidecar in range(sidecars):
            if not change.drains:
                found.append(EndpointNotice(change.at, sidecar, change.node, True))
                continue
            found += _notices_of_drain(change, ended, history, sidecar)
    return found


def _notices_of_drain(
    change: DrainChange, ended: float, history: DisturbanceHistory, sidecar: int
) -> list[EndpointNotice]:
    """A process that starts with the list of before has to be notified anew, whatever the former one was."""
    found = []
    moments = [change.at, *(each for each in history.starts[sidecar] if each > change.at)]
    for moment, following in zip(moments, [*moments[1:], float("inf")], strict=True):
        if moment > change.at:
            found.append(EndpointNotice(moment - START_MAX_S, sidecar, change.node, True))
        due = history.notified_at(sidecar, moment)
        if due < following - START_MAX_S:
            found.append(EndpointNotice(due, sidecar, change.node, False))
    return [each for each in found if each.at < ended]
