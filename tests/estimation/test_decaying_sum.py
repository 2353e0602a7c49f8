"""Tests of the decaying linear fit and rate with steady, few and old observations."""

from __future__ import annotations

import math

import pytest

from topazbank.estimation.decaying_sum import FIT_SAMPLES_MIN, DecayingLinearFit, DecayingRate

S = 1_000_000


def test_a_fit_follows_observations_on_a_line() -> None:
    fit = DecayingLinearFit()
    for number in range(200):
        fit.add(float(number % 20), 0.1 + 0.05 * (number % 20))
    assert fit.predict(10.0) == pytest.approx(0.6, rel=0.05)
    assert fit.predict(20.0) == pytest.approx(1.1, rel=0.1)


def test_a_fit_of_falling_observations_is_flat() -> None:
    fit = DecayingLinearFit()
    for number in range(200):
        fit.add(float(number % 20), 2.0 - 0.05 * (number % 20))
    assert fit.predict(0.0) == fit.predict(19.0)


def test_a_fit_of_too_few_observations_returns_none() -> None:
    fit = DecayingLinearFit()
    for _ in range(int(FIT_SAMPLES_MIN) - 1):
        fit.add(1.0, 1.0)
    assert fit.predict(1.0) is None and fit.throughput(S) is None


def test_throughput_is_requests_in_flight_divided_by_latency() -> None:
    fit = DecayingLinearFit()
    for _ in range(100):
        fit.add(8.0, 0.5)
    assert fit.throughput(S) == pytest.approx(8.0 / (0.5 * S))


def test_a_rate_converges_to_a_steady_input_and_decays_by_a_factor_of_e_per_window() -> None:
    rate = DecayingRate(4 * S)
    for now in range(0, 100 * S, S // 10):
        rate.add(now, 1.0)
    steady = rate.per_us(now)
    assert steady == pytest.approx(10.0 / S, rel=0.05)
    assert rate.per_us(now + 4 * S) == pytest.approx(steady / math.e)


def test_a_change_of_the_window_does_not_change_the_rate() -> None:
    rate = DecayingRate(4 * S)
    rate.add(S, 100.0)
    before = rate.per_us(2 * S)
    rate.set_window_us(1 * S)
    assert rate.per_us(2 * S) == pytest.approx(before)
