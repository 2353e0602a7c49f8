"""Datagrams between sidecars over loopback, and how the balancer uses load gossip."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Awaitable, Callable

import pytest
from helpers import MS, Stage, names, settings

from topazbank.balancing.actions import SendGossip
from topazbank.balancing.events import GossipReceived
from topazbank.config import read_config
from topazbank.core.gossip_transport import GossipAddresses, GossipTransport
from topazbank.core.net import Address
from topazbank.estimation.load_gossip import MESSAGE_BYTES_MAX, MESSAGE_VERSION, server_tag

WAIT_S = 10.0


def in_event_loop(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Run a test in its own event loop."""

    @functools.wraps(test)
    def run() -> None:
        async def run_test() -> None:
            await test()

        asyncio.run(run_test())

    return run


def _free_addresses(count: int) -> list[Address]:
    """Return loopback addresses without a bound UDP socket."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = [sock.getsockname() for sock in socks]
    for sock in socks:
        sock.close()
    return addresses


async def _wait_for_count(received: list[tuple[int, bytes]], count: int) -> None:
    async with asyncio.timeout(WAIT_S):
        while len(received) < count:
            await asyncio.sleep(0.005)


async def _start_three() -> tuple[list[GossipTransport], list[list[tuple[int, bytes]]], list[Address]]:
    addresses = _free_addresses(3)
    received: list[list[tuple[int, bytes]]] = [[], [], []]

    def new_transport(number: int) -> GossipTransport:
        def receive(sender: int, payload: bytes) -> None:
            received[number].append((sender, payload))

        return GossipTransport(GossipAddresses(addresses[number], tuple(addresses)), receive)

    transports = [new_transport(number) for number in range(3)]
    for transport in transports:
        await transport.start()
    return transports, received, addresses


@in_event_loop
async def test_a_datagram_reaches_all_other_members_with_the_sender_number() -> None:
    transports, received, _ = await _start_three()
    transports[1].send_gossip(None, b"to all")
    transports[2].send_gossip(0, b"to one")
    await _wait_for_count(received[0], 2)
    await _wait_for_count(received[2], 1)
    assert sorted(received[0]) == [(1, b"to all"), (2, b"to one")] and received[2] == [(1, b"to all")]
    assert received[1] == []
    for transport in transports:
        transport.stop()


@in_event_loop
async def test_a_stopped_member_and_an_unknown_sender_have_no_effect() -> None:
    transports, received, addresses = await _start_three()
    transports[2].stop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
        unknown_sender.sendto(b"from nobody", addresses[0])
        for _ in range(5):
            transports[1].send_gossip(None, b"still here")
            await asyncio.sleep(0.01)
    await _wait_for_count(received[0], 5)
    assert set(received[0]) == {(1, b"still here")}
    for transport in transports:
        transport.stop()


@in_event_loop
async def test_a_datagram_over_the_size_limit_is_not_sent() -> None:
    transports, received, _ = await _start_three()
    transports[1].send_gossip(None, bytes(MESSAGE_BYTES_MAX + 1))
    transports[1].send_gossip(None, bytes(MESSAGE_BYTES_MAX))
    await _wait_for_count(received[0], 1)
    assert [len(payload) for _, payload in received[0]] == [MESSAGE_BYTES_MAX]
    for transport in transports:
        transport.stop()


def test_a_sidecar_runs_without_gossip_if_the_address_is_in_use(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def run(address: Address) -> None:
        transport = GossipTransport(GossipAddresses(address), lambda *_: None)
        await transport.start()
        transport.send_gossip(None, b"lost")

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", 0))
        asyncio.run(run(bound.getsockname()))
    assert "cannot open UDP socket" in caplog.text


@pytest.mark.parametrize(
    ("fields", "expected_text"),
    [
        ('"peer_listen": 7', "peer_listen"),
        ('"peer_listen": "127.0.0.1:1", "peers": "x"', "peers"),
        ('"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1", "nowhere"]', "host:port"),
        ('"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1", 4]', "peers[1]"),
        ('"peer_listen": "127.0.0.1:1", "peers_all": 4', "peers_all"),
    ],
)
def test_invalid_gossip_addresses_are_named(
    tmp_path_factory: pytest.TempPathFactory, fields: str, expected_text: str
) -> None:
    path = tmp_path_factory.mktemp("config") / "config.json"
    lanes = '"settings": {"lanes": [{"name": "a", "giveUpUs": 1}]}'
    required = f'"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", {lanes}'
    path.write_text(f"{{{required}, {fields}}}", encoding="utf-8")
    with pytest.raises(ValueError) as raised:
        read_config({"RELAY_CONFIG": str(path)})
    assert expected_text in str(raised.value)


# -- How the balancer uses load gossip ------------------------------------------------------------------


def _gossip_stage() -> Stage:
    stage = Stage(settings(limits={"gossip": True}, fleet_size=4, me=0))
    stage.servers(names(8))
    return stage


def test_ties_go_to_the_server_with_the_least_load_from_others() -> None:
    # Guards against a random choice: all of this sidecar's own counters are zero, so only gossip tells servers apart.
    loaded_servers = {name for name in names(8) if name != names(8)[5]}
    targets = []
    for seed in range(40):
        stage = Stage(settings(limits={"gossip": True}, fleet_size=4), seed=seed)
        stage.servers(names(8))
        payload = bytes([MESSAGE_VERSION]) + b"".join(
            server_tag(name).to_bytes(2, "little") + b"\x09" for name in loaded_servers
        )
        stage.play(GossipReceived(1, payload))
        targets.append(stage.target(stage.request("pay")))
    # 4 of the 8 servers are drawn as candidates; if the idle server is one of them it gets the request.
    candidate_share = 4 / 8
    assert targets.count(names(8)[5]) >= 0.7 * candidate_share * len(targets)


def test_own_requests_in_flight_rank_before_other_sidecars_load() -> None:
    stage = Stage(settings(limits={"gossip": True}, fleet_size=4))
    stage.servers(names(2))
    first = stage.target(stage.request("pay"))
    other = next(name for name in names(2) if name != first)
    stage.play(
        GossipReceived(1, bytes([MESSAGE_VERSION]) + server_tag(other).to_bytes(2, "little") + b"\x63")
    )
    assert stage.target(stage.request("pay")) == other


def test_a_balancer_gossips_its_load_and_the_end_of_its_load() -> None:
    stage = _gossip_stage()
    requests = []
    for _ in range(12):
        stage.wait(20 * MS)
        requests.append(stage.request("pay"))
    stage.wait(100 * MS)
    for request in requests:
        stage.end(request)
    stage.wait(200 * MS)
    stage.end(stage.request("pay"))
    messages = stage.said(SendGossip)
    assert messages and all(message.receiver is None for message in messages)
    assert any(len(message.payload) > 1 for message in messages)


def test_without_gossip_a_balancer_neither_sends_nor_uses_messages() -> None:
    stage = Stage(settings(fleet_size=4))
    stage.servers(names(4))
    stage.play(GossipReceived(1, bytes([MESSAGE_VERSION, 1, 0, 9])))
    stage.serve(100)
    assert stage.said(SendGossip) == []


def test_a_balancer_ignores_its_own_message() -> None:
    stage = _gossip_stage()
    tag = server_tag(names(8)[0])
    stage.play(GossipReceived(0, bytes([MESSAGE_VERSION]) + tag.to_bytes(2, "little") + b"\x09"))
    assert stage.balancer.gossip._gossip is not None and stage.balancer.gossip._gossip.requests_at(tag) == 0
