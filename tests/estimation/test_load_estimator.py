"""What a sidecar believes of the fleet's load, and how long it goes on believing it."""

from __future__ import annotations

import pytest

from topazbank.estimation.load_estimator import (
    ACCEPTABLE_RATIO,
    ACCEPTABLE_RATIO_MAX,
    OVERLOAD_CHECKS_MIN,
    PENDING_CHECKS_MAX,
    LoadEstimator,
)
from topazbank.estimation.sustained_throughput import ADMITTED_RATIO, SustainedThroughput

MS = 1_000
S = 1_000_000
AIM = 1 * S


def _jam(strain: LoadEstimator, now: int) -> int:
    """A jam: late answers, ten a second, until the belief is as bad as can be."""
    for _ in range(40):
        now += 100 * MS
        strain.add_latency(now, 2.0, calm=False)
    assert strain.median_ratio > 0.9 and strain.late_share > 0.75
    return now


@pytest.mark.parametrize("gap", [100 * MS, 400 * MS, 1 * S])
def test_a_jam_is_forgotten_in_about_as_long_however_few_answers_come(gap: int) -> None:
    # Guards against a belief that outlives its cause: who refuses nearly all gets nearly no answers.
    strain = LoadEstimator(AIM)
    now = began = _jam(strain, 0)
    while strain.median_ratio > ACCEPTABLE_RATIO:
        now += gap
        strain.add_latency(now, 0.1, calm=False)
    assert now - began <= max(2 * S, 6 * gap)


def test_many_answers_at_once_move_the_belief_no_further_than_before() -> None:
    strain = LoadEstimator(AIM)
    now = 0
    for _ in range(200):
        now += 5 * MS
        strain.add_latency(now, 0.1, calm=True)
    before = strain.median_ratio
    strain.add_latency(now + 5 * MS, 2.0, calm=True)
    assert strain.median_ratio - before == pytest.approx(0.04)
    assert strain.late_share == pytest.approx(0.02)


def test_a_single_answer_after_a_rest_does_not_turn_the_belief_round() -> None:
    strain = LoadEstimator(AIM)
    strain.add_latency(0, 0.1, calm=True)
    strain.add_latency(60 * S, 3.0, calm=True)
    assert strain.median_ratio < ACCEPTABLE_RATIO and strain.late_share < 0.2


def _send_and_answer(strain: LoadEstimator, now: int, count: int, every: int, taking: int | None) -> int:
    """Attempts every so often, each answered after so long, or never; the time at the end."""
    out = []
    for _ in range(count):
        now += every
        out.append((now, strain.start_check(now, AIM, 0.0)))
        while taking is not None and out and out[0][0] + taking <= now:
            strain.complete_check(now, out.pop(0)[1])
        strain.expire_checks(now)
    return now


def test_silence_is_judged_at_the_level_and_not_when_late_answers_come() -> None:
    # Guards against a jam that is seen an aim too late: everything is let in meanwhile.
    strain = LoadEstimator(AIM)
    now = _send_and_answer(strain, 0, 100, 20 * MS, 100 * MS)
    assert strain.overload_excess() < -0.9
    _send_and_answer(strain, now, 20, 20 * MS, None)  # 0.4 s of silence
    assert strain.overload_excess() > -0.9
    _send_and_answer(strain, now + 400 * MS, 40, 20 * MS, None)
    assert strain.overload_excess() > 0.0 and strain.late_share == 0.0


def test_answers_to_what_was_sent_long_ago_change_no_verdict() -> None:
    # Guards against late answers of a jam that is over: its news goes on coming for seconds.
    strain = LoadEstimator(AIM)
    old = [strain.start_check(0, AIM, 0.0) for _ in range(50)]
    strain.expire_checks(2 * AIM)
    now = _send_and_answer(strain, 2 * AIM, 200, 20 * MS, 100 * MS)
    before = strain.overload_excess()
    for each in old:
        strain.complete_check(now, each)
    assert strain.overload_excess() == before < -0.9


def test_a_fleet_that_is_always_slow_is_not_plainly_overloaded_and_a_silent_one_is() -> None:
    slow, silent = LoadEstimator(AIM), LoadEstimator(AIM)
    _send_and_answer(slow, 0, 200, 20 * MS, 500 * MS)
    _send_and_answer(silent, 0, 200, 20 * MS, None)
    assert not slow.is_overload_evident() and silent.is_overload_evident()


def test_few_verdicts_are_not_plain() -> None:
    strain = LoadEstimator(AIM)
    for each in range(OVERLOAD_CHECKS_MIN - 1):
        strain.start_check(each, AIM, 0.0)
    strain.expire_checks(2 * AIM)
    assert not strain.is_overload_evident()


