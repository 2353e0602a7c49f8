"""What is asked by class and tenant, and which part of it is worth less."""

from __future__ import annotations

import pytest
from helpers import MS, settings

from topazbank.estimation.traffic_mix import FLOWS_MAX, TrafficMix


def test_the_less_worthy_class_stands_below_the_other() -> None:
    given = settings()
    traffic, kinds = TrafficMix(given), {each.name: each for each in given.classes}
    for now in range(0, 1000 * MS, 10 * MS):
        look = traffic.note_request(now, kinds["look"], None)
        pay = traffic.note_request(now, kinds["pay"], None)
    assert traffic.rank(now, look) == pytest.approx(0.25)
    assert traffic.rank(now, pay) == pytest.approx(0.75)


def test_a_tenant_far_over_its_share_stands_below_one_within() -> None:
    given = settings(
        tenants=[{"name": "a", "share": 0.5}, {"name": "b", "share": 0.5}], over_share_weight=0.2
    )
    traffic, kind = TrafficMix(given), given.classes[0]
    for now in range(0, 1000 * MS, 10 * MS):
        within = traffic.note_request(now, kind, "a")
        for _ in range(9):
            over = traffic.note_request(now, kind, "b")
    assert traffic.rank(now, over) < traffic.rank(now, within)


def test_tenants_that_clients_make_up_take_no_memory_without_end() -> None:
    # Guards against a table that any client can grow, and that is walked for each request.
    given = settings()
    traffic = TrafficMix(given)
    for number in range(10 * FLOWS_MAX):
        traffic.note_request(number * MS, given.classes[number % 3], f"made up {number}")
    assert len(traffic._flows) <= FLOWS_MAX + len(given.classes)
