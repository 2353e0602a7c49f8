"""Budgets in played time: the deciding modules alone, on a network of a seed, with clocks that differ, to thousands.

The promise is judged from outside: what all purses gave out against one bucket of the whole, and at moments between the
parts that anybody might spend by.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from testbed.virtual_time import PlayedTime
from topazbank.quota.lease import Given
from topazbank.quota.lease_client import Holder, Word
from topazbank.quota.lease_server import Keeper
from topazbank.quota.rules import THOUSANDTHS, Quota
from topazbank.quota.wire import Envelope, Kind, encode

TICK_S = 0.1  # as the service's
EPSILON = 1e-6

Demand = Callable[[float, int], float]  # wanted a second, at this time, by this member


@dataclass(slots=True, eq=False)
class Life:
    """One process."""

    number: int
    life: int
    holder: Holder
    keeper: Keeper | None
    pace: float  # of its clock, by true time
    stopped_until: float = 0.0
    waiting: list[Callable[[], None]] = field(default_factory=list)

    def us(self, now: float) -> int:
        return int((1000.0 + now) * self.pace * 1e6)


@dataclass(slots=True)
class Result:
    """What came of a play."""

    spent: int = 0
    wanted: float = 0.0
    possible: float = (
        0.0  # by who knew all demand at once: the whole's rate, or what is wanted where that is less
    )
    messages: int = 0
    bytes: int = 0
    ahead: float = 0.0  # of the whole's rate
    held: float = 0.0  # most at once, of the whole
    breaches: list[str] = field(default_factory=list)


class Fleet(PlayedTime):
    """Members 0 to n - 1, of which the budget's keepers are the first."""

    def __init__(self, budget: Quota, members: int, demand: Demand, seed: int, look_s: float = 0.05) -> None:
        super().__init__(seed)
        self.budget, self.demand = budget, demand
        self.result = Result()
        self.lives: dict[int, Life] = {}
        self._look_s = look_s
        self._level, self._level_at = 0.0, 0.0
        self._keepers = {name: int(name) for name in budget.keepers}
        for number in range(members):
            self.start(number, fresh=True)
        self.at(look_s, self._look)

    # -- Time and processes ----------------------------------------------------------------------------

    def play(self, until: float) -> Result:
        self.run(until)
        return self.result

    def start(self, number: int, fresh: bool = False) -> None:
        """`fresh`: at the beginning of all, when nothing can have been given yet."""
        drift = self.budget.drift_ppm / 1e6
        pace = 1.0 + drift * (self.random.random() - 0.5) * 0.99
        life = Life(number, self.random.getrandbits(48), Holder(self.budget, str(number), 0), None, pace)
        now = life.us(self.now)
        life.holder = Holder(self.budget, str(number), now)
        if str(number) in self._keepers:
            slice_ = self.budget.slice_of(str(number))
            life.keeper = Keeper(self.budget, slice_, now, [] if fresh else None)
        self.lives[number] = life
        self.at(self.now + TICK_S * self.random.random(), lambda: self._tick(life))

    def kill(self, number: int) -> None:
        self.lives.pop(number, None)

    def stop(self, number: int, span: float) -> None:
        life = self.lives.get(number)
        if life is not None:
            life.stopped_until = self.now + span
            self.at(life.stopped_until, lambda: self._wake(life))

    def _wake(self, life: Life) -> None:
        if self._is_there(life) and life.stopped_until <= self.now:
            waiting, life.waiting = life.waiting, []
            for do in waiting:
                do()

    def _is_there(self, life: Life) -> bool:
        return self.lives.get(life.number) is life

    def _tick(self, life: Life) -> None:
        if not self._is_there(life):
            return
        if life.stopped_until > self.now:
            self.at(life.stopped_until, lambda: self._tick(life))
            return
        now = life.us(self.now)
        wanted = self.demand(self.now, life.number) * TICK_S
        count = int(wanted) + (self.random.random() < wanted % 1.0)
        for _ in range(count):
            if life.holder.purse.spend(now):
                self._count()
        for word in life.holder.tick(now):
            self._post(life, word)
        self.at(self.now + TICK_S, lambda: self._tick(life))

    # -- Judgement -------------------------------------------------------------------------------------

    def _count(self) -> None:
        result, whole = self.result, self.budget.amount / THOUSANDTHS
        result.spent += 1
        self._level = max(self._level - whole * (self.now - self._level_at), 0.0) + 1.0
        self._level_at = self.now
        result.ahead = max(result.ahead, self._level)
        # A tick's demand is spent at once, and a purse may have filled for a tick since it was last looked at.
        if self._level > self.budget.burst + EPSILON and len(result.breaches) < 10:
            result.breaches.append(f"at {self.now:.3f} s {self._level:.1f} ahead of the whole")

    def _look(self) -> None:
        self.at(self.now + self._look_s, self._look)
        wanted = sum(self.demand(self.now, number) for number in self.lives)
        self.result.wanted += wanted * self._look_s
        self.result.possible += min(wanted, self.budget.whole) * self._look_s
        held = self.budget.floor * self.budget.members
        for life in self.lives.values():
            now = life.us(self.now)
            held += sum(lease.holding(now).amount for lease in life.holder.leases.values())
        self.result.held = max(self.result.held, held / max(self.budget.amount, 1))
        if held > self.budget.amount and len(self.result.breaches) < 10:
            self.result.breaches.append(f"at {self.now:.3f} s {held} held of {self.budget.amount}")

    # -- Words -----------------------------------------------------------------------------------------

    def _post(self, life: Life, word: Word) -> None:
        keeper = self._keepers[word.keeper]
        who = (life.number, life.life)
        envelope = Envelope(Kind.BACK if word.back else Kind.ASK, life.number, life.life, 1, ask=word.ask)
        self._carry(life.number, keeper, envelope, lambda: self._asked(keeper, who, word))

    def _asked(self, number: int, who: tuple[int, int], word: Word) -> None:
        life = self.lives.get(number)
        if life is None or life.keeper is None:
            return
        if life.stopped_until > self.now:
            life.waiting.append(lambda: self._asked(number, who, word))
            return
        now = life.us(self.now)
        if word.back:
            life.keeper.give_back(now, who, word.ask)
            return
        given = life.keeper.ask(now, who, word.ask)
        if given is not None:
            envelope = Envelope(Kind.GIVEN, number, who[1], 1, given=given)
            self._carry(number, who[0], envelope, lambda: self._given(who, word.keeper, given))

    def _given(self, who: tuple[int, int], keeper: str, given: Given) -> None:
        life = self.lives.get(who[0])
        if life is None or life.life != who[1]:
            return
        if life.stopped_until > self.now:
            life.waiting.append(lambda: self._given(who, keeper, given))
            return
        life.holder.take(life.us(self.now), keeper, given)

    def _carry(self, sender: int, to: int, envelope: Envelope, deliver: Callable[[], None]) -> None:
        if sender == to:
            deliver()
            return
        self.result.messages += 1
        self.result.bytes += len(encode(envelope))
        self.carry(sender, to, deliver)


