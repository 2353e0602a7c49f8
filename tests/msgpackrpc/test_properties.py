"""Any byte split, any order of responses, any cut: one final answer each, and no lodge twice by the nodes' own logs.

TOPAZBANK_EXAMPLES=100000 runs as many fresh ones; docs/measurements/msgpack-rpc.md has the figures of such a run.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

from hypothesis import HealthCheck, given
from hypothesis import settings as how
from hypothesis import strategies as st
from simulated import Played, PlayedLoop

from topazbank.msgpackrpc.client import Sharing

EXAMPLES = os.environ.get("TOPAZBANK_EXAMPLES")
PROFILE = how(
    max_examples=int(EXAMPLES or 1500),
    deadline=None,
    derandomize=EXAMPLES is None,
    database=None,
    suppress_health_check=list(HealthCheck),
)

small = st.integers(0, 5)
pieces = st.sampled_from([1, 1, 2, 7, 1000])
Step = tuple[Any, ...]
steps = st.one_of(
    st.tuples(st.just("call"), st.integers(0, 2), st.sampled_from(["pay", "look", "amend"]), pieces),
    st.tuples(st.just("call"), st.integers(0, 2), st.sampled_from(["pay", "look", "amend"]), pieces),
    st.tuples(
        st.just("burst"), st.integers(0, 2), st.integers(2, 9), st.sampled_from(["pay", "look", "all"])
    ),
    st.tuples(
        st.just("reply"),
        small,
        small,
        st.sampled_from(
            ["served", "served", "served", "rejected", "error", "spoilt", "wrong", "twice", "half", "silent"]
        ),
        pieces,
    ),
    st.tuples(st.just("cut"), small, small),
    st.tuples(st.just("room"), small, st.sampled_from([0, 1, 30, 100, 10**6])),
    st.tuples(st.just("crowded"), small, st.sampled_from([0, 10, 90, 200])),
    st.tuples(st.just("wait"), st.sampled_from([0.002, 0.002, 0.05, 0.3, 1.0, 1.6])),
    st.tuples(st.just("down"), small),
    st.tuples(st.just("up"), small),
    st.tuples(st.just("drain"), small),
    st.tuples(st.just("leave"), small),
    st.tuples(st.just("give up"), small),
)


async def act(world: Played, step: Step) -> None:
    """One step of a history."""
    name, *given_ = step
    if name == "wait":
        await asyncio.sleep(given_[0])
        return
    if name in ("call", "burst", "leave"):
        one = world.client(given_[0])
        if name == "call":
            one.call(given_[1], given_[2])
        elif name == "burst":
            for number in range(given_[1]):
                one.call(("pay", "look", "amend")[number % 3] if given_[2] == "all" else given_[2], 1)
        else:
            one.leave()
        return
    if name == "give up":
        world.give_up(given_[0])
        return
    node = world.nodes[given_[0] % len(world.nodes)]
    if name == "reply":
        node.reply(*given_[1:])
    elif name == "cut":
        node.cut(given_[1])
    elif name == "room":
        for wire in list(node.wires):
            wire.give_room(given_[1])
    elif name == "crowded":
        node.room = given_[1]
    elif name == "drain":
        world.drain(node)
    else:
        node.up = name == "up"
        if not node.up:
            for wire in node.wires:
                wire.abort()


async def history(rooms: list[int], sharing: Sharing, script: list[Step]) -> list[str]:
    world = Played(len(rooms), sharing)
    for node, room in zip(world.nodes, rooms, strict=True):
        node.room = room
    try:
        for step in script:
            await act(world, step)
            await asyncio.sleep(0)  # the loop has a turn, as it would between events of a real one
        await world.settle()
    finally:
        world.close()
    return world.broken


def run(rooms: list[int], sharing: Sharing, script: list[Step]) -> list[str]:
    with asyncio.Runner(loop_factory=PlayedLoop) as runner:
        return runner.run(history(rooms, sharing, script))


@PROFILE
@given(
    st.lists(st.sampled_from([10**9, 10**9, 0, 60, 150, 300]), min_size=1, max_size=4),
    st.builds(Sharing, st.integers(1, 4), st.integers(1, 4), st.integers(1, 6)),
    st.lists(steps, min_size=3, max_size=30),
)
def test_every_history_keeps_the_rules(rooms: list[int], sharing: Sharing, script: list[Step]) -> None:
    assert run(rooms, sharing, script) == []


def test_the_judges_see_a_rule_that_is_broken() -> None:
    # Guards the test above: a carrier that does not close what it gives up must be caught.
    from topazbank.msgpackrpc.client import RpcNodeConnection

    script: list[Step] = [("call", 0, "look", 1), ("wait", 0.002)] * 6  # so that some share a connection
    real = RpcNodeConnection.give_up

    def keeps_open(self: RpcNodeConnection, attempt: Any, may_return: bool) -> None:
        real(self, attempt, False)

    async def scene() -> list[str]:
        world = Played(2, Sharing(4, 4, 4))
        try:
            for step in script:
                await act(world, step)
            world.give_up(0)
            world.give_up(0)
            await world.settle()
        finally:
            world.close()
        return world.broken

    for broken in (False, True):
        RpcNodeConnection.give_up = keeps_open if broken else real  # type: ignore[method-assign]
        try:
            with asyncio.Runner(loop_factory=PlayedLoop) as runner:
                assert ("two attempts at once" in runner.run(scene())) == broken
        finally:
            RpcNodeConnection.give_up = real  # type: ignore[method-assign]


def test_a_node_that_answers_out_of_order_for_minutes_gives_each_call_its_own() -> None:
    # A minute and a half of played time: 9,000 calls on one client connection, answered in any order.
    async def scene() -> list[str]:
        world = Played(2, Sharing(16, 8, 16))
        picked = random.Random(5)
        try:
            for number in range(9_000):
                world.client(0).call(("pay", "look", "amend")[number % 3], 1)
                await asyncio.sleep(0.01)
                for node in world.nodes:
                    while len(node.held) > 6:
                        node.reply(picked.randrange(len(node.held)), "served", 1)
            for node in world.nodes:
                while node.held:
                    node.reply(picked.randrange(len(node.held)), "served", 1)
            await world.settle()
            answered = world.clients[0].got
            assert len(answered) == 9_000
            assert (
                sum(error is None for error in answered.values()) > 8_500
            )  # a few wait for longer than they may
        finally:
            world.close()
        return world.broken

    with asyncio.Runner(loop_factory=PlayedLoop) as runner:
        assert runner.run(scene()) == []
