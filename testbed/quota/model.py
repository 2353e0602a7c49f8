"""Every order of events of a small world, on the deciding modules themselves: is more ever held than there is?

    python -m testbed.quota.model [--holders 3] [--depth 8] [--fault NAME]

Holders ask and give back, words are delivered in any order, twice or never, time passes, the keeper and holders restart
with and without memory.  A holder that stands still is one to whom nothing happens.  The holders' clocks run slow by
the whole drift that is allowed for.  States that were seen are not looked at again.  A breach is told as a story.

Beside all orders of a few events, `walks` plays long histories by chance.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Sequence
from copy import copy
from dataclasses import dataclass, field, replace
from functools import partial

from topazbank.quota.lease import Ask, Given, Lease
from topazbank.quota.lease_server import Answer, Holder, Keeper, Who
from topazbank.quota.rules import STOCK, Part, Quota

WHOLE = 3
LEASE = 8
BUDGET = Quota("model", STOCK, whole=WHOLE, members=0, keepers=("k",), lease_us=LEASE, drift_ppm=250_000)
STEP = 3  # of true time
FLYING_MOST = 3  # words that may be on their way at once; an older one is lost for a newer
RESTARTS_MOST = 1  # of the keeper, and of each holder


@dataclass(frozen=True, slots=True)
class Flying:
    """A word on its way."""

    to_keeper: bool
    holder: int
    life: int
    word: Ask | Given
    back: bool = False

    def __str__(self) -> str:
        what = "gives back" if self.back else "asks" if self.to_keeper else "is given"
        return f"h{self.holder}.{self.life} {what} {self.word}"


@dataclass(slots=True)
class World:
    """One state."""

    keeper: Keeper
    leases: list[Lease]
    lives: list[int]
    old: list[Lease] = field(
        default_factory=list
    )  # of processes that another was started beside: they may still spend
    now: int = 0
    flying: tuple[Flying, ...] = ()
    restarts: int = 0

    def slow(self) -> int:
        """The holders' clock: what the keeper's counts as 5, it counts as 4."""
        return self.now - self.now // 5

    def held(self) -> int:
        return sum(each.holding(self.slow()).amount for each in [*self.leases, *self.old])


@dataclass(frozen=True, slots=True)
class Fault:
    """A planted fault: what the world is made of instead."""

    keeper: Callable[..., Keeper] = Keeper
    lease: Callable[[], Lease] = Lease
    budget: Quota = BUDGET


def begin(holders: int, fault: Fault) -> World:
    slice_ = Part(WHOLE)
    return World(
        fault.keeper(fault.budget, slice_, 0, []), [fault.lease() for _ in range(holders)], [1] * holders
    )


Event = tuple[str, Callable[[World], None]]


def events(world: World, fault: Fault) -> list[Event]:
    """All that may come next."""
    found: list[Event] = [(f"{STEP} pass", _pass)]
    for holder, lease in enumerate(world.leases):
        for want in (WHOLE, 1) if lease.number == 0 or lease.part.amount <= 1 else (1, WHOLE):
            found.append((f"h{holder} asks for {want}", partial(_ask, holder=holder, want=want)))
        if lease.holding(world.slow()):
            found.append((f"h{holder} gives back", partial(_give_back, holder=holder)))
        if lease.number and world.lives[holder] <= RESTARTS_MOST and holder == 0:
            found.append(
                (f"h{holder} is started beside itself", partial(_restart, holder=holder, fault=fault))
            )
    for number, each in enumerate(world.flying):
        found.append((f"arrives: {each}", partial(_deliver, number=number, twice=False)))
        found.append((f"arrives, and may again: {each}", partial(_deliver, number=number, twice=True)))
    if world.restarts < RESTARTS_MOST:
        for memory in (False, True):
            name = f"the keeper is killed and started {'with' if memory else 'without'} its memory"
            found.append((name, partial(_lose, fault=fault, remembers=memory)))
    return found


def _clone(world: World) -> World:
    """A world of its own: answers and words are never changed in place."""
    keeper = copy(world.keeper)
    keeper.holders = {who: replace(each, answers=list(each.answers)) for who, each in keeper.holders.items()}
    keeper._dealt = dict(keeper._dealt)
    leases = [copy(each) for each in world.leases]
    for each in leases:
        each.asked = dict(each.asked)
    return replace(world, keeper=keeper, leases=leases, lives=list(world.lives), old=list(world.old))


def _fly(world: World, word: Flying) -> None:
    world.flying = (*world.flying, word)[-FLYING_MOST:]


def _pass(world: World) -> None:
    world.now += STEP


def _ask(world: World, holder: int, want: int) -> None:
    ask = world.leases[holder].ask(world.slow(), want)
    _fly(world, Flying(True, holder, world.lives[holder], ask))


def _give_back(world: World, holder: int) -> None:
    ask = world.leases[holder].give_back(world.slow())
    _fly(world, Flying(True, holder, world.lives[holder], ask, True))


def _restart(world: World, holder: int, fault: Fault) -> None:
    world.old.append(world.leases[holder])
    world.leases[holder] = fault.lease()
    world.lives[holder] += 1


def _deliver(world: World, number: int, twice: bool) -> None:
    each = world.flying[number]
    if not twice:
        world.flying = world.flying[:number] + world.flying[number + 1 :]
    if not each.to_keeper:
        if each.life == world.lives[each.holder] and isinstance(each.word, Given):
            world.leases[each.holder].take(world.slow(), each.word)
        return
    assert isinstance(each.word, Ask)
    who = (each.holder, each.life)
    if each.back:
        world.keeper.give_back(world.now, who, each.word)
        return
    given = world.keeper.ask(world.now, who, each.word)
    if given is not None:
        _fly(world, Flying(False, each.holder, each.life, given))


def _lose(world: World, fault: Fault, remembers: bool) -> None:
    world.restarts += 1
    known = remembered(world.keeper) if remembers else None
    world.keeper = fault.keeper(fault.budget, Part(WHOLE), world.now, known)


def remembered(keeper: Keeper) -> list[tuple[Who, int, Part, int]]:
    """What a keeper's store would have."""
    return [(who, a.number, a.part, a.until) for who, each in keeper.holders.items() for a in each.answers]