def troubled(seed: int, seconds: float = 20.0) -> Result:
    """A small fleet under faults by chance: kills, stops, cuts, losses, delays, restarts, and demand that moves."""
    chance = random.Random(seed)
    members, keepers = chance.randint(2, 7), chance.randint(1, 3)
    names = tuple(str(each) for each in range(min(keepers, members)))
    budget = Quota(
        "b", whole=40, burst=4 * members, floor=500, members=members, keepers=names, lease_us=2_000_000
    )
    greedy = chance.random() < 0.3

    def demand(now: float, number: int) -> float:
        turn = int(now / 1.0) % members
        return 200.0 if greedy else 60.0 if number == turn else 2.0

    fleet = Fleet(budget, members, demand, seed)

    def fault() -> None:
        number = chance.randrange(members)
        kind = chance.choice(("kill", "start", "stop", "cut", "heal", "loss", "delay", "doubled", "calm"))
        if kind == "kill":
            fleet.kill(number)
        elif kind == "start" and number not in fleet.lives:
            fleet.start(number)
        elif kind == "stop":
            fleet.stop(number, chance.uniform(0.1, 6.0))
        elif kind == "cut":
            fleet.faults.cuts.add((number, chance.randrange(members)))
        elif kind == "heal":
            fleet.faults.cuts.clear()
        elif kind == "calm":
            fleet.faults.loss = fleet.faults.delay_s = fleet.faults.doubled = 0.0
        elif kind in ("loss", "doubled"):
            setattr(fleet.faults, kind, chance.choice((0.2, 0.4)))
        elif kind == "delay":
            fleet.faults.delay_s = chance.choice((0.5, 3.0))
        fleet.at(fleet.now + chance.uniform(0.05, 1.0), fault)

    fleet.at(1.0, fault)
    return fleet.play(seconds)
