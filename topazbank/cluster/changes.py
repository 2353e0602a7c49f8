"""State changes of members, for the log, the status and the view; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from topazbank.cluster.member import MemberRecord, MemberState

CHANGES_MAX = 1024  # not yet taken by the service; further changes are dropped


class ChangeReason(Enum):
    """Why a member's state has changed."""

    REPORTED = "reported by another member"
    OWN_MESSAGE = "its own message"
    PROBE_FAILED = "a probe was not answered"
    SUSPICION_TIMEOUT = "not heard within the suspicion timeout"
    LONG_SILENCE = "not heard for long"
    TOMBSTONE_EXPIRED = "dead for long"
    NAME_TAKEN = "another process has this name"


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A state change of one member."""

    at: int  # microseconds
    ident: int
    old: MemberState | None  # None: the member was unknown
    new: MemberState | None  # None: the member is forgotten
    record: MemberRecord
    reason: ChangeReason


class ChangeLog:
    """Changes that the service has not taken yet, at most CHANGES_MAX."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        self._changes: list[MemberChange] = []

    def add(
        self,
        now: int,
        old: MemberState | None,
        new: MemberState | None,
        record: MemberRecord,
        reason: ChangeReason,
    ) -> None:
        """Append a state change of the record's member."""
        if len(self._changes) < CHANGES_MAX:
            self._changes.append(MemberChange(now, record.ident, old, new, record, reason))

    def take(self) -> list[MemberChange]:
        """Remove and return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes
