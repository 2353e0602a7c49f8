"""One process's part in one budget: what it wants, whom it asks and when, and its purse; no I/O.

It asks its keepers, each for an equal share of what it wants, while it wants anything or holds anything: a process that
needs no more than its floor sends nothing.  With many keepers it asks the few that its name falls to, so that a keeper
hears of a bounded number of processes.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass

from topazbank.quota.lease import Ask, Given, Lease
from topazbank.quota.rules import RATE, RENEWALS, THOUSANDTHS, Quota
from topazbank.quota.token_bucket import RatePurse, StockPurse

ASKED_AT_ONCE = 3  # keepers that one holder asks
HEADROOM = 1.25  # beyond what was wanted: growth is met before the next renewal
HALF_LIFE = 0.15  # of a lease: what was wanted a while ago counts half after it
SOON = 4  # in a renewal's time: how often it asks at most, while it is refused


@dataclass(frozen=True, slots=True)
class Word:
    """What is to be sent to a keeper; `back`: it gives back all that it holds."""

    keeper: str
    ask: Ask
    back: bool = False


class Holder:
    """What one life of a process holds of one budget."""

    def __init__(self, budget: Quota, name: str, now: int) -> None:
        self.budget = budget
        self.purse: RatePurse | StockPurse = (
            RatePurse(now, budget.floor, budget.drift_ppm)
            if budget.kind == RATE
            else StockPurse(budget.floor)
        )
        self.leases = {keeper: Lease() for keeper in _nearest(name, budget.keepers)}
        self._want = 0.0  # units a second, or units
        self._seen = (0, 0)  # spent and refused, when it last looked
        self._looked_at = now
        self._asked_at = now - budget.lease_us
        self._period = budget.lease_us // RENEWALS

    def due(self, now: int) -> bool:
        """Whether it is time to ask: each renewal's time, and sooner where it was refused since."""
        since = now - self._asked_at
        return since >= self._period or (since * SOON >= self._period and self.purse.refused > self._seen[1])

    def tick(self, now: int) -> list[Word]:
        """The questions that are due."""
        if not self.due(now) or not self.leases:
            return []
        self._look(now)
        self._asked_at = now
        want = max(math.ceil(self._want * HEADROOM * self._unit) - self.budget.floor, 0)
        if not want and not any(each.holding(now) for each in self.leases.values()):
            return []
        share = self._share(now, want)
        return [Word(keeper, lease.ask(now, share)) for keeper, lease in self.leases.items()]

    @property
    def _unit(self) -> int:
        return THOUSANDTHS if self.budget.kind == RATE else 1

    def _share(self, now: int, want: int) -> int:
        """What each keeper is asked for: those that are silent are asked too, and not counted on."""
        late = 2 * self.budget.lease_us
        answering = sum(
            each.answered_at is not None and now - each.answered_at < late for each in self.leases.values()
        )
        return -(-want // (answering or len(self.leases)))

    def _look(self, now: int) -> None:
        """Follow what was wanted since: up at once, down by halves."""
        lapse = max(now - self._looked_at, 1)
        spent, refused = self.purse.spent, self.purse.refused
        wanted = float(spent - self._seen[0] + refused - self._seen[1])
        if isinstance(self.purse, RatePurse):
            wanted *= 1e6 / lapse
        else:
            wanted = self.purse.out + refused - self._seen[1]
        faded = self._want * 0.5 ** (lapse / (HALF_LIFE * self.budget.lease_us))
        self._want = max(wanted, faded) if max(wanted, faded) * self._unit >= 1.0 else 0.0
        self._seen, self._looked_at = (spent, refused), now

    def take(self, now: int, keeper: str, given: Given) -> bool:
        """A keeper has answered."""
        lease = self.leases.get(keeper)
        if lease is None or not lease.take(now, given):
            return False
        self._settle(now)
        return True

    def give_back(self, now: int) -> list[Word]:
        """This process ends: what it holds may be others' at once.  It can be lost, and then the leases run out."""
        words = [Word(k, each.give_back(now), True) for k, each in self.leases.items() if each.holding(now)]
        self._settle(now)
        return words

    def _settle(self, now: int) -> None:
        self.purse.hold(now, [(each.until, each.part) for each in self.leases.values()])

    def holding(self, now: int) -> int:
        """The amount of all parts held by now, the floor among them."""
        return self.budget.floor + sum(each.holding(now).amount for each in self.leases.values())


def _nearest(name: str, keepers: Iterable[str]) -> list[str]:
    """The keepers that fall to this name by rendezvous: few names move when a keeper comes or goes."""
    ranked = sorted(
        keepers, key=lambda each: hashlib.blake2b(f"{name}\0{each}".encode(), digest_size=8).digest()
    )
    return ranked[:ASKED_AT_ONCE]
