"""Tests of the estimate of the fleet's load when responses are few, late or missing."""

from __future__ import annotations

import pytest

from topazbank.estimation.load_estimator import (
    ACCEPTABLE_RATIO,
    ACCEPTABLE_RATIO_MAX,
    OVERLOAD_CHECKS_MIN,
    PENDING_CHECKS_MAX,
    LoadEstimator,
)

MS = 1_000
S = 1_000_000
OBJECTIVE = 1 * S


def _simulate_overload(estimator: LoadEstimator, now: int) -> int:
    """Add late responses, ten per second, until the estimate indicates full overload; return the end time."""
    for _ in range(40):
        now += 100 * MS
        estimator.add_latency(now, 2.0, unloaded=False)
    assert estimator.median_ratio > 0.9 and estimator.late_share > 0.75
    return now


@pytest.mark.parametrize("interval", [100 * MS, 400 * MS, 1 * S])
def test_the_time_to_recover_from_overload_hardly_depends_on_the_rate_of_responses(interval: int) -> None:
    # After an overload, a sidecar that rejects nearly all requests receives nearly no responses.  If each response
    # moved the estimate by the same step, the sidecar would keep rejecting requests long after servers are idle.
    estimator = LoadEstimator(OBJECTIVE)
    now = started = _simulate_overload(estimator, 0)
    while estimator.median_ratio > ACCEPTABLE_RATIO:
        now += interval
        estimator.add_latency(now, 0.1, unloaded=False)
    assert now - started <= max(2 * S, 6 * interval)


def test_one_of_many_responses_moves_the_estimate_by_the_smallest_step() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    now = 0
    for _ in range(200):
        now += 5 * MS
        estimator.add_latency(now, 0.1, unloaded=True)
    before = estimator.median_ratio
    estimator.add_latency(now + 5 * MS, 2.0, unloaded=True)
    assert estimator.median_ratio - before == pytest.approx(0.04)
    assert estimator.late_share == pytest.approx(0.02)


def test_a_single_late_response_after_a_pause_does_not_indicate_overload() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    estimator.add_latency(0, 0.1, unloaded=True)
    estimator.add_latency(60 * S, 3.0, unloaded=True)
    assert estimator.median_ratio < ACCEPTABLE_RATIO and estimator.late_share < 0.2


def _send_attempts(estimator: LoadEstimator, now: int, count: int, interval: int, latency: int | None) -> int:
    """Send attempts at an interval, with a response after `latency` or none (None); return the end time."""
    in_flight = []
    for _ in range(count):
        now += interval
        in_flight.append((now, estimator.start_check(now, OBJECTIVE, 0.0)))
        while latency is not None and in_flight and in_flight[0][0] + latency <= now:
            estimator.complete_check(now, in_flight.pop(0)[1])
        estimator.expire_checks(now)
    return now


def test_attempts_without_a_response_indicate_overload_before_any_late_response() -> None:
    # All servers stop responding.  If only responses counted, overload would be detected a whole latency objective
    # later, and every request would be admitted meanwhile.
    estimator = LoadEstimator(OBJECTIVE)
    now = _send_attempts(estimator, 0, 100, 20 * MS, 100 * MS)
    assert estimator.overload_excess() < -0.9
    _send_attempts(estimator, now, 20, 20 * MS, None)  # 0.4 s without a response
    assert estimator.overload_excess() > -0.9
    _send_attempts(estimator, now + 400 * MS, 40, 20 * MS, None)
    assert estimator.overload_excess() > 0.0 and estimator.late_share == 0.0


def test_late_responses_to_attempts_of_a_past_overload_do_not_change_the_estimate() -> None:
    # Responses to attempts that were sent during an overload still arrive for seconds after it ended.
    estimator = LoadEstimator(OBJECTIVE)
    old_checks = [estimator.start_check(0, OBJECTIVE, 0.0) for _ in range(50)]
    estimator.expire_checks(2 * OBJECTIVE)
    now = _send_attempts(estimator, 2 * OBJECTIVE, 200, 20 * MS, 100 * MS)
    before = estimator.overload_excess()
    for check in old_checks:
        estimator.complete_check(now, check)
    assert estimator.overload_excess() == before < -0.9


