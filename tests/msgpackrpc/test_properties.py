"""Random histories: each call gets one final answer, and the servers' logs show no repeated non-idempotent call.

Bytes are split anywhere, responses arrive in any order, and connections break at any point.

TOPAZBANK_EXAMPLES=100000 runs 100,000 new histories; docs/measurements/msgpack-rpc.md has the results of such a run.
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

small_indexes = st.integers(0, 5)
piece_counts = st.sampled_from([1, 1, 2, 7, 1000])
Step = tuple[Any, ...]
steps = st.one_of(
    st.tuples(st.just("call"), st.integers(0, 2), st.sampled_from(["pay", "look", "amend"]), piece_counts),
    st.tuples(st.just("call"), st.integers(0, 2), st.sampled_from(["pay", "look", "amend"]), piece_counts),
    st.tuples(
        st.just("burst"), st.integers(0, 2), st.integers(2, 9), st.sampled_from(["pay", "look", "all"])
    ),
    st.tuples(
        st.just("reply"),
        small_indexes,
        small_indexes,
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
        piece_counts,
    ),
    st.tuples(st.just("cut"), small_indexes, small_indexes),
    st.tuples(st.just("capacity"), small_indexes, st.sampled_from([0, 1, 30, 100, 10**6])),
    st.tuples(st.just("new capacity"), small_indexes, st.sampled_from([0, 10, 90, 200])),
    st.tuples(st.just("wait"), st.sampled_from([0.002, 0.002, 0.05, 0.3, 1.0, 1.6])),
    st.tuples(st.just("down"), small_indexes),
    st.tuples(st.just("up"), small_indexes),
    st.tuples(st.just("drain"), small_indexes),
    st.tuples(st.just("disconnect"), small_indexes),
    st.tuples(st.just("cancel attempt"), small_indexes),
)


async def perform(simulation: Simulation, step: Step) -> None:
    """Perform one step of a history."""
    name, *arguments = step
    if name == "wait":
        await asyncio.sleep(arguments[0])
        return
    if name in ("call", "burst", "disconnect"):
        client = simulation.client(arguments[0])
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
        simulation.cancel_attempt(arguments[0])
        return
    server = simulation.servers[arguments[0] % len(simulation.servers)]
    if name == "reply":
        server.reply(*arguments[1:])
    elif name == "cut":
        server.break_connection(arguments[1])
    elif name == "capacity":
        for transport in list(server.transports):
            transport.add_capacity(arguments[1])
    elif name == "new capacity":
        server.capacity = arguments[1]
    elif name == "drain":
        simulation.drain(server)
    else:
        server.up = name == "up"
        if not server.up:
            for transport in server.transports:
                transport.abort()


async def run_history(capacities: list[int], sharing: ConnectionSharing, script: list[Step]) -> list[str]:
    simulation = Simulation(len(capacities), sharing)
    for server, capacity in zip(simulation.servers, capacities, strict=True):
        server.capacity = capacity
    try:
        for step in script:
            await perform(simulation, step)
            await asyncio.sleep(0)  # yields to the event loop between steps, as between real I/O events
        await simulation.settle()
    finally:
        simulation.close()
    return simulation.violations


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
    # The test above must fail for a client that keeps open the connection of a cancelled attempt that may be retried.
    from topazbank.msgpackrpc.connection import RpcUpstreamConnection

    script: list[Step] = [("call", 0, "look", 1), ("wait", 0.002)] * 6  # some calls share a connection
    original = RpcUpstreamConnection.abandon

    def abandon_without_closing(self: RpcUpstreamConnection, attempt: Any, may_be_retried: bool) -> None:
        original(self, attempt, False)

    async def scenario() -> list[str]:
        simulation = Simulation(2, ConnectionSharing(4, 4, 4))
        try:
            for step in script:
                await perform(simulation, step)
            simulation.cancel_attempt(0)
            simulation.cancel_attempt(0)
            await simulation.settle()
        finally:
            simulation.close()
        return simulation.violations

    for faulty in (False, True):
        RpcUpstreamConnection.abandon = abandon_without_closing if faulty else original  # type: ignore[method-assign]
        try:
            with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                assert ("concurrent attempts of one request" in runner.run(scenario())) == faulty
        finally:
            RpcUpstreamConnection.abandon = original  # type: ignore[method-assign]


def test_responses_out_of_order_reach_their_own_calls_in_a_long_run() -> None:
    # A minute and a half of virtual time: 9,000 calls on one client connection, answered in any order.
    async def scenario() -> list[str]:
        simulation = Simulation(2, ConnectionSharing(16, 8, 16))
        rng = random.Random(5)
        try:
            for number in range(9_000):
                simulation.client(0).call(("pay", "look", "amend")[number % 3], 1)
                await asyncio.sleep(0.01)
                for server in simulation.servers:
                    while len(server.pending) > 6:
                        server.reply(rng.randrange(len(server.pending)), "served", 1)
            for server in simulation.servers:
                while server.pending:
                    server.reply(rng.randrange(len(server.pending)), "served", 1)
            await simulation.settle()
            errors = simulation.clients[0].errors
            assert len(errors) == 9_000
            # A few calls exceed their deadline.
            assert sum(error is None for error in errors.values()) > 8_500
        finally:
            simulation.close()
        return simulation.violations

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        assert runner.run(scenario()) == []
