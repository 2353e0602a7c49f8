"""What the rest of the program reads of the cluster: which members are present, and which can't be judged; no I/O.

The promise.  A member is called absent only where it has left by its own message, or where it was declared dead and
this process reaches a majority of the cluster.  Otherwise the answer is unknown, and callers take the safe side.
`max_cluster_size` is the safe side of the cluster's size.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.member import MemberRecord, MemberState, ProcessGeneration
from topazbank.cluster.quorum import RECENT_US

_SETTLE_PERIODS = 3  # without isolation, before the isolation counts as over


class Presence(Enum):
    """Whether a member is running."""

    PRESENT = "present"
    ABSENT = "absent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member, for operators; times in microseconds."""

    ident: int
    presence: Presence
    record: MemberRecord
    unheard_us: int | None  # since it was last heard by anyone; None: never
    suspected_us: int | None  # since when it is suspect
    reporters: tuple[int, ...] = ()  # short idents of the members that suspect it


class _Snapshot(NamedTuple):
    """What a change of the view is recognised by."""

    digest: int
    tombstones: int
    unstable: int
    is_isolated: bool


class View:
    """The failure detector's verdicts, with the doubts that apply."""

    __slots__ = ("_detector", "_isolated_at", "_snapshot", "_version", "is_isolated")

    def __init__(self, detector: FailureDetector) -> None:
        self._detector = detector
        self._version = 0
        self._snapshot: _Snapshot | None = None
        self._isolated_at = 0
        self.is_isolated = True  # nothing was received yet

    def refresh(self, now: int) -> bool:
        """Read the detector's state; return whether any answer has changed."""
        detector = self._detector
        is_isolated = self._is_isolated_now(now)
        if is_isolated:
            self._isolated_at = now
        settle_us = _SETTLE_PERIODS * detector.settings.probe_period_us
        is_settled = now - self._isolated_at >= settle_us
        self.is_isolated = is_isolated or (self.is_isolated and not is_settled)
        snapshot = _Snapshot(
            detector.digest,
            len(detector.table.tombstones),
            detector.membership.flaps.unstable_count(now),
            self.is_isolated,
        )
        has_changed = snapshot != self._snapshot
        self._version += has_changed
        self._snapshot = snapshot
        return has_changed

    def _is_isolated_now(self, now: int) -> bool:
        detector = self._detector
        if not detector.local.is_active or detector.stalls.is_distrusting(now):
            return True
        if detector.connectivity.hears_nobody(now) or detector.connectivity.is_unanswered(now):
            return True
        expected = self._expected_size(now)
        if expected == 1:
            return False  # a cluster of one, as far as the configuration says
        if detector.table.live_count == 0 and detector.local.is_joining(now):
            return True
        return 2 * self.present_count() <= expected

    def _expected_size(self, now: int) -> int:
        """Return the recent cluster's size, and after a start at least that of the configured one."""
        expected = self._detector.quorum.recent_size(now)
        if now - self._detector.local.started_at < RECENT_US:
            expected = max(expected, len(self._detector.seeds) + 1)
        return expected

    @property
    def version(self) -> int:
        """A number that grows with each change of an answer."""
        return self._version

    def present_count(self) -> int:
        """Return the number of members that are alive and not suspect, the local one included."""
        return self._detector.table.cluster_size - len(self._detector.suspicions)

    def present_ratio(self, now: int) -> float:
        """Return the ratio of present members to those that are expected."""
        return self.present_count() / max(self._expected_size(now), 1)

    def presence(self, now: int, ident: int) -> Presence:
        """Return whether a member is running."""
        detector = self._detector
        if ident == detector.local.ident:
            is_superseded = detector.local.superseded_by is not None
            return Presence.UNKNOWN if is_superseded else Presence.PRESENT
        record = detector.table.records.get(ident)
        if record is None:
            return Presence.UNKNOWN
        if record.state is MemberState.LEFT:
            return Presence.ABSENT  # by its own message, which isolation does not put in doubt
        if self.is_isolated:
            return Presence.UNKNOWN
        if record.state is MemberState.DEAD:
            return Presence.ABSENT
        is_unstable = detector.membership.flaps.unstable_until(ident) > now
        if record.state is MemberState.SUSPECT or is_unstable:
            return Presence.UNKNOWN
        return Presence.PRESENT

    def max_cluster_size(self, now: int, configured_size: int) -> int:
        """Return the most members that may be running, by which shared resources are divided.

        While this process is isolated: the larger of the configured and the recent size.
        """
        if self.is_isolated:
            return max(self._expected_size(now), configured_size)
        return self._detector.table.cluster_size

    def ended_generations(self, now: int, limit: int) -> tuple[ProcessGeneration, ...]:
        """Return the generations of absent members, the latest first."""
        table = self._detector.table
        ended: list[ProcessGeneration] = []
        for ident in reversed(table.tombstones):
            if len(ended) == limit:
                break
            if self.presence(now, ident) is Presence.ABSENT:
                ended.append(ProcessGeneration(ident, table.records[ident].generation))
        return tuple(ended)

    def members(self, now: int) -> Iterable[MemberView]:
        """Yield all known members, for operators."""
        for ident, record in sorted(self._detector.table.records.items()):
            last_heard = self._detector.last_heard.get(ident)
            suspicion = self._detector.suspicions.get(ident)
            yield MemberView(
                ident,
                self.presence(now, ident),
                record,
                None if last_heard is None else now - last_heard,
                None if suspicion is None else now - suspicion.since,
                () if suspicion is None else tuple(sorted(suspicion.reporters)),
            )
