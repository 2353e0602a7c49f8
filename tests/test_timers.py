"""Timers multiplexed onto one event loop timer: order, cancellation, failures and heap size."""

from __future__ import annotations

import asyncio
import random

from topazbank.core import timers as timers_module
from topazbank.core.timers import Timers


def test_timers_fire_in_time_order_and_cancelled_ones_never() -> None:
    async def scenario() -> list[float]:
        timers, fired = Timers(), list[float]()
        loop, random_source = asyncio.get_running_loop(), random.Random(1)
        started_at = loop.time()
        delays = [random_source.randrange(50) / 1000 for _ in range(500)]
        pending = [timers.call_at(started_at + delay, fired.append, delay) for delay in delays]
        for timer in pending[::3]:
            timer.cancel()
            timer.cancel()  # a second cancel has no effect
        expected = sorted(delay for index, delay in enumerate(delays) if index % 3)
        while len(fired) < len(expected):
            await asyncio.sleep(0.005)
        assert all(timer.cancelled() for timer in pending) and len(timers) == 0
        assert fired == expected
        return fired

    assert asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_timer_never_fires_before_its_time() -> None:
    async def scenario() -> None:
        timers, loop = Timers(), asyncio.get_running_loop()
        earliness = list[float]()
        done = asyncio.Event()
        for index in range(200):
            due = loop.time() + index / 10_000
            timers.call_at(due, lambda due: earliness.append(due - loop.time()), due)
        timers.call_after(0.05, lambda _: done.set())
        await done.wait()
        assert len(earliness) == 200 and max(earliness) <= 0.0

    asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_failing_callback_does_not_stop_other_timers() -> None:
    async def scenario() -> None:
        timers, done = Timers(), asyncio.Event()
        now = asyncio.get_running_loop().time()
        timers.call_at(now, [].remove, "missing")
        timers.call_at(now, lambda _: done.set())
        await done.wait()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))


def test_a_callback_may_set_and_cancel_timers() -> None:
    async def scenario() -> list[str]:
        timers, fired, done = Timers(), list[str](), asyncio.Event()
        now = asyncio.get_running_loop().time()
        cancelled_timer = timers.call_at(now + 0.001, fired.append, "cancelled")

        def set_and_cancel(_: object) -> None:
            cancelled_timer.cancel()
            timers.call_at(now, fired.append, "already due")
            timers.call_after(0.002, lambda _: done.set())

        timers.call_at(now, set_and_cancel)
        await done.wait()
        return fired

    assert asyncio.run(asyncio.wait_for(scenario(), 20.0)) == ["already due"]


def test_cancelled_timers_are_dropped_soon() -> None:
    """A request's deadline timer is seconds away and cancelled within milliseconds. Keeping all would fill memory."""

    async def scenario() -> None:
        timers, max_heap_size = Timers(), 0
        due = asyncio.get_running_loop().time() + 60.0
        live_timers = [timers.call_at(due, print) for _ in range(10)]
        for _ in range(20_000):
            timers.call_at(due, print).cancel()
            max_heap_size = max(max_heap_size, len(timers))
        assert max_heap_size <= len(live_timers) + timers_module._COMPACTION_CANCELLED_MIN + 1
        assert not any(timer.cancelled() for timer in live_timers)
        for timer in live_timers:
            timer.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))
