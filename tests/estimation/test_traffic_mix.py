"""Tests of the rank of requests by class and tenant, and of the bound on flows."""

from __future__ import annotations

import pytest
from helpers import MS, settings

from topazbank.estimation.traffic_mix import FLOWS_MAX, TrafficMix


def test_a_class_with_a_lower_weight_ranks_below_the_other() -> None:
    configured = settings()
    mix, classes = (
        TrafficMix(configured),
        {request_class.name: request_class for request_class in configured.classes},
    )
    for now in range(0, 1000 * MS, 10 * MS):
        look = mix.note_request(now, classes["look"], None)
        pay = mix.note_request(now, classes["pay"], None)
    assert mix.rank(now, look) == pytest.approx(0.25)
    assert mix.rank(now, pay) == pytest.approx(0.75)


def test_a_tenant_that_exceeds_its_share_ranks_below_one_that_does_not() -> None:
    configured = settings(
        tenants=[{"name": "a", "share": 0.5}, {"name": "b", "share": 0.5}], over_share_weight=0.2
    )
    mix, request_class = TrafficMix(configured), configured.classes[0]
    for now in range(0, 1000 * MS, 10 * MS):
        within = mix.note_request(now, request_class, "a")
        for _ in range(9):
            over = mix.note_request(now, request_class, "b")
    assert mix.rank(now, over) < mix.rank(now, within)


def test_tenants_invented_by_clients_do_not_grow_memory_without_bound() -> None:
    # A client sends a new tenant name with each request.  Each request iterates over the table of flows, so the table
    # must not grow without bound.
    configured = settings()
    mix = TrafficMix(configured)
    for number in range(10 * FLOWS_MAX):
        mix.note_request(number * MS, configured.classes[number % 3], f"invented {number}")
    assert len(mix._flows) <= FLOWS_MAX + len(configured.classes)
