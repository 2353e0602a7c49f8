"""What the rest of the program reads of its tier: who is here, who is not, and of whom it can't be told; no I/O.

The promise.  "Not here" is said only of who left by its own word, or has been unheard by all for longer than a pause
lasts, by a process that hears more than half of its tier.  Where that does not hold the answer is "can't tell", and
whoever depends on it takes the safe side.  `at_most` is the safe side of the tier's size.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from topazbank.cluster.failure_detector import BASE_SPAN_US, FailureDetector
from topazbank.cluster.member import MemberRecord, MemberState
from topazbank.cluster.settings import JOINING_US

SETTLED_PERIODS = 3  # for so long a process that was cut off goes on to say so


class Answer(Enum):
    """Whether a member is here."""

    HERE = "here"
    NOT_HERE = "not here"
    CANT_TELL = "can't tell"


@dataclass(frozen=True, slots=True)
class Seen:
    """One member as it is seen, for operators."""

    ident: int
    answer: Answer
    record: MemberRecord
    age_us: int | None  # since its last word; None: none was had
    suspected_us: int | None  # since when it is suspected
    witnesses: tuple[int, ...] = ()  # 16 bits of the ident of each who suspects it


class View:
    """A detector's verdicts, read with doubt."""

    __slots__ = ("_calm_at", "_detector", "_number", "_seen", "cut_off")

    def __init__(self, detector: FailureDetector) -> None:
        self._detector = detector
        self._number = 0
        self._seen: tuple[int, int, int, bool] | None = None
        self._calm_at = 0  # when it was last cut off, or first looked at
        self.cut_off = True  # nothing was heard yet

    def look(self, now: int) -> bool:
        """See what holds by now; whether anything has changed."""
        off = self._is_cut_off(now)
        if off:
            self._calm_at = now
        settled = now - self._calm_at >= SETTLED_PERIODS * self._detector.rules.period_us
        self.cut_off = off or (self.cut_off and not settled)
        detector = self._detector
        seen = (detector.digest, len(detector.table.gone), detector.unsteady(now), self.cut_off)
        changed = seen != self._seen
        self._number += changed
        self._seen = seen
        return changed

    def _is_cut_off(self, now: int) -> bool:
        detector = self._detector
        if detector.taken_by is not None or detector.left:
            return True
        if detector.is_doubting(now) or detector.hears_nobody(now) or detector.is_unheard(now):
            return True
        base = self._base(now)
        if base == 1:
            return False  # a tier of one, as far as it was told
        if detector.table.counted == 0 and now - detector.began < JOINING_US:
            return True
        return 2 * self.here() <= base

    def _base(self, now: int) -> int:
        """Members that were here of late, and at a start those that it was told of."""
        base = self._detector.base(now)
        if now - self._detector.began < BASE_SPAN_US:
            base = max(base, self._detector.seeds + 1)
        return base

    # -- What others ask -------------------------------------------------------------------------------

    @property
    def number(self) -> int:
        """Grows with each change of what is answered."""
        return self._number

    def here(self) -> int:
        """Members that answer, this one among them."""
        return self._detector.size - len(self._detector.suspicions)

    def sure(self, now: int) -> float:
        """The part of the tier that is here, of all that were of late: 1 where nobody is missed."""
        return self.here() / max(self._base(now), 1)

    def of(self, now: int, ident: int) -> Answer:
        """Whether this member is here."""
        detector = self._detector
        if ident == detector.me:
            return Answer.HERE if detector.taken_by is None else Answer.CANT_TELL
        record = detector.table.records.get(ident)
        if record is None:
            return Answer.CANT_TELL
        if record.state is MemberState.LEFT:
            return Answer.NOT_HERE  # its own word, whoever else is heard
        if record.state is MemberState.GONE:
            return Answer.CANT_TELL if self.cut_off else Answer.NOT_HERE
        if record.state is MemberState.SUSPECTED or detector.hold_until(ident) > now:
            return Answer.CANT_TELL
        return Answer.CANT_TELL if self.cut_off else Answer.HERE

    def at_most(self, now: int, told: int) -> int:
        """Members that may be here: who shares something with them divides by this.

        `told`: what the settings say; it holds while this process is cut off, together with all that were of late.
        """
        if self.cut_off:
            return max(self._base(now), told)
        return self._detector.size

    def members(self, now: int) -> Iterable[Seen]:
        """All that are known, for operators."""
        for ident, record in sorted(self._detector.table.records.items()):
            word, suspicion = self._detector.word_at(ident), self._detector.suspicions.get(ident)
            yield Seen(
                ident,
                self.of(now, ident),
                record,
                None if word is None else now - word,
                None if suspicion is None else now - suspicion.since,
                () if suspicion is None else tuple(sorted(suspicion.witnesses)),
            )
