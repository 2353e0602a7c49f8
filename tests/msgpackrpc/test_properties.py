"""Random histories: one final answer for each call, and no non-idempotent one executed twice by the servers' logs.

Bytes are split anywhere, responses come in any order, connections break at any point.

TOPAZBANK_EXAMPLES=100000 runs as many new ones; docs/measurements/msgpack-rpc.md has the figures of such a run.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from simulated import Simulation, VirtualTimeLoop

from topazbank.msgpackrpc.client import ConnectionSharing

EXAMPLES = os.environ.get("TOPAZBANK_EXAMPLES")
PROFILE = settings(
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
            [
                "served",
                "served",
                "served",
                "rejected",
                "error",
                "malformed",
                "wrong type",
                "twice",
                "incomplete",
                "silent",
            ]
        ),
        pieces,
    ),
    st.tuples(st.just("cut"), small, small),
    st.tuples(st.just("capacity"), small, st.sampled_from([0, 1, 30, 100, 10**6])),
    st.tuples(st.just("new capacity"), small, st.sampled_from([0, 10, 90, 200])),
    st.tuples(st.just("wait"), st.sampled_from([0.002, 0.002, 0.05, 0.3, 1.0, 1.6])),
    st.tuples(st.just("down"), small),
    st.tuples(st.just("up"), small),
    st.tuples(st.just("drain"), small),
    st.tuples(st.just("disconnect"), small),
    st.tuples(st.just("cancel attempt"), small),
)


async def perform(world: Simulation, step: Step) -> None:
    """Perform one step of a history."""
    name, *arguments = step
    if name == "wait":
        await asyncio.sleep(arguments[0])
        return
    if name in ("call", "burst", "disconnect"):
        client = world.client(arguments[0])
        if name == "call":
            client.call(arguments[1], arguments[2])
        elif name == "burst":
            for number in range(arguments[1]):
                client.call(
                    ("pay", "look", "amend")[number % 3] if arguments[2] == "all" else arguments[2], 1
                )
        else:
            client.disconnect()
        return
    if name == "cancel attempt":
        world.cancel_attempt(arguments[0])
        return
    server = world.servers[arguments[0] % len(world.servers)]
    if name == "reply":
        server.reply(*arguments[1:])
    elif name == "cut":
        server.cut(arguments[1])
    elif name == "capacity":
        for transport in list(server.transports):
            transport.add_capacity(arguments[1])
    elif name == "new capacity":
        server.capacity = arguments[1]
    elif name == "drain":
        world.drain(server)
    else:
        server.up = name == "up"
        if not server.up:
            for transport in server.transports:
                transport.abort()


async def run_history(capacities: list[int], sharing: ConnectionSharing, script: list[Step]) -> list[str]:
    world = Simulation(len(capacities), sharing)
    for server, capacity in zip(world.servers, capacities, strict=True):
        server.capacity = capacity
    try:
        for step in script:
            await perform(world, step)
            await asyncio.sleep(0)  # a turn of the event loop, as between events of a real one
        await world.settle()
    finally:
        world.close()
    return world.violations


def run(capacities: list[int], sharing: ConnectionSharing, script: list[Step]) -> list[str]:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run_history(capacities, sharing, script))


@PROFILE
@given(
    st.lists(st.sampled_from([10**9, 10**9, 0, 60, 150, 300]), min_size=1, max_size=4),
    st.builds(ConnectionSharing, st.integers(1, 4), st.integers(1, 4), st.integers(1, 6)),
    st.lists(steps, min_size=3, max_size=30),
)
def test_invariants_hold_in_every_history(
    capacities: list[int], sharing: ConnectionSharing, script: list[Step]
) -> None:
    assert run(capacities, sharing, script) == []


def test_the_simulation_detects_a_client_that_keeps_the_connection_of_a_cancelled_attempt() -> None:
    # Guards the test above: it must fail for a client that does not close the connection of an attempt that is retried.
    from topazbank.msgpackrpc.connection import RpcUpstreamConnection

    script: list[Step] = [("call", 0, "look", 1), ("wait", 0.002)] * 6  # so that some share a connection
    original = RpcUpstreamConnection.abandon

    def abandon_without_closing(self: RpcUpstreamConnection, attempt: Any, may_be_retried: bool) -> None:
        original(self, attempt, False)

    async def scene() -> list[str]:
        world = Simulation(2, ConnectionSharing(4, 4, 4))
        try:
            for step in script:
                await perform(world, step)
            world.cancel_attempt(0)
            world.cancel_attempt(0)
            await world.settle()
        finally:
            world.close()
        return world.violations

    for faulty in (False, True):
        RpcUpstreamConnection.abandon = abandon_without_closing if faulty else original  # type: ignore[method-assign]
        try:
            with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                assert ("two attempts at once" in runner.run(scene())) == faulty
        finally:
            RpcUpstreamConnection.abandon = original  # type: ignore[method-assign]


def test_responses_out_of_order_reach_their_own_calls_for_minutes() -> None:
    # A minute and a half of virtual time: 9,000 calls on one client connection, answered in any order.
    async def scene() -> list[str]:
        world = Simulation(2, ConnectionSharing(16, 8, 16))
        rng = random.Random(5)
        try:
            for number in range(9_000):
                world.client(0).call(("pay", "look", "amend")[number % 3], 1)
                await asyncio.sleep(0.01)
                for server in world.servers:
                    while len(server.pending) > 6:
                        server.reply(rng.randrange(len(server.pending)), "served", 1)
            for server in world.servers:
                while server.pending:
                    server.reply(rng.randrange(len(server.pending)), "served", 1)
            await world.settle()
            errors = world.clients[0].errors
            assert len(errors) == 9_000
            assert sum(error is None for error in errors.values()) > 8_500  # a few pass their deadline
        finally:
            world.close()
        return world.violations

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert runner.run(scene()) == []
