"""Servers of both protocols behind one sidecar: calls are translated, pods and load reports work across protocols."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest
from loopback import FakeServer, answer, pair, play, until, world

from testbed.wire import HTTP, MSGPACK_RPC
from topazbank.balancing.actions import Action
from topazbank.balancing.events import AttemptEnded, Event

pytestmark = pytest.mark.usefixtures("each_client")


def served(*_: object) -> bytes:
    return answer(200, b"served")


def breaks(*_: object) -> bytes:
    return b""


def test_a_call_with_an_idempotency_key_is_retried_in_its_pod_only_whatever_its_servers_speak() -> None:
    async def scene() -> None:
        async with world() as w:
            servers = [FakeServer(f"s-{n}", breaks) for n in range(6)]
            for number, each in enumerate(servers):
                each.protocol = (HTTP, MSGPACK_RPC)[number % 2]  # both pods have both
                await each.start()
            pods = {each.name: number // 3 for number, each in enumerate(servers)}
            w.discovery.say(42, [each.entry(group=pods[each.name]) for each in servers], snapshot=True)
            await until(lambda: len(w.sidecar._balancer.servers.ready) == 6)
            retried = 0
            for number in range(30):
                w.sidecar._balancer.retries.budget = 5.0  # the retry budget
                await w.ask(kind="amend", body=b"x", X_Call_Id=f"a-{number}")
                reached = [
                    each.name
                    for each in servers
                    for _, headers, _ in each.requests
                    if headers["x-call-id"] == f"a-{number}"
                ]
                assert len({pods[name] for name in reached}) == 1 and len(reached) <= 3
                retried += len(reached) > 1
            assert retried
            for each in servers:
                each.stop()

    play(scene())


def test_bodies_pass_between_protocols_unchanged() -> None:
    async def scene() -> None:
        for protocol in (HTTP, MSGPACK_RPC):
            body = bytes(range(256)) * 200
            async with world(
                lambda first, headers, received: answer(200, received[::-1], Content_Type="x/y")
            ) as w:
                w.servers[0].protocol = protocol
                w.discovery.say(42, [w.servers[0].entry()], snapshot=True)
                await until(partial(w.discovery.called, 2))
                status, headers, answered = await w.ask(kind="pay", body=body)
                assert (status, headers["content-type"], answered) == (200, "x/y", body[::-1])
                assert w.sent()[0][2] == body

    play(scene())


@pytest.mark.parametrize("protocol", [HTTP, MSGPACK_RPC])
@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.interpreted
def test_load_reports_reach_the_balancer_from_responses_and_from_rejections(
    protocol: str, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        columns = {"source": "responses", "columns": ["util", "queue"]}

        def reports(*_: object) -> bytes:
            return answer(status, b"", X_Load_Report="TEXT util=0.25, queue=3, other=1", X_Rejected="1")

        async with world(reports, report=columns) as w:
            w.servers[0].protocol = protocol
            w.discovery.say(42, [w.servers[0].entry(protocol=protocol)], snapshot=True)
            await until(lambda: len(w.discovery.targets) == 2)
            handle_event, events = w.sidecar._balancer.handle, []

            def handle(now: int, event: Event) -> list[Action]:
                events.append(event)
                return handle_event(now, event)

            monkeypatch.setattr(w.sidecar._balancer, "handle", handle)
            await w.ask(budget="0.5")
            ended = [each for each in events if isinstance(each, AttemptEnded)]
            assert ended and all(each.report == {"util": 0.25, "queue": 3.0} for each in ended)

    play(scene())


def test_servers_of_both_protocols_serve_all_and_a_draining_one_gets_nothing_new() -> None:
    async def scene() -> None:
        async with world(served, served, served, served) as w:
            for number, each in enumerate(w.servers):
                each.protocol = (HTTP, MSGPACK_RPC)[number % 2]
            w.discovery.say(42, [each.entry() for each in w.servers], snapshot=True)
            await until(lambda: len(w.discovery.targets) == 2)
            requests = [w.ask(kind=("pay", "look")[n % 2], X_Call_Id=f"c-{n}") for n in range(40)]
            assert {each[0] for each in await asyncio.gather(*requests)} == {200}
            assert all(each.requests for each in w.servers)
            draining = w.servers[:2]
            w.discovery.say(43, [each.entry(status="leaving") for each in draining])
            await until(lambda: len(w.sidecar._balancer.servers.ready) == 2)
            before = [len(each.requests) for each in draining]
            for number in range(20):
                assert (await w.ask(X_Call_Id=f"d-{number}"))[0] == 200
            assert [len(each.requests) for each in draining] == before
            assert pair().nodes == HTTP

    play(scene())
