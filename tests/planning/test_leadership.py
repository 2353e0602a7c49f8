"""Who leads: by rank without an ensemble (no I/O), and by an ensemble."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from helpers import START
from loopback import play, until

from testbed.zookeeper import Ensemble
from topazbank.discovery.zkclient import Ensemble as Where
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


def hear(lead: RankedLeadership, summary: SummaryReport, since: int, until: int) -> int:
    for at in range(since, until, US_PER_S // 10):
        lead.observe_summary(at, summary)
        if lead.current_epoch(at, UNIX) is not None:
            return at
    return until


def test_the_first_rank_leads_after_its_patience_and_the_next_waits_longer() -> None:
    first, second = RankedLeadership("p", 0, START), RankedLeadership("q", 1, START)
    at = hear(first, SUMMARY, START, START + 20 * US_PER_S)
    assert (
        START + TAKEOVER_DELAY_US <= at < START + TAKEOVER_DELAY_US + US_PER_S // 5
        and first.epoch is not None
    )
    later = hear(second, SUMMARY, START, START + 20 * US_PER_S)
    assert later >= at + TAKEOVER_DELAY_PER_RANK_US - US_PER_S // 5
    assert (
        hear(RankedLeadership("q", 1, START), following("p", first.epoch), START, START + 20 * US_PER_S)
        == START + 20 * US_PER_S
    )


def test_nobody_leads_whom_no_forwarder_tells_of_anything() -> None:
    lead = RankedLeadership("p", 0, START)
    assert lead.current_epoch(START + 60 * US_PER_S, UNIX) is None


def test_one_that_starts_anew_comes_out_above_its_former_self_whatever_its_clock_says() -> None:
    first = RankedLeadership("p", 0, START)
    hear(first, SUMMARY, START, START + 20 * US_PER_S)
    assert first.epoch is not None
    again = RankedLeadership("p", 0, START)
    old = following("p", first.epoch, age=FRESH_PLAN_AGE_US_MAX * 10)
    for at in range(START, START + 4 * US_PER_S, US_PER_S // 10):
        again.observe_summary(at, old)
        again.current_epoch(at, UNIX - 600)  # ten minutes behind
    assert again.epoch is not None and again.epoch > first.epoch


def test_two_that_lead_at_once_differ_and_the_lower_one_is_deposed_when_they_meet() -> None:
    pair = [RankedLeadership("p", 0, START), RankedLeadership("q", 1, START)]
    for each in pair:
        hear(each, SUMMARY, START, START + 20 * US_PER_S)
    epochs = [each.epoch for each in pair]
    assert epochs[0] is not None and epochs[1] is not None and epochs[0] > epochs[1]
    pair[1].observe_summary(START + 21 * US_PER_S, following("p", epochs[0]))
    assert pair[1].epoch is None and pair[1].current_epoch(START + 21 * US_PER_S, UNIX) is None
    pair[0].observe_summary(START + 21 * US_PER_S, following("q", epochs[1]))
    assert pair[0].epoch == epochs[0]


def test_a_rank_out_of_bounds_is_named() -> None:
    with pytest.raises(ValueError, match="rank"):
        RankedLeadership("p", 256, START)


# -- By an ensemble ----------------------------------------------------------------------------------


class Candidate:
    def __init__(self, ensemble: Ensemble, name: str, seed: int) -> None:
        self.epochs: list[int | None] = []
        members = ensemble.addresses
        self.election = Election(Where(members, 1.0), "/lodge/planners", name, self.epochs.append, seed)
        self.election.start()

    @property
    def epoch(self) -> int | None:
        return self.election.epoch


def test_epochs_grow_from_leader_to_leader_through_deaths_and_lost_sessions() -> None:
    async def scene() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        one = Candidate(ensemble, "p-0", 1)
        await until(lambda: one.epoch is not None)
        two = Candidate(ensemble, "p-1", 2)
        three = Candidate(ensemble, "p-2", 3)
        await until(lambda: two.election._node is not None and three.election._node is not None)
        assert two.epoch is None and three.epoch is None
        seen = [one.epoch]
        ensemble.expire(one.election._session.ident)  # it does not know yet; the ensemble gave its place away
        await until(lambda: two.epoch is not None or three.epoch is not None)
        leader, other = (two, three) if two.epoch is not None else (three, two)
        seen.append(leader.epoch)
        await until(lambda: one.epoch is None)
        await leader.election.close()
        await until(lambda: other.epoch is not None)
        seen.append(other.epoch)
        other.election.stop()  # killed: its session has to time out
        await until(lambda: one.epoch is not None)
        seen.append(one.epoch)
        epochs = [each for each in seen if each is not None]
        assert len(epochs) == 4 and epochs == sorted(set(epochs))
        one.election.stop()
        ensemble.stop()

    play(scene())


def test_a_leader_out_of_touch_does_not_lead_and_is_again_the_same_when_its_session_lived() -> None:
    async def scene() -> None:
        ensemble = Ensemble(3)
        await ensemble.start()
        one = Candidate(ensemble, "p-0", 1)
        await until(lambda: one.epoch is not None)
        epoch = one.epoch
        ensemble.outage()
        await until(lambda: one.epoch is None)
        await asyncio.sleep(0.3)
        assert one.epoch is None
        ensemble.restore()
        await until(lambda: one.epoch is not None)
        assert one.epoch == epoch
        one.election.stop()
        ensemble.stop()

    play(scene())
