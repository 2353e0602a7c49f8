"""Messages between sidecars over loopback datagrams, and what the decision module makes of them."""

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


def in_loop(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Runs a test in an event loop of its own."""

    @functools.wraps(test)
    def run() -> None:
        async def whole() -> None:
            await test()

        asyncio.run(whole())

    return run


def _addresses(count: int) -> list[Address]:
    """Addresses that the kernel says are free for datagrams."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = [sock.getsockname() for sock in socks]
    for sock in socks:
        sock.close()
    return found


async def _until(heard: list[tuple[int, bytes]], count: int) -> None:
    async with asyncio.timeout(WAIT_S):
        while len(heard) < count:
            await asyncio.sleep(0.005)


async def _three() -> tuple[list[GossipTransport], list[list[tuple[int, bytes]]], list[Address]]:
    addresses = _addresses(3)
    heard: list[list[tuple[int, bytes]]] = [[], [], []]

    def hears(number: int) -> GossipTransport:
        def take(sender: int, payload: bytes) -> None:
            heard[number].append((sender, payload))

        return GossipTransport(GossipAddresses(addresses[number], tuple(addresses)), take)

    peers = [hears(number) for number in range(3)]
    for each in peers:
        await each.start()
    return peers, heard, addresses


@in_loop
async def test_a_message_reaches_all_others_and_names_its_sender() -> None:
    peers, heard, _ = await _three()
    peers[1].send_gossip(None, b"to all")
    peers[2].send_gossip(0, b"to one")
    await _until(heard[0], 2)
    await _until(heard[2], 1)
    assert sorted(heard[0]) == [(1, b"to all"), (2, b"to one")] and heard[2] == [(1, b"to all")]
    assert heard[1] == []
    for each in peers:
        each.stop()


@in_loop
async def test_a_dead_peer_and_a_stranger_change_nothing() -> None:
    peers, heard, addresses = await _three()
    peers[2].stop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(b"from nobody", addresses[0])
        for _ in range(5):
            peers[1].send_gossip(None, b"still here")
            await asyncio.sleep(0.01)
    await _until(heard[0], 5)
    assert set(heard[0]) == {(1, b"still here")}
    for each in peers:
        each.stop()


@in_loop
async def test_a_message_over_the_platforms_limit_never_leaves() -> None:
    peers, heard, _ = await _three()
    peers[1].send_gossip(None, bytes(MESSAGE_BYTES_MAX + 1))
    peers[1].send_gossip(None, bytes(MESSAGE_BYTES_MAX))
    await _until(heard[0], 1)
    assert [len(payload) for _, payload in heard[0]] == [MESSAGE_BYTES_MAX]
    for each in peers:
        each.stop()


def test_a_taken_address_leaves_the_sidecar_without_messages_and_alive(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def run(address: Address) -> None:
        peers = GossipTransport(GossipAddresses(address), lambda *_: None)
        await peers.start()
        peers.send_gossip(None, b"lost")

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        asyncio.run(run(taken.getsockname()))
    assert "no messages between sidecars" in caplog.text


@pytest.mark.parametrize(
    ("given", "named"),
    [
        ('"peer_listen": 7', "peer_listen"),
        ('"peer_listen": "127.0.0.1:1", "peers": "x"', "peers"),
        ('"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1", "nowhere"]', "host:port"),
        ('"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1", 4]', "peers[1]"),
        ('"peer_listen": "127.0.0.1:1", "peers_all": 4', "peers_all"),
    ],
)
def test_bad_addresses_of_the_tier_are_named(
    tmp_path_factory: pytest.TempPathFactory, given: str, named: str
) -> None:
    path = tmp_path_factory.mktemp("config") / "config.json"
    rest = '"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"lanes": [{"name": "a", "giveUpUs": 1}]}'
    path.write_text(f"{{{rest}, {given}}}", encoding="utf-8")
    with pytest.raises(ValueError) as bad:
        read_config({"RELAY_CONFIG": str(path)})
    assert named in str(bad.value)


# -- What the decision module makes of them ---------------------------------------------------------------


def _talking() -> Stage:
    stage = Stage(settings(limits={"gossip": True}, fleet_size=4, me=0))
    stage.servers(names(8))
    return stage


def test_ties_go_to_the_server_where_others_have_least() -> None:
    # Guards against a balancer that sees zeros on all its counters: its choice is chance.
    crowded = {name for name in names(8) if name != names(8)[5]}
    picked = []
    for seed in range(40):
        stage = Stage(settings(limits={"gossip": True}, fleet_size=4), seed=seed)
        stage.servers(names(8))
        payload = bytes([MESSAGE_VERSION]) + b"".join(
            server_tag(name).to_bytes(2, "little") + b"\x09" for name in crowded
        )
        stage.play(GossipReceived(1, payload))
        picked.append(stage.target(stage.request("pay")))
    drawn = 4 / 8  # k of the eight; where the idle one is among them it gets the request
    assert picked.count(names(8)[5]) >= 0.7 * drawn * len(picked)


def test_own_requests_in_flight_go_before_what_others_say() -> None:
    stage = Stage(settings(limits={"gossip": True}, fleet_size=4))
    stage.servers(names(2))
    first = stage.target(stage.request("pay"))
    other = next(name for name in names(2) if name != first)
    stage.play(
        GossipReceived(1, bytes([MESSAGE_VERSION]) + server_tag(other).to_bytes(2, "little") + b"\x63")
    )
    assert stage.target(stage.request("pay")) == other


def test_a_balancer_tells_what_it_has_in_flight_and_when_that_is_over() -> None:
    stage = _talking()
    requests = []
    for _ in range(12):
        stage.wait(20 * MS)
        requests.append(stage.request("pay"))
    stage.wait(100 * MS)
    for each in requests:
        stage.end(each)
    stage.wait(200 * MS)
    stage.end(stage.request("pay"))
    told = stage.said(SendGossip)
    assert told and all(each.receiver is None for each in told)
    assert any(len(each.payload) > 1 for each in told)


def test_a_balancer_that_may_not_send_messages_sends_none_and_hears_none() -> None:
    stage = Stage(settings(fleet_size=4))
    stage.servers(names(4))
    stage.play(GossipReceived(1, bytes([MESSAGE_VERSION, 1, 0, 9])))
    stage.serve(100)
    assert stage.said(SendGossip) == []


def test_its_own_message_that_comes_back_is_not_counted() -> None:
    stage = _talking()
    tag = server_tag(names(8)[0])
    stage.play(GossipReceived(0, bytes([MESSAGE_VERSION]) + tag.to_bytes(2, "little") + b"\x09"))
    assert stage.balancer.gossip._gossip is not None and stage.balancer.gossip._gossip.requests_at(tag) == 0
