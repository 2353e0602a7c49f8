"""Leader election among planners: by rank, without I/O, and by a ZooKeeper ensemble."""

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

UNIX = 1_764_583_200
SUMMARY = SummaryReport("f", "life", 1, US_PER_S // 10, -1, "", -1)


def following(planner: str, epoch: int, age: int = 0) -> SummaryReport:
    return replace(SUMMARY, planner=planner, epoch=epoch, plan_age_us=age)


def report(leadership: RankedLeadership, summary: SummaryReport, since: int, until: int) -> int:
    for at in range(since, until, US_PER_S // 10):
        leadership.observe_summary(at, summary)
        if leadership.current_epoch(at, UNIX) is not None:
            return at
    return until


def test_the_first_rank_leads_after_its_takeover_delay_and_the_next_waits_longer() -> None:
    first, second = RankedLeadership("p", 0, START), RankedLeadership("q", 1, START)
    at = report(first, SUMMARY, START, START + 20 * US_PER_S)
    assert (
        START + TAKEOVER_DELAY_US <= at < START + TAKEOVER_DELAY_US + US_PER_S // 5
        and first.epoch is not None
    )
    later = report(second, SUMMARY, START, START + 20 * US_PER_S)
    assert later >= at + TAKEOVER_DELAY_PER_RANK_US - US_PER_S // 5
    assert (
        report(RankedLeadership("q", 1, START), following("p", first.epoch), START, START + 20 * US_PER_S)
        == START + 20 * US_PER_S
    )


def test_a_planner_without_summaries_never_leads() -> None:
    leadership = RankedLeadership("p", 0, START)
    assert leadership.current_epoch(START + 60 * US_PER_S, UNIX) is None


def test_a_restarted_planner_gets_a_higher_epoch_although_its_clock_is_behind() -> None:
    first = RankedLeadership("p", 0, START)
    report(first, SUMMARY, START, START + 20 * US_PER_S)
    assert first.epoch is not None
    again = RankedLeadership("p", 0, START)
    old = following("p", first.epoch, age=FRESH_PLAN_AGE_US_MAX * 10)
    for at in range(START, START + 4 * US_PER_S, US_PER_S // 10):
        again.observe_summary(at, old)
        again.current_epoch(at, UNIX - 600)  # ten minutes behind
    assert again.epoch is not None and again.epoch > first.epoch


def test_two_leaders_have_different_epochs_and_the_lower_is_deposed_when_they_meet() -> None:
    pair = [RankedLeadership("p", 0, START), RankedLeadership("q", 1, START)]
    for leadership in pair:
        report(leadership, SUMMARY, START, START + 20 * US_PER_S)
    epochs = [leadership.epoch for leadership in pair]
    assert epochs[0] is not None and epochs[1] is not None and epochs[0] > epochs[1]
    pair[1].observe_summary(START + 21 * US_PER_S, following("p", epochs[0]))
    assert pair[1].epoch is None and pair[1].current_epoch(START + 21 * US_PER_S, UNIX) is None
    pair[0].observe_summary(START + 21 * US_PER_S, following("q", epochs[1]))
    assert pair[0].epoch == epochs[0]


def test_a_rank_out_of_bounds_is_refused() -> None:
    with pytest.raises(ValueError, match="rank"):
        RankedLeadership("p", 256, START)


# -- By an ensemble ----------------------------------------------------------------------------------


class Candidate:
    def __init__(self, ensemble: Ensemble, name: str, seed: int) -> None:
        self.epochs: list[int | None] = []
        members = ensemble.addresses
        self.election = Election(
            EnsembleConfig(members, 1.0), "/lodge/planners", name, self.epochs.append, seed
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
        leaders_epochs = [first.epoch]
        ensemble.expire(
            first.election._session.session_id
        )  # it does not know yet; the ensemble elects another
        await until(lambda: second.epoch is not None or third.epoch is not None)
        leader, other = (second, third) if second.epoch is not None else (third, second)
        leaders_epochs.append(leader.epoch)
        await until(lambda: first.epoch is None)
        await leader.election.close()
        await until(lambda: other.epoch is not None)
        leaders_epochs.append(other.epoch)
        other.election.stop()  # killed: its session has to time out
        await until(lambda: first.epoch is not None)
        leaders_epochs.append(first.epoch)
        epochs = [epoch for epoch in leaders_epochs if epoch is not None]
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
