"""What one process may spend of a budget by now; no I/O, whole numbers, no message and no allocation on the way.

Promise: in any span a purse gives out no more than its parts' rates over the time that each was held, and what it had
saved up when the span began; and it saves up no more than the bursts of the parts held by then, and one unit.  A part
is looked at when it is spent: one that has ended meanwhile, also while this process stood still, is gone by then.
"""

from __future__ import annotations

from collections.abc import Sequence

from topazbank.quota.rules import Part

_NANO = 1_000_000_000  # of a unit: a rate in thousandths a second over microseconds comes out even
_NEVER = 1 << 62


class RatePurse:
    """A bucket that fills at the floor's rate and that of each part, until that part's end; it starts empty."""

    __slots__ = (
        "_at",
        "_depth",
        "_drift_ppm",
        "_floor",
        "_next_end",
        "_parts",
        "_rate",
        "_saved",
        "refused",
        "spent",
    )

    def __init__(self, now: int, floor: int, drift_ppm: int) -> None:
        """`floor`: thousandths of a unit a second, for good.  `drift_ppm`: this clock may run ahead by so much."""
        self._floor = floor
        self._drift_ppm = drift_ppm
        self._at = now
        self._saved = 0
        self._parts: list[tuple[int, Part]] = []  # one a keeper: ends, and what
        self._rate, self._depth, self._next_end = floor, _NANO, _NEVER
        self.spent = self.refused = 0

    def spend(self, now: int) -> bool:
        """Take one unit, if there is one."""
        self.advance(now)
        if self._saved >= _NANO:
            self._saved -= _NANO
            self.spent += 1
            return True
        self.refused += 1
        return False

    def hold(self, now: int, parts: Sequence[tuple[int, Part]]) -> None:
        """From now on these are the parts, each with its end."""
        self.advance(now)
        self._parts = [each for each in parts if each[0] > now]
        self._settle()

    def advance(self, now: int) -> None:
        """Save up until now, part by part as they end."""
        while self._next_end <= now:
            self._save(self._next_end)
            self._parts = [each for each in self._parts if each[0] > self._at]
            self._settle()
        self._save(now)

    def _save(self, until: int) -> None:
        lapse = until - self._at
        if lapse > 0:
            self._at = until
            saved = self._saved + self._rate * (lapse - lapse * self._drift_ppm // 1_000_000)
            self._saved = saved if saved < self._depth else self._depth

    def _settle(self) -> None:
        self._rate = self._floor + sum(part.amount for _, part in self._parts)
        self._depth = _NANO * (1 + sum(part.burst for _, part in self._parts))
        self._next_end = min((end for end, _ in self._parts), default=_NEVER)
        self._saved = min(self._saved, self._depth)

    @property
    def rate(self) -> int:
        """Thousandths a second, as of when it was last looked at."""
        return self._rate


class StockPurse:
    """Units that are out at one time."""

    __slots__ = ("_floor", "_parts", "out", "refused", "spent")

    def __init__(self, floor: int) -> None:
        self._floor = floor
        self._parts: list[tuple[int, Part]] = []
        self.out = 0
        self.spent = self.refused = 0

    def spend(self, now: int) -> bool:
        """Take one unit out, if there is room."""
        if self.out >= self.room(now):
            self.refused += 1
            return False
        self.out += 1
        self.spent += 1
        return True

    def release(self) -> None:
        """One that was out has ended."""
        self.out = max(self.out - 1, 0)

    def hold(self, now: int, parts: Sequence[tuple[int, Part]]) -> None:
        self._parts = [each for each in parts if each[0] > now]

    def room(self, now: int) -> int:
        """How many may be out by now."""
        return self._floor + sum(part.amount for end, part in self._parts if end > now)
