"""The view of the cluster that the rest of the program reads: present, absent and unknown members; no I/O.

Guarantee: a member is reported absent only if it announced that it left, or if it was declared dead while this process
reaches a majority of the cluster.  Otherwise its presence is unknown, and callers use the conservative assumption.
`max_cluster_size` is the conservative cluster size.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.member import MemberRecord, MemberState, ProcessGeneration
from topazbank.cluster.quorum import RECENT_US

_SETTLE_PERIODS = 3  # probe periods without a sign of isolation before isolation ends


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
    last_heard_age_us: int | None  # time since any member last heard it; None: never
    suspected_us: int | None  # time since it became suspect; None: not suspect
    reporters: tuple[int, ...] = ()  # short idents of the members that suspect it


class _Snapshot(NamedTuple):
    """Inputs of the view; the view has changed if any of them differs."""

    digest: int
    tombstones: int
    unstable: int
    is_isolated: bool


class View:
    """Presence of members according to the failure detector, and how far this process can rely on it."""

    __slots__ = ("_detector", "_isolated_at", "_snapshot", "_version", "is_isolated")

    def __init__(self, detector: FailureDetector) -> None:
        self._detector = detector
        self._version = 0
        self._snapshot: _Snapshot | None = None
        self._isolated_at = 0
        self.is_isolated = True  # initially, before any message is received

    def refresh(self, now: int) -> bool:
        """Update the view from the detector's state; return whether it has changed."""
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
            return False  # no other member is known or configured
        if detector.table.live_count == 0 and detector.local.is_joining(now):
            return True
        return 2 * self.present_count() <= expected

    def _expected_size(self, now: int) -> int:
        """Return the recent cluster size; shortly after the start, at least the configured size."""
        expected = self._detector.quorum.recent_size(now)
        if now - self._detector.local.started_at < RECENT_US:
            expected = max(expected, len(self._detector.seeds) + 1)
        return expected

    @property
    def version(self) -> int:
        """The version of the view, incremented with each change."""
        return self._version

    def present_count(self) -> int:
        """Return the number of members that are alive and not suspect, the local one included."""
        return self._detector.table.cluster_size - len(self._detector.suspicions)

    def present_ratio(self, now: int) -> float:
        """Return the ratio of present members to expected members."""
        return self.present_count() / max(self._expected_size(now), 1)

    def presence(self, now: int, ident: int) -> Presence:
        """Return whether a member is running, as far as this process can know."""
        detector = self._detector
        if ident == detector.local.ident:
            is_superseded = detector.local.superseded_by is not None
            return Presence.UNKNOWN if is_superseded else Presence.PRESENT
        record = detector.table.records.get(ident)
        if record is None:
            return Presence.UNKNOWN
        if record.state is MemberState.LEFT:
            return Presence.ABSENT  # it announced this itself, so isolation doesn't matter
        if self.is_isolated:
            return Presence.UNKNOWN
        if record.state is MemberState.DEAD:
            return Presence.ABSENT
        is_unstable = detector.membership.flaps.unstable_until(ident) > now
        if record.state is MemberState.SUSPECT or is_unstable:
            return Presence.UNKNOWN
        return Presence.PRESENT

    def max_cluster_size(self, now: int, configured_size: int) -> int:
        """Return an upper bound on the running members; shared resources are divided by it.

        While this process is isolated, this is the larger of the configured and the expected size.
        """
        if self.is_isolated:
            return max(self._expected_size(now), configured_size)
        return self._detector.table.cluster_size

    def ended_generations(self, now: int, limit: int) -> tuple[ProcessGeneration, ...]:
        """Return up to `limit` generations of absent members, the latest first."""
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
