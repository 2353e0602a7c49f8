"""The local member's state: its generation, its incarnation and whether it is active; no I/O."""

from __future__ import annotations

from topazbank.cluster.member import INCARNATION_MAX, MemberRecord, MemberState

JOIN_WINDOW_US = 2_000_000  # after a start; a later generation of this name is then an earlier process's
_SEQUENCE_GAP = 1_000_000  # exceeds the messages a predecessor can send after handing over its state


class LocalMember:
    """What this member reports about itself."""

    __slots__ = ("_sequence", "generation", "ident", "incarnation", "left", "started_at", "superseded_by")

    def __init__(self, ident: int, generation: int, now: int) -> None:
        self.ident = ident
        self.generation = generation
        self.incarnation = 0
        self.left = False
        self.superseded_by: int | None = None  # generation of another process with this name
        self.started_at = now  # microseconds
        self._sequence = 0

    @property
    def is_active(self) -> bool:
        """Whether this member participates in the protocol."""
        return not self.left and self.superseded_by is None

    @property
    def short_ident(self) -> int:
        """The 16 bits of the ident that identify this member as the reporter of a suspicion."""
        return self.ident & 0xFFFF

    @property
    def sequence(self) -> int:
        """The number of messages sent in this generation."""
        return self._sequence

    @property
    def record(self) -> MemberRecord:
        """This member's record of itself."""
        state = MemberState.LEFT if self.left else MemberState.ALIVE
        return MemberRecord(self.ident, self.generation, self.incarnation, state)

    def is_joining(self, now: int) -> bool:
        """Whether this member started so recently that it may not know the cluster yet."""
        return now - self.started_at < JOIN_WINDOW_US

    def next_sequence(self) -> int:
        """Return the sequence number of the next message."""
        self._sequence += 1
        return self._sequence

    def raise_incarnation(self) -> None:
        """Supersede all records of this member; begin a new generation once the incarnations are exhausted."""
        if self.incarnation >= INCARNATION_MAX:
            self.begin_generation(self.generation + 1)
        else:
            self.incarnation += 1

    def begin_generation(self, generation: int) -> None:
        """Switch to a newer generation."""
        self.generation = generation
        self.incarnation = 0

    def continue_generation(self, now: int, generation: int, incarnation: int, sequence: int) -> None:
        """Continue a predecessor's generation; this member then counts as joined already."""
        self.generation = generation
        self.incarnation = min(incarnation + 1, INCARNATION_MAX)
        self._sequence = sequence + _SEQUENCE_GAP
        self.started_at = now - JOIN_WINDOW_US

    def resume(self) -> None:
        """Become active again after a successor with this generation has ended."""
        self.left = False
        self.superseded_by = None
        self._sequence += _SEQUENCE_GAP
