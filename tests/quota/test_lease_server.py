"""Budgets of several processes on sockets of this test's own: who keeps, what a restart remembers, what is dropped."""

from __future__ import annotations

import asyncio
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

import pytest
from loopback import play, until

from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS
from topazbank.core.net import Address
from topazbank.operator_config import operator_config_from
from topazbank.quota import grant_store
from topazbank.quota.__main__ import table
from topazbank.quota.rules import Quota
from topazbank.quota.service import HEARD_MOST, QuotaService, is_word

BUDGET = Quota("b", whole=100, burst=50, floor=500, members=10, keepers=("0", "1"), lease_us=1_000_000)
TENANTS = Quota("t", whole=2, burst=10, floor=100, members=10)


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Network:
    """Members by name; words between them are delivered at once, unless they are lost."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.services: dict[Address, QuotaService] = {}
        self.lost: set[tuple[str, str]] = set()

    def start(self, name: str, store: bool = False, at: str = "") -> QuotaService:
        """`at`: where it listens, if another process of this name is there."""
        here: Address = (at or name, 1)
        service = QuotaService(
            [(BUDGET, RETRIES, None), (TENANTS, TENANT_REQUESTS, "acme")],
            name,
            lambda other: (other, 1) if (other, 1) in self.services else None,
            now_us,
            str(self.folder),
            store=str(self.folder) if store else "",
        )
        self.services[here] = service
        service.start(self._carrier(here))
        return service

    def _carrier(self, source: Address) -> Callable[[Address, bytes], None]:
        def send(to: Address, data: bytes) -> None:
            if (source[0], to[0]) not in self.lost and to in self.services:
                asyncio.get_running_loop().call_soon(self.services[to].datagram, data, source)

        return send

    def end(self, name: str) -> None:
        self.services.pop((name, 1)).stop()

    def stop(self) -> None:
        for name, _ in list(self.services):
            self.end(name)


def wants(service: QuotaService) -> None:
    """Ask for far more than there is."""
    purses = service.spending(0)
    now = now_us()
    for _ in range(100):
        purses.acquire(RETRIES, None, now)


async def wanting(service: QuotaService, reached: Callable[[], object]) -> None:
    async def want() -> None:
        while True:
            wants(service)
            await asyncio.sleep(0.05)

    task = asyncio.get_running_loop().create_task(want())
    try:
        await until(reached)
    finally:
        task.cancel()


def held(service: QuotaService) -> int:
    return int(service.show()["budgets"]["b"]["holds"])


def test_who_wants_more_gets_what_both_keepers_have_after_their_silence(tmp_path: Path) -> None:
    async def scene() -> None:
        network = Network(tmp_path)
        one, _, two = (network.start(name) for name in ("0", "1", "2"))
        wants(two)
        assert held(two) == BUDGET.floor
        assert one.show()["budgets"]["b"]["keeps"]["quiet_s"] > 0.5
        await wanting(two, lambda: held(two) > 0.9 * 95_000)
        lines = "\n".join(table(two.show()) + table(one.show()))
        assert "100/s" in lines and "keeps of b: " in lines and "0 47.5/s, 1 47.5/s" in lines
        two.leave()
        await until(lambda: not one.show()["budgets"]["b"]["keeps"]["given"][0])
        network.stop()

    play(scene())


def test_a_second_process_of_a_name_keeps_only_once_the_first_has_ended_or_rests(tmp_path: Path) -> None:
    async def scene() -> None:
        network = Network(tmp_path)
        old, new = network.start("0"), network.start("0", at="beside")
        await asyncio.sleep(0.3)
        assert old.keepers and not new.keepers
        old.rest()
        await until(lambda: new.keepers)
        assert not old.keepers
        network.end("beside")
        old.resume()
        await until(lambda: old.keepers)
        network.stop()

    play(scene())


def test_a_keeper_with_a_store_goes_on_at_once_and_knows_what_others_hold(tmp_path: Path) -> None:
    async def scene() -> None:
        network = Network(tmp_path)
        network.start("0", store=True)
        holder = network.start("2")
        await wanting(holder, lambda: held(holder) > 40_000)
        network.end("0")
        keeper = network.start("0", store=True)
        await until(lambda: keeper.keepers)
        kept = keeper.show()["budgets"]["b"]["keeps"]
        assert kept["quiet_s"] == 0.0 and kept["given"][0] > 40_000
        network.stop()

    play(scene())


def test_a_store_that_can_not_be_opened_keeps_nothing_until_it_can(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(grant_store, "AGAIN_S", 0.1)

    async def scene() -> None:
        network = Network(tmp_path)
        (tmp_path / "topazbank-keeps-0.sqlite").mkdir()
        keeper = network.start("0", store=True)
        await asyncio.sleep(0.3)
        assert not keeper.keepers and held(keeper) == BUDGET.floor
        (tmp_path / "topazbank-keeps-0.sqlite").rmdir()
        await until(lambda: keeper.keepers)
        network.stop()

    play(scene())


def test_junk_floods_and_words_on_budgets_that_are_not_known_are_counted(tmp_path: Path) -> None:
    async def scene() -> None:
        network = Network(tmp_path)
        one = network.start("0")
        assert is_word(b"\xd9junk") and not is_word(b"\xd7junk") and not is_word(b"")
        one.datagram(b"\xd9junk", ("x", 1))
        assert one.dropped["unreadable"] == 1
        for _ in range(3 * HEARD_MOST):
            one.datagram(b"\xd9junk", ("x", 1))
        assert one.dropped["flood"] >= HEARD_MOST
        network.stop()

    play(scene())


def test_a_use_without_a_budget_is_free_and_a_tenants_is_its_own(tmp_path: Path) -> None:
    async def scene() -> None:
        network = Network(tmp_path)
        purses = network.start("0").spending(0)
        now = now_us()
        assert all(purses.acquire(HEALTH_CHECKS, None, now) for _ in range(100))
        assert all(purses.acquire(TENANT_REQUESTS, "another", now) for _ in range(100))
        assert not purses.acquire(TENANT_REQUESTS, "acme", now)
        network.stop()

    play(scene())


GOOD = 'of = "retries"\nwhole = 40\nburst = 160\nfloor = 0.25\nmembers = 80\nkeepers = ["0", "1"]\n'


@pytest.mark.parametrize(
    ("was", "now", "complaint"),
    [
        ("whole = 40", "whole = -1", "budgets.b.whole: a whole number from 0"),
        ("whole = 40", "hole = 40", "budgets.b.hole: not known"),
        ('"retries"', '"lodges"', "budgets.b.of: retries, probes or tenant is wanted, not 'lodges'"),
        ('"retries"', '"tenant"', "budgets.b.tenant: wanted of a tenant's budget"),
        ("burst = 160", "burst = 79", "budgets.b.burst: 80 at least is wanted"),
        ("floor = 0.25", "floor = 0.6", "budgets.b.floor: the floors of 80 members are more than the whole"),
        ('"0", "1"', '"0", "0"', "budgets.b.keepers: 16 different names at most"),
        ("members = 80", "members = 80\nlease_s = 0.1", "budgets.b.lease_s: a number from 1 to 600"),
        ("members = 80", "members = 80\ndrift_percent = 50", "budgets.b.drift_percent: a number from 0.01"),
    ],
)
def test_a_bad_budget_is_named_with_its_field_and_the_remedy(was: str, now: str, complaint: str) -> None:
    def read(text: str) -> object:
        return operator_config_from(tomllib.loads(f"[tier]\non = true\n[budgets.b]\n{text}"))

    read(GOOD)
    with pytest.raises(ValueError) as bad:
        read(GOOD.replace(was, now))
    assert complaint in str(bad.value)


def test_budgets_want_a_tier_and_no_two_are_of_the_same() -> None:
    one = {"of": "retries", "whole": 1, "burst": 1}
    with pytest.raises(ValueError, match=r"budgets: tier\.on is wanted"):
        operator_config_from({"budgets": {"b": one}})
    with pytest.raises(ValueError, match="another budget is of the same"):
        operator_config_from({"tier": {"on": True}, "budgets": {"b": one, "c": one}})
