"""When a sidecar counts as notified of a change in the list, by the platform's terms and what was done to it; no I/O.

Times are seconds on one clock.  Terms: while its watch is open, at once; 6 s after discovery had the change and could
be reached, whatever became of its calls; 4 s after a SIGHUP; 2 s after the process of an upgrade is ready; and a
process that stands still hears nothing meanwhile.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from testbed.fleet.invariants import Word

WATCHED_S = 0.3  # with an open watch: the way there, and what the rig's one loop adds
AFTER_TROUBLE_S = 6.0 + WATCHED_S  # discovery had the change and could be reached
AFTER_SIGNAL_S = 4.0 + WATCHED_S
AFTER_UPGRADE_S = 3.0  # from its beginning: ready within a second, and 2 s
STARTS_S = 2.0  # a process begins no sooner before it is ready
WAKES_S = 0.2  # until a process that stood still goes on


@dataclass(frozen=True, slots=True)
class Span:
    """From one moment to another."""

    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class Change:
    """A server that began to drain, or ended that."""

    at: float
    node: str
    drains: bool


@dataclass(slots=True)
class History:
    """What happened that delays notice, as it happened."""

    troubles: list[Span] = field(default_factory=list)  # of discovery, for all
    signals: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # SIGHUP, by sidecar
    starts: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    upgrades: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    pauses: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))

    def notified_at(self, sidecar: int, at: float) -> float:
        """By when this sidecar counts as notified of a change made at this time."""
        due = at + WATCHED_S
        while (later := max(self._delays(sidecar, at, due), default=due)) > due:
            due = later
        return due

    def _delays(self, sidecar: int, at: float, due: float) -> Iterator[float]:
        """When notice is due by each thing that happened close to the change, or before it was due."""
        for each in self.troubles:
            if each.began <= due and at <= each.ended + AFTER_TROUBLE_S:
                yield max(at, each.ended) + AFTER_TROUBLE_S
        for moments, within_s in (
            (self.signals, AFTER_SIGNAL_S),
            (self.starts, AFTER_TROUBLE_S),
            (self.upgrades, AFTER_UPGRADE_S),
        ):
            for moment in moments[sidecar]:
                if moment <= due and at <= moment + within_s:
                    yield moment + within_s
        for each in self.pauses[sidecar]:
            if each.began <= due and at <= each.ended + WATCHED_S:
                yield each.ended + WAKES_S + WATCHED_S


def words(changes: Sequence[Change], history: History, sidecars: int) -> list[Word]:
    """What each sidecar counts as notified of; a drain that ends before is nobody's fault."""
    found = []
    for index, change in enumerate(changes):
        later = (each.at for each in changes[index + 1 :] if each.node == change.node)
        ended = next(later, float("inf"))
        for sidecar in range(sidecars):
            if not change.drains:
                found.append(Word(change.at, sidecar, change.node, True))
                continue
            found += _of_drain(change, ended, history, sidecar)
    return found


def _of_drain(change: Change, ended: float, history: History, sidecar: int) -> list[Word]:
    """A process that starts with the list of before has to be notified anew, whatever the former one was."""
    found = []
    moments = [change.at, *(each for each in history.starts[sidecar] if each > change.at)]
    for moment, following in zip(moments, [*moments[1:], float("inf")], strict=True):
        if moment > change.at:
            found.append(Word(moment - STARTS_S, sidecar, change.node, True))
        due = history.notified_at(sidecar, moment)
        if due < following - STARTS_S:
            found.append(Word(due, sidecar, change.node, False))
    return [each for each in found if each.at < ended]