def _mark(world: World) -> str:
    """What tells one state from another: times count from now, and what no longer matters is left out."""
    keeper, now, slow = world.keeper, world.now, world.slow()
    holders = sorted(
        (who, each.last, [(a.number, a.part, a.until - now) for a in each.answers], each.want)
        for who, each in keeper.holders.items()
    )
    leases = [
        (
            each.number,
            each.held,
            each.part,
            max(each.until - slow, 0),
            [(n, at - slow) for n, at in each.asked.items()],
        )
        for each in world.leases
    ]
    leases += [(0, 0, each.part, max(each.until - slow, 0), []) for each in world.old]
    quiet = max(keeper.quiet_until - now, 0)
    dealt = (sorted(keeper._dealt.items()), max(keeper._deal_at - now, 0))
    state = (holders, quiet, dealt, leases, world.lives, world.flying, world.restarts, now % 5)
    return repr(state)


@dataclass(slots=True)
class Found:
    """What came of a search."""

    states: int = 0
    most: int = 0  # that was held at once
    story: list[str] = field(default_factory=list)  # of the first breach; empty: none


def search(
    holders: int = 3, depth: int = 6, fault: Fault | None = None, states_most: int = 2_000_000
) -> Found:
    """All orders of so many events, the shortest first."""
    fault = fault or Fault()
    first = begin(holders, fault)
    found = Found(states=1)
    seen: set[int] = {hash(_mark(first))}
    parents: list[tuple[int, str]] = [(-1, "")]
    queue = deque([(first, 0, 0)])
    while queue and found.states < states_most:
        world, number, steps = queue.popleft()
        for name, do in events(world, fault):
            after = _clone(world)
            do(after)
            mark = hash(_mark(after))
            if mark in seen:
                continue
            seen.add(mark)
            found.states += 1
            parents.append((number, name))
            held = after.held()
            found.most = max(found.most, held)
            if held > WHOLE:
                found.story = _story(parents, len(parents) - 1, after)
                return found
            if steps + 1 < depth:
                queue.append((after, len(parents) - 1, steps + 1))
    return found


def walks(count: int, steps: int = 40, fault: Fault | None = None, holders: int = 3, seed: int = 1) -> Found:
    """So many histories of so many events by chance."""
    fault = fault or Fault()
    chance = random.Random(seed)
    found = Found()
    for _ in range(count):
        world, told = begin(holders, fault), list[str]()
        for _ in range(steps):
            name, do = chance.choice(events(world, fault))
            do(world)
            told.append(name)
            found.states += 1
            held = world.held()
            found.most = max(found.most, held)
            if held > WHOLE:
                found.story = [*told, f"now {held} of {WHOLE} are held"]
                return found
    return found


