"""Leader election among planners: by static rank, and with a ZooKeeper ensemble."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from helpers import START
from loopback import play, until

from testbed.zookeeper import Ensemble
from topazbank.discovery.zkclient import EnsembleConfig
from topazbank.planning.election import Election
from topazbank.planning.leadership import (
    FRESH_PLAN_AGE_US_MAX,
    TAKEOVER_DELAY_PER_RANK_US,
    TAKEOVER_DELAY_US,
    RankedLeadership,
)
from topazbank.planning.plan import US_PER_S
from topazbank.planning.summary import SummaryReport

UNIX_S = 1_764_583_200
SUMMARY = SummaryReport("f", "life", 1, US_PER_S // 10, -1, "", -1)


def summary_following(planner: str, epoch: int, age_us: int = 0) -> SummaryReport:
    return replace(SUMMARY, planner=planner, epoch=epoch, plan_age_us=age_us)


def report_until_leading(leadership: RankedLeadership, summary: SummaryReport, start: int, end: int) -> int:
    """Report the summary periodically; return the time at which the planner leads, or `end`."""
    for at in range(start, end, US_PER_S // 10):
        leadership.observe_summary(at, summary)
        if leadership.current_epoch(at, UNIX_S) is not None:
            return at
    return end


def test_the_first_rank_leads_after_its_takeover_delay_and_the_next_rank_waits_longer() -> None:
    first, second = RankedLeadership("p", 0, START), RankedLeadership("q", 1, START)
    first_leads_at = report_until_leading(first, SUMMARY, START, START + 20 * US_PER_S)
    assert (
        START + TAKEOVER_DELAY_US <= first_leads_at < START + TAKEOVER_DELAY_US + US_PER_S // 5
        and first.epoch is not None
    )
    second_leads_at = report_until_leading(second, SUMMARY, START, START + 20 * US_PER_S)
    assert second_leads_at >= first_leads_at + TAKEOVER_DELAY_PER_RANK_US - US_PER_S // 5
    assert (
        report_until_leading(
            RankedLeadership("q", 1, START), summary_following("p", first.epoch), START, START + 20 * US_PER_S
        )
        == START + 20 * US_PER_S
    )


def test_a_planner_without_summaries_never_leads() -> None:
    leadership = RankedLeadership("p", 0, START)
    assert leadership.current_epoch(START + 60 * US_PER_S, UNIX_S) is None


def test_a_restarted_planner_gets_a_higher_epoch_although_its_clock_is_behind() -> None:
    first = RankedLeadership("p", 0, START)
    report_until_leading(first, SUMMARY, START, START + 20 * US_PER_S)
    assert first.epoch is not None
    restarted = RankedLeadership("p", 0, START)
    stale_summary = summary_following("p", first.epoch, age_us=FRESH_PLAN_AGE_US_MAX * 10)
    for at in range(START, START + 4 * US_PER_S, US_PER_S // 10):
        restarted.observe_summary(at, stale_summary)
        restarted.current_epoch(at, UNIX_S - 600)  # clock ten minutes behind
    assert restarted.epoch is not None and restarted.epoch > first.epoch


def test_two_leaders_have_different_epochs_and_the_lower_epoch_is_deposed_once_observed() -> None:
    planners = [RankedLeadership("p", 0, START), RankedLeadership("q", 1, START)]
    for leadership in planners:
        report_until_leading(leadership, SUMMARY, START, START + 20 * US_PER_S)
    epochs = [leadership.epoch for leadership in planners]
    assert epochs[0] is not None and epochs[1] is not None and epochs[0] > epochs[1]
    planners[1].observe_summary(START + 21 * US_PER_S, summary_following("p", epochs[0]))
    assert planners[1].epoch is None and planners[1].current_epoch(START + 21 * US_PER_S, UNIX_S) is None
    planners[0].observe_summary(START + 21 * US_PER_S, summary_following("q", epochs[1]))
    assert planners[0].epoch == epochs[0]


def test_a_rank_out_of_bounds_is_rejected() -> None:
    with pytest.raises(ValueError, match="rank"):
        RankedLeadership("p", 256, START)


# -- ZooKeeper ensemble ------------------------------------------------------------------------------


class Candidate:
    def __init__(self, ensemble: Ensemble, name: str, seed: int) -> None:
        self.epochs: list[int | None] = []
        addresses = ensemble.addresses
        self.election = Election(
            EnsembleConfig(addresses, 1.0), "/lodge/planners", name, self.epochs.append, seed
        )
        self.election.start()

    @property
    def epoch(self) -> int | None:
        return self.election.epoch


def test_epochs_grow_from_leader_to_leader_through_kills_and_expired_sessions() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        first = Candidate(ensemble, "p-0", 1)
        await until(lambda: first.epoch is not None)
        second = Candidate(ensemble, "p-1", 2)
        third = Candidate(ensemble, "p-2", 3)
        await until(lambda: second.election._node is not None and third.election._node is not None)
        assert second.epoch is None and third.epoch is None
        leader_epochs = [first.epoch]
        # The ensemble elects another leader before the first one detects its expired session.
        ensemble.expire(first.election._session.session_id)
        await until(lambda: second.epoch is not None or third.epoch is not None)
        leader, other = (second, third) if second.epoch is not None else (third, second)
        leader_epochs.append(leader.epoch)
        await until(lambda: first.epoch is None)
        await leader.election.close()
        await until(lambda: other.epoch is not None)
        leader_epochs.append(other.epoch)
        other.election.stop()  # as if killed: its session has to expire
        await until(lambda: first.epoch is not None)
        leader_epochs.append(first.epoch)
        epochs = [epoch for epoch in leader_epochs if epoch is not None]
        assert len(epochs) == 4 and epochs == sorted(set(epochs))
        first.election.stop()
        ensemble.stop()

    play(scenario())


def test_a_leader_cut_off_from_the_ensemble_stops_leading_and_resumes_with_its_session() -> None:
    async def scenario() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        first = Candidate(ensemble, "p-0", 1)
        await until(lambda: first.epoch is not None)
        epoch = first.epoch
        ensemble.outage()
        await until(lambda: first.epoch is None)
        await asyncio.sleep(0.3)
        assert first.epoch is None
        ensemble.restore()
        await until(lambda: first.epoch is not None)
        assert first.epoch == epoch
        first.election.stop()
        ensemble.stop()

    play(scenario())
