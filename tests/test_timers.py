"""Many timers on one of the loop's: order, cancellation, failures, and how many are kept."""

from __future__ import annotations

import asyncio
import random

from topazbank.core import timers as made
from topazbank.core.timers import Timers


def test_timers_fire_in_time_order_and_cancelled_ones_never() -> None:
    async def scenario() -> list[float]:
        timers, fired = Timers(), list[float]()
        loop, chance = asyncio.get_running_loop(), random.Random(1)
        began = loop.time()
        times = [chance.randrange(50) / 1000 for _ in range(500)]
        waiting = [timers.call_at(began + each, fired.append, each) for each in times]
        for timer in waiting[::3]:
            timer.cancel()
            timer.cancel()  # twice is once
        expected = sorted(each for n, each in enumerate(times) if n % 3)
        while len(fired) < len(expected):
            await asyncio.sleep(0.005)
        assert all(each.cancelled() for each in waiting) and len(timers) == 0
        assert fired == expected
        return fired

    assert asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_timer_never_fires_before_its_time() -> None:
    async def scenario() -> None:
        timers, loop = Timers(), asyncio.get_running_loop()
        early = list[float]()
        done = asyncio.Event()
        for each in range(200):
            due = loop.time() + each / 10_000
            timers.call_at(due, lambda due: early.append(due - loop.time()), due)
        timers.call_after(0.05, lambda _: done.set())
        await done.wait()
        assert len(early) == 200 and max(early) <= 0.0

    asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_timer_whose_call_fails_stops_no_other() -> None:
    async def scenario() -> None:
        timers, done = Timers(), asyncio.Event()
        now = asyncio.get_running_loop().time()
        timers.call_at(now, [].remove, "not there")
        timers.call_at(now, lambda _: done.set())
        await done.wait()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_timer_s_call_may_set_and_cancel_timers() -> None:
    async def scenario() -> list[str]:
        timers, fired, done = Timers(), list[str](), asyncio.Event()
        now = asyncio.get_running_loop().time()
        never = timers.call_at(now + 0.001, fired.append, "cancelled")

        def first(_: object) -> None:
            never.cancel()
            timers.call_at(now, fired.append, "due already")
            timers.call_after(0.002, lambda _: done.set())

        timers.call_at(now, first)
        await done.wait()
        return fired

    assert asyncio.run(asyncio.wait_for(scenario(), 20.0)) == ["due already"]


def test_cancelled_timers_are_dropped_soon() -> None:
    """A request's deadline is seconds off and cancelled in milliseconds: a heap of the dead would fill the memory."""

    async def scenario() -> None:
        timers, most = Timers(), 0
        later = asyncio.get_running_loop().time() + 60.0
        lasting = [timers.call_at(later, print) for _ in range(10)]
        for _ in range(20_000):
            timers.call_at(later, print).cancel()
            most = max(most, len(timers))
        assert most <= len(lasting) + made._CANCELLED_MIN + 1
        assert not any(each.cancelled() for each in lasting)
        for each in lasting:
            each.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))
