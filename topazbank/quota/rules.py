"""What a budget is, and the times that its promise hangs on; no I/O.

Amounts are whole numbers: of a rate thousandths of a unit a second, of a stock units; a burst counts whole units.
Times are microseconds of the process's own clock, of which one thing alone is assumed: the rates of two of them differ
by no more than `drift_ppm`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

RATE, STOCK = "rate", "stock"
KINDS = (RATE, STOCK)
THOUSANDTHS = 1000
DRIFT_PPM = 10_000  # 1 %: quartz is off by a fifty-thousandth, a virtual machine that is moved by far more
RENEWALS = 5  # in a lease: four may be lost before the part is
KEEPERS_MOST = 16


class Part(NamedTuple):
    """A part of a budget: its amount, and of a rate the burst that goes with it."""

    amount: int
    burst: int = 0

    def __bool__(self) -> bool:
        return self.amount > 0 or self.burst > 0


NOTHING = Part(0, 0)


@dataclass(frozen=True, slots=True)
class Quota:
    """One budget, as all of a fleet are told of it."""

    name: str
    kind: str = RATE
    whole: int = 0  # units a second, or units
    burst: int = 0  # of a rate: units beyond it, by all together
    floor: int = 0  # that each process has without asking: thousandths a second, or units
    members: int = 1  # processes that may exist at once, both of each upgrade among them
    keepers: tuple[str, ...] = ()  # members that give out the rest, each its own slice; none: floors are all
    lease_us: int = 5_000_000
    silence_us: int = 0  # that a keeper without memory says nothing new; 0: a lease's time
    longest_us: int = 0  # of a stock: by when a unit has ended, whether its holder lives or not
    drift_ppm: int = DRIFT_PPM

    @property
    def amount(self) -> int:
        return self.whole * (THOUSANDTHS if self.kind == RATE else 1)

    @property
    def shared(self) -> Part:
        """What is left beside all floors."""
        burst = self.burst - self.members if self.kind == RATE else 0
        return Part(self.amount - self.floor * self.members, burst)

    def slice_of(self, keeper: str) -> Part:
        """What this keeper may give out: the slices of all add up to what is shared, whoever reckons."""
        if keeper not in self.keepers:
            return NOTHING
        count, number = len(self.keepers), self.keepers.index(keeper)
        shared = self.shared
        return Part(_slice(shared.amount, count, number), _slice(shared.burst, count, number))

    def counted_us(self, lease_us: int) -> int:
        """For so long the giver counts a lease: by any two clocks the holder has stopped by then."""
        return lease_us + lease_us * self.drift_ppm // 1_000_000 + 1 + self.longest_us

    @property
    def quiet_us(self) -> int:
        """For so long a keeper that has lost its memory gives nothing new."""
        return self.counted_us(max(self.lease_us, self.silence_us))

    def check(self) -> None:
        """Raise ValueError where the promise could not hold, naming the field and the remedy."""
        if self.kind not in KINDS:
            raise ValueError(f"kind: {' or '.join(KINDS)} is wanted, not {self.kind!r:.40}")
        if self.kind == RATE and self.burst < self.members:
            raise ValueError(
                f"burst: {self.members} at least is wanted, as each of the {self.members} members may save up one unit"
            )
        if self.kind == STOCK and not self.longest_us:
            raise ValueError(
                "longest_s: wanted of a stock: by when the far end ends a unit whose holder stands still"
            )
        if self.floor * self.members > self.amount:
            raise ValueError(
                f"floor: the floors of {self.members} members are more than the whole; a lower one is wanted"
            )
        if len(set(self.keepers)) != len(self.keepers) or len(self.keepers) > KEEPERS_MOST:
            raise ValueError(f"keepers: {KEEPERS_MOST} different names at most are wanted")


def _slice(whole: int, count: int, number: int) -> int:
    return whole // count + (number < whole % count)


def total(parts: Iterable[Part]) -> Part:
    """What parts add up to."""
    amount = burst = 0
    for each in parts:
        amount += each.amount
        burst += each.burst
    return Part(amount, burst)