def test_overload_is_evident_if_a_fleet_does_not_respond_but_not_if_it_is_always_slow() -> None:
    slow, unresponsive = LoadEstimator(OBJECTIVE), LoadEstimator(OBJECTIVE)
    _send_attempts(slow, 0, 200, 20 * MS, 500 * MS)
    _send_attempts(unresponsive, 0, 200, 20 * MS, None)
    assert not slow.is_overload_evident() and unresponsive.is_overload_evident()


def test_overload_is_not_evident_from_few_checks() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    for sent_at in range(OVERLOAD_CHECKS_MIN - 1):
        estimator.start_check(sent_at, OBJECTIVE, 0.0)
    estimator.expire_checks(2 * OBJECTIVE)
    assert not estimator.is_overload_evident()


def test_attempts_that_failed_without_a_response_do_not_count_as_slow() -> None:
    # Failed connections indicate servers that are down, not overloaded servers.
    estimator = LoadEstimator(OBJECTIVE)
    for sent_at in range(30):
        estimator.start_check(sent_at, OBJECTIVE, 0.0).pending = False
    assert not estimator.expire_checks(2 * OBJECTIVE)
    assert estimator.overload_excess() == -1.0


def test_without_checks_an_occasional_request_is_admitted_as_a_probe() -> None:
    # The estimate indicates overload, and the sidecar rejects all requests.  Without responses nothing could correct
    # the estimate once servers are idle again.
    estimator = LoadEstimator(OBJECTIVE)
    now = _send_attempts(estimator, 0, 100, 20 * MS, None)
    times = range(now + 600 * MS, now + 2600 * MS, 10 * MS)
    admitted = [estimator.claim_probe_admission(time) for time in times]
    assert 7 <= sum(admitted) <= 9  # four per second


def test_while_checks_complete_no_request_is_admitted_as_a_probe() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    now = 0
    for _ in range(100):
        now = _send_attempts(estimator, now, 1, 20 * MS, None)
        estimator.complete_check(now, estimator.start_check(now, OBJECTIVE, 0.0))
        assert not estimator.claim_probe_admission(now)


def test_the_number_of_pending_checks_is_bounded() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    for sent_at in range(PENDING_CHECKS_MAX + 100):
        estimator.start_check(sent_at, OBJECTIVE, 0.0)
    assert sum(len(checks) for checks in estimator._pending_slow.values()) == PENDING_CHECKS_MAX


def test_the_acceptable_latency_grows_up_to_a_bound_for_a_fleet_that_is_slow_when_idle() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    assert estimator.acceptable_ratio(0.0) == ACCEPTABLE_RATIO
    now = 0
    for _ in range(2_000):
        now += 20 * MS
        estimator.add_latency(now, 0.45, unloaded=True)
    assert ACCEPTABLE_RATIO < estimator.acceptable_ratio(0.0) <= ACCEPTABLE_RATIO_MAX
    assert estimator.acceptable_ratio(1.0) >= estimator.acceptable_ratio(0.0)


def test_cpu_utilization_follows_load_reports() -> None:
    estimator = LoadEstimator(OBJECTIVE)
    assert estimator.cpu_utilization is None
    estimator.add_cpu_report(1.0)
    assert estimator.cpu_utilization == 1.0
    for _ in range(60):
        estimator.add_cpu_report(0.2)
    assert estimator.cpu_utilization == pytest.approx(0.2, abs=0.01)


def test_the_acceptable_latency_is_higher_where_late_responses_keep_a_part_of_their_value() -> None:
    strict, lenient = LoadEstimator(S, 0.0), LoadEstimator(S, 0.25)
    for uncertainty in (0.0, 0.5, 1.0):
        lenient_ratio = lenient.acceptable_ratio(uncertainty)
        assert strict.acceptable_ratio(uncertainty) < lenient_ratio <= ACCEPTABLE_RATIO_MAX
    assert LoadEstimator(S, 1e9).acceptable_ratio(1.0) == ACCEPTABLE_RATIO_MAX