def test_attempts_that_ended_without_a_word_have_no_verdict() -> None:
    # Dials that failed tell of dead servers, not of busy ones.
    strain = LoadEstimator(AIM)
    for each in range(30):
        strain.start_check(each, AIM, 0.0).pending = False
    assert not strain.expire_checks(2 * AIM)
    assert strain.overload_excess() == -1.0


def test_without_news_a_request_now_and_then_is_let_in_to_bring_some() -> None:
    # Guards against a belief that nothing can correct: who refuses all hears nothing.
    strain = LoadEstimator(AIM)
    now = _send_and_answer(strain, 0, 100, 20 * MS, None)
    asked = [strain.claim_probe_admission(at) for at in range(now + 600 * MS, now + 2600 * MS, 10 * MS)]
    assert 7 <= sum(asked) <= 9  # four a second


def test_while_news_comes_nothing_is_let_in_for_its_sake() -> None:
    strain = LoadEstimator(AIM)
    now = 0
    for _ in range(100):
        now = _send_and_answer(strain, now, 1, 20 * MS, None)
        strain.complete_check(now, strain.start_check(now, AIM, 0.0))
        assert not strain.claim_probe_admission(now)


def test_what_waits_for_a_verdict_is_bounded() -> None:
    strain = LoadEstimator(AIM)
    for each in range(PENDING_CHECKS_MAX + 100):
        strain.start_check(each, AIM, 0.0)
    assert sum(len(each) for each in strain._pending_slow.values()) == PENDING_CHECKS_MAX


def test_the_level_follows_a_fleet_that_is_slow_when_idle_but_only_so_far() -> None:
    strain = LoadEstimator(AIM)
    assert strain.acceptable_ratio(0.0) == ACCEPTABLE_RATIO
    now = 0
    for _ in range(2_000):
        now += 20 * MS
        strain.add_latency(now, 0.45, calm=True)
    assert ACCEPTABLE_RATIO < strain.acceptable_ratio(0.0) <= ACCEPTABLE_RATIO_MAX
    assert strain.acceptable_ratio(1.0) >= strain.acceptable_ratio(0.0)


def test_reported_cores_follow_what_is_reported() -> None:
    strain = LoadEstimator(AIM)
    assert strain.cpu_utilization is None
    strain.add_cpu_report(1.0)
    assert strain.cpu_utilization == 1.0
    for _ in range(60):
        strain.add_cpu_report(0.2)
    assert strain.cpu_utilization == pytest.approx(0.2, abs=0.01)


def _serve(borne: SustainedThroughput, now: int, seconds: float, every: int) -> int:
    for _ in range(int(seconds * S / every)):
        now += every
        borne.note_timely_response(now, AIM)
        borne.admissible_load(now, 10.0)
    return now


def test_what_the_fleet_has_borne_passes_though_nothing_is_answered_now() -> None:
    borne = SustainedThroughput(AIM)
    now = _serve(borne, 0, 5, 50 * MS)  # twenty a second: twenty in flight if each took all its aim
    assert borne.admissible_load(now + 2 * S, 10.0) == pytest.approx(20 * ADMITTED_RATIO, rel=0.2)


def test_what_the_fleet_has_borne_falls_with_the_servers_that_are_left() -> None:
    borne = SustainedThroughput(AIM)
    now = _serve(borne, 0, 5, 50 * MS)
    whole = borne.admissible_load(now + 1 * S, 10.0)
    assert borne.admissible_load(now + 1 * S, 4.0) == pytest.approx(0.4 * whole, rel=0.01)
    assert borne.admissible_load(now + 1 * S, 0.0) == 0.0  # nobody is left: nothing passes


def test_what_the_fleet_bore_long_ago_is_forgotten() -> None:
    borne = SustainedThroughput(AIM)
    now = _serve(borne, 0, 5, 50 * MS)
    before = borne.admissible_load(now, 10.0)
    assert borne.admissible_load(now + 60 * S, 10.0) < 0.05 * before


def test_where_late_answers_keep_a_part_of_their_worth_a_fleet_may_be_fuller() -> None:
    strict, lenient = LoadEstimator(S, 0.0), LoadEstimator(S, 0.25)
    for chance in (0.0, 0.5, 1.0):
        assert strict.acceptable_ratio(chance) < lenient.acceptable_ratio(chance) <= ACCEPTABLE_RATIO_MAX
    assert LoadEstimator(S, 1e9).acceptable_ratio(1.0) == ACCEPTABLE_RATIO_MAX
