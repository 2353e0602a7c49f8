"""The local member's own state: its generation, incarnation, and whether it takes part; no I/O."""

from __future__ import annotations

from topazbank.cluster.member import INCARNATION_MAX, MemberRecord, MemberState

JOIN_WINDOW_US = 2_000_000  # after a start: a later generation of the own name is then a former process's
_SEQUENCE_GAP = 1_000_000  # messages that a predecessor may have sent after its state was handed over


class LocalMember:
    """What this member reports of itself."""

    __slots__ = ("_sequence", "generation", "ident", "incarnation", "left", "started_at", "superseded_by")

    def __init__(self, ident: int, generation: int, now: int) -> None:
        self.ident = ident
        self.generation = generation
        self.incarnation = 0
        self.left = False
        self.superseded_by: int | None = None  # the generation of another process that has this name
        self.started_at = now  # microseconds
        self._sequence = 0

    @property
    def is_active(self) -> bool:
        """Whether this member takes part in the protocol."""
        return not self.left and self.superseded_by is None

    @property
    def short_ident(self) -> int:
        """The 16 bits by which this member is named as a suspicion's reporter."""
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
        """Whether this member started so recently that it may not know its cluster yet."""
        return now - self.started_at < JOIN_WINDOW_US

    def next_sequence(self) -> int:
        """Return the number of the next message."""
        self._sequence += 1
        return self._sequence

    def raise_incarnation(self) -> None:
        """Supersede all records of this member, by a new generation where the incarnations are used up."""
        if self.incarnation >= INCARNATION_MAX:
            self.begin_generation(self.generation + 1)
        else:
            self.incarnation += 1

    def begin_generation(self, generation: int) -> None:
        """Continue under a newer generation."""
        self.generation = generation
        self.incarnation = 0

    def continue_generation(self, now: int, generation: int, incarnation: int, sequence: int) -> None:
        """Take over a predecessor's generation; this member has long joined."""
        self.generation = generation
        self.incarnation = min(incarnation + 1, INCARNATION_MAX)
        self._sequence = sequence + _SEQUENCE_GAP
        self.started_at = now - JOIN_WINDOW_US

    def resume(self) -> None:
        """Take part again, after a successor with this generation has ended."""
        self.left = False
        self.superseded_by = None
        self._sequence += _SEQUENCE_GAP