def _story(parents: Sequence[tuple[int, str]], at: int, world: World) -> list[str]:
    told = []
    while at > 0:
        at, name = parents[at]
        told.append(name)
    held = ", ".join(f"h{n} holds {each.holding(world.slow()).amount}" for n, each in enumerate(world.leases))
    return [*reversed(told), f"now {held}: {world.held()} of {WHOLE}"]


# -- Planted faults -----------------------------------------------------------------------------------


class NoQuiet(Keeper):
    """Gives anew at once, though it has forgotten what it gave."""

    def __init__(self, budget: Quota, slice_: Part, now: int, remembered: object = None) -> None:
        super().__init__(budget, slice_, now, [])


class LowersAtOnce(Keeper):
    """Takes a smaller answer for the whole truth as soon as it is given."""

    def _add(self, holder: Holder, answer: Answer) -> None:
        holder.answers = []
        super()._add(holder, answer)


class WordIsReceipt(Keeper):
    """Takes a question for the holder's word that it holds all that it was given before."""

    def _heard(self, who: Who, ask: Ask) -> Holder | None:
        return super()._heard(who, replace(ask, held=ask.number))


class BackMeansAll(Keeper):
    """A word that all is given back also ends answers that came after it."""

    def give_back(self, now: int, who: Who, ask: Ask) -> bool:
        holder = self.holders.get(who)
        if holder is not None:
            holder.answers = []
            self._recount(holder)
        return super().give_back(now, who, ask)


class LivesAsOne(Keeper):
    """Knows holders by name alone: a new life's word is taken for the old one's."""

    def ask(self, now: int, who: Who, ask: Ask) -> Given | None:
        if (who[0], 0) in self.holders:
            self.holders[who[0], 0].last = 0
        return super().ask(now, (who[0], 0), ask)


class RaisesInQuiet(Keeper):
    """Without memory it gives what is wanted, as far as what it was told of goes."""

    def _renewed(self, holder: Holder, ask: Ask) -> Part:
        return Part(min(ask.want, self._room(holder).amount))


class ForgetsTooEarly(Keeper):
    """Counts an answer for no longer than the lease."""

    def _add(self, holder: Holder, answer: Answer) -> None:
        early = self.budget.counted_us(self.budget.lease_us) - self.budget.lease_us
        super()._add(holder, replace(answer, until=answer.until - early))


class FromArrival(Lease):
    """Counts its lease from when the answer came."""

    def take(self, now: int, given: Given) -> bool:
        if given.number in self.asked:
            self.asked[given.number] = now
        return super().take(now, given)


class AnyAnswer(Lease):
    """Takes an answer to an earlier question after a later one's."""

    def take(self, now: int, given: Given) -> bool:
        self.held = 0
        return super().take(now, given)

    def _forget(self) -> None:
        pass


class HoldsOn(Lease):
    """Spends on after giving back."""

    def give_back(self, now: int) -> Ask:
        part, until = self.part, self.until
        ask = super().give_back(now)
        self.part, self.until = part, until
        return ask


FAULTS: dict[str, Fault] = {
    "silence after lost memory skipped": Fault(keeper=NoQuiet),
    "a smaller answer counted before it is held": Fault(keeper=LowersAtOnce),
    "a question taken for a receipt": Fault(keeper=WordIsReceipt),
    "a return that ends later answers": Fault(keeper=BackMeansAll),
    "two lives of a holder taken for one": Fault(keeper=LivesAsOne),
    "more given in quiet than was held": Fault(keeper=RaisesInQuiet),
    "drift not waited for": Fault(keeper=ForgetsTooEarly),
    "a lease counted from its answer": Fault(lease=FromArrival),
    "an earlier answer taken after a later one": Fault(lease=AnyAnswer),
    "spent on after it was given back": Fault(lease=HoldsOn),
}


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="testbed.quota.model", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--holders", type=int, default=3)
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--walks", type=int, default=0, help="histories by chance, in place of all orders")
    parser.add_argument("--fault", choices=sorted(FAULTS), help="with this fault planted")
    given = parser.parse_args(argv)
    began = time.monotonic()
    fault = FAULTS[given.fault] if given.fault else None
    if given.walks:
        found = walks(given.walks, fault=fault, holders=given.holders)
    else:
        found = search(given.holders, given.depth, fault)
    print(
        f"{found.states} states in {time.monotonic() - began:.1f} s; {found.most} of {WHOLE} held at the most"
    )
    for number, line in enumerate(found.story, start=1):
        print(f"{number:>3}  {line}")
    print("FAILED: more held than there is" if found.story else "PASSED")
    return 1 if found.story else 0


if __name__ == "__main__":
    sys.exit(main())
