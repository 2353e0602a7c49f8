"""Fleets in played time, with clocks that differ by the whole drift: the promise under any faults."""

from __future__ import annotations

from dataclasses import replace

import pytest

from testbed.quota.virtual_time import Fleet, troubled
from topazbank.quota.lease_server import Keeper
from topazbank.quota.rules import Part, Quota

BUDGET = Quota("b", whole=40, burst=24, floor=500, members=6, keepers=("0", "1"), lease_us=2_000_000)


def test_no_fleet_in_trouble_ever_spends_or_holds_more_than_the_whole() -> None:
    results = [troubled(seed) for seed in range(60)]
    assert not [each for result in results for each in result.breaches]
    assert max(result.held for result in results) > 0.8, "the budgets were hardly used"
    assert sum(result.spent for result in results) > 5_000


def test_one_seed_replays_all() -> None:
    assert troubled(4) == troubled(4)


def test_a_keeper_that_gives_more_than_its_slice_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Keeper, "_room", lambda self, holder: Part(self.slice.amount, self.slice.burst))
    fleet = Fleet(BUDGET, 6, lambda now, number: 100.0, 1)
    assert any("held of" in each for each in fleet.play(10.0).breaches)


def test_what_one_does_not_use_another_has_within_two_renewals() -> None:
    fleet = Fleet(BUDGET, 6, lambda now, number: 100.0 if number == (3 if now < 10.0 else 4) else 0.0, 1)
    fleet.run(9.0)
    spent = {number: fleet.lives[number].holder.purse.spent for number in (3, 4)}
    assert spent[3] > 37.0 * 6 and spent[4] == 0
    fleet.run(14.0)
    before = fleet.lives[4].holder.purse.spent
    fleet.run(18.0)
    assert fleet.lives[4].holder.purse.spent - before > 0.85 * 37.5 * 4


def test_a_dead_ones_part_is_others_after_its_lease_and_one_that_leaves_gives_it_at_once() -> None:
    both = replace(BUDGET, keepers=("0",))
    for leaves in (False, True):
        fleet = Fleet(both, 6, lambda now, number: 100.0 if number in (3, 4) else 0.0, 1)
        fleet.run(8.0)
        if leaves:
            life = fleet.lives[3]
            for word in life.holder.give_back(life.us(fleet.now)):
                fleet._post(life, word)
        fleet.kill(3)
        fleet.run(9.5 if leaves else 11.5)
        keeper = fleet.lives[0].keeper
        assert keeper is not None
        alone = fleet.lives[4].holder.holding(fleet.lives[4].us(fleet.now)) - both.floor
        assert alone >= 0.9 * keeper.slice.amount
