"""By when a sidecar counts as notified of a change in the endpoint list; no I/O.

Times are seconds on one clock.  The platform's terms: while its watch is open, at once; 6 s after discovery had the
change and could be reached, whatever became of its polls; 4 s after a SIGHUP; 2 s after the process of an upgrade is
ready.  A process that is stopped is notified of nothing meanwhile.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from testbed.fleet.invariants import EndpointNotice

WATCH_NOTICE_S = 0.3  # with an open watch: the network, and the harness's own event loop
NOTICE_AFTER_OUTAGE_S = 6.0 + WATCH_NOTICE_S  # from when discovery had the change and could be reached
NOTICE_AFTER_RELOAD_S = 4.0 + WATCH_NOTICE_S  # from a SIGHUP
NOTICE_AFTER_UPGRADE_S = 3.0  # from its beginning: ready within a second, and 2 s
START_MAX_S = 2.0  # a process begins no sooner before it is ready
RESUME_MAX_S = 0.2  # until a process that was stopped goes on


@dataclass(frozen=True, slots=True)
class Interval:
    """From one moment to another."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class DrainChange:
    """A backend that began to drain, or ended that."""

    at: float
    node: str
    draining: bool


@dataclass(slots=True)
class DisturbanceHistory:
    """What delays notices, as it happened; by sidecar except for outages."""

    outages: list[Interval] = field(default_factory=list)  # of discovery, for all sidecars
    reloads: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    starts: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    upgrades: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    pauses: dict[int, list[Interval]] = field(default_factory=lambda: defaultdict(list))

    def notified_at(self, sidecar: int, at: float) -> float:
        """Return by when this sidecar counts as notified of a change made at this time."""
        due = at + WATCH_NOTICE_S
        while (later := max(self._delayed_dues(sidecar, at, due), default=due)) > due:
            due = later
        return due

    def _delayed_dues(self, sidecar: int, at: float, due: float) -> Iterator[float]:
        """Yield when the notice is due by each disturbance shortly before the change, or before it was due."""
        for outage in self.outages:
            if outage.start <= due and at <= outage.end + NOTICE_AFTER_OUTAGE_S:
                yield max(at, outage.end) + NOTICE_AFTER_OUTAGE_S
        for moments, within_s in (
            (self.reloads, NOTICE_AFTER_RELOAD_S),
            (self.starts, NOTICE_AFTER_OUTAGE_S),
            (self.upgrades, NOTICE_AFTER_UPGRADE_S),
        ):
            for moment in moments[sidecar]:
                if moment <= due and at <= moment + within_s:
                    yield moment + within_s
        for pause in self.pauses[sidecar]:
            if pause.start <= due and at <= pause.end + WATCH_NOTICE_S:
                yield pause.end + RESUME_MAX_S + WATCH_NOTICE_S


def expected_notices(
    changes: Sequence[DrainChange], history: DisturbanceHistory, sidecars: int
) -> list[EndpointNotice]:
    """Return what each sidecar counts as notified of; a drain that ends before its notice is due binds nobody."""
    notices = []
    for index, change in enumerate(changes):
        later = (other.at for other in changes[index + 1 :] if other.node == change.node)
        ended_at = next(later, float("inf"))
        for sidecar in range(sidecars):
            if change.draining:
                notices += _notices_of_drain(change, ended_at, history, sidecar)
            else:
                notices.append(EndpointNotice(change.at, sidecar, change.node, True))
    return notices


def _notices_of_drain(
    change: DrainChange, ended_at: float, history: DisturbanceHistory, sidecar: int
) -> list[EndpointNotice]:
    """Return one sidecar's notices of a drain: a process that starts with an older list has to be notified anew."""
    notices = []
    moments = [change.at, *(start for start in history.starts[sidecar] if start > change.at)]
    for moment, following in zip(moments, [*moments[1:], float("inf")], strict=True):
        if moment > change.at:
            notices.append(EndpointNotice(moment - START_MAX_S, sidecar, change.node, True))
        due = history.notified_at(sidecar, moment)
        if due < following - START_MAX_S:
            notices.append(EndpointNotice(due, sidecar, change.node, False))
    return [notice for notice in notices if notice.at < ended_at]
