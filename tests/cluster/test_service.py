"""Datagrams, clocks and names in the cluster service: several services on a simulated network."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator

import pytest
from helpers import settings
from loopback import play, until

from topazbank.cluster.__main__ import status_lines
from topazbank.cluster.service import (
    DATAGRAMS_PER_SECOND_MAX,
    LOG_LINES_PER_SECOND_MAX,
    ClusterService,
)
from topazbank.cluster.wire import Message, MessageKind, encode
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.gossip_transport import GossipAddresses
from topazbank.core.net import Address
from topazbank.estimation.fleet_size import FleetSize
from topazbank.operator_config import ClusterConfig

MEMBERS = 5
FAST = ClusterConfig(True, probe_period_ms=50, tolerated_pause_ms=100, forget_after_s=60)
HOUR_MS = 3_600_000
START_MS = 1_800_000_000_000


def address_of(number: int) -> Address:
    return ("127.0.0.1", 7000 + number)


class Network:
    """Delivers datagrams between services and records them."""

    def __init__(self) -> None:
        self.services: dict[Address, ClusterService] = {}
        self.sent: list[tuple[Address, Address, bytes]] = []
        self.wall_ms = START_MS

    def start(
        self,
        number: int,
        operator: ClusterConfig = FAST,
        address: Address | None = None,
        wall_ms: int | None = None,
    ) -> ClusterService:
        listen = address or address_of(number)
        addresses = tuple(address_of(member) for member in range(MEMBERS))
        config = SidecarConfig(
            listen,
            listen,
            number,
            256,
            settings(limits={"gossip": True}),
            EndpointList(0, True, []),
            GossipAddresses(listen, addresses),
        )
        self.wall_ms += 1000
        service = ClusterService(
            operator, config, FleetSize(MEMBERS), {}, wall_clock=lambda: wall_ms or self.wall_ms
        )
        self.services[listen] = service
        service.start(self._sender(listen))
        return service

    def _sender(self, source: Address) -> Callable[[Address, bytes], None]:
        def send(to: Address, data: bytes) -> None:
            self.sent.append((source, to, data))
            asyncio.get_running_loop().call_soon(self._deliver, source, to, data)

        return send

    def _deliver(self, source: Address, to: Address, data: bytes) -> None:
        if to in self.services:
            self.services[to].handle_datagram(data, source)

    def kill(self, address: Address) -> None:
        self.services.pop(address).stop()

    def stop(self) -> None:
        for address in list(self.services):
            self.kill(address)


@pytest.fixture
def network() -> Iterator[Network]:
    yield Network()


def sees(service: ClusterService, *numbers: int) -> bool:
    """Whether exactly these members are present according to a service."""
    present = {member["name"] for member in service.status()["members"] if member["answer"] == "here"}
    return present == {str(number) for number in numbers}


def generation(service: ClusterService) -> int:
    """The local generation of a service."""
    return service.detector.local.generation


def recorded_generation(observer: ClusterService, member: ClusterService) -> int:
    """The generation of `member` in the member table of `observer`."""
    return observer.detector.table.records[member.detector.local.ident].generation


def test_unknown_sources_and_invalid_datagrams_are_counted_by_reason_and_change_nothing(
    network: Network,
) -> None:
    async def scenario() -> None:
        a, _, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2))
        version = a.view.version
        valid = encode(Message(MessageKind.PING, 5, 6, 0, 1))
        a.handle_datagram(valid, ("127.0.0.1", 9))
        a.handle_datagram(valid[:-1], address_of(1))
        a.handle_datagram(bytes([valid[0]]) + bytes(len(valid) - 1), address_of(1))
        a.handle_datagram(valid + bytes(a.detector.settings.datagram_bytes), address_of(1))
        assert dict(a.dropped) == {"stranger": 1, "unreadable": 3}
        assert a.view.version == version and sees(a, 1, 2)
        network.stop()

    play(scenario())


def test_with_a_key_only_members_that_share_it_can_join(network: Network) -> None:
    async def scenario() -> None:
        keyed = ClusterConfig(True, "desk-a", 50, 100, 60, key="secret")
        a = network.start(0, keyed)
        b = network.start(
            1, ClusterConfig(True, "desk-b", 50, 100, 60, key="secret"), address=("127.0.0.1", 7900)
        )
        c = network.start(2, ClusterConfig(True, "desk-c", 50, 100, 60, key="another"))
        await until(lambda: a.view.present_count() == 2 and b.view.present_count() == 2)
        await until(lambda: a.dropped["unreadable"] > 0)
        assert c.view.present_count() == 1 and c.view.is_isolated
        network.stop()

    play(scenario())


def test_datagrams_beyond_the_rate_limit_are_dropped_and_the_log_is_bounded(
    network: Network, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        a, _, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2))
        rng = random.Random(1)
        caplog.clear()
        for number in range(5 * DATAGRAMS_PER_SECOND_MAX):  # each from a different unknown sender
            message = Message(MessageKind.GOSSIP, rng.getrandbits(48), 7, 0, number)
            a.handle_datagram(encode(message), address_of(1))
        assert a.dropped["flood"] >= 3 * DATAGRAMS_PER_SECOND_MAX  # the loop may span two windows of a second
        assert len(a.detector.table.records) <= 2 * DATAGRAMS_PER_SECOND_MAX + 1
        assert len(caplog.records) <= 2 * LOG_LINES_PER_SECOND_MAX
        network.stop()

    play(scenario())


def test_replayed_datagrams_of_a_previous_generation_change_nothing_after_a_restart(network: Network) -> None:
    async def scenario() -> None:
        a, b, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2))
        previous_datagrams = [(source, to, data) for source, to, data in network.sent if to == address_of(0)]
        previous_generation = generation(b)
        network.kill(address_of(1))
        b = network.start(1)
        await until(lambda: sees(a, 1, 2) and recorded_generation(a, b) == generation(b))
        assert generation(b) > previous_generation
        for source, _, data in previous_datagrams[-DATAGRAMS_PER_SECOND_MAX // 2 :]:
            a.handle_datagram(data, source)
        assert recorded_generation(a, b) == generation(b)
        await asyncio.sleep(0.3)
        assert sees(a, 1, 2) and sees(b, 0, 2)
        network.stop()

    play(scenario())


def test_a_restart_after_the_clock_was_set_back_has_a_newer_generation(network: Network) -> None:
    async def scenario() -> None:
        a, b, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2))
        previous_generation = generation(b)
        network.kill(address_of(1))
        b = network.start(1, wall_ms=previous_generation - HOUR_MS)
        await until(lambda: generation(b) > previous_generation and sees(a, 1, 2) and sees(b, 0, 2))
        network.kill(address_of(1))
        b = network.start(1, wall_ms=previous_generation + HOUR_MS)
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2))
        network.kill(address_of(1))
        b = network.start(1, wall_ms=previous_generation + 1)
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2) and generation(b) > previous_generation + HOUR_MS)
        network.stop()

    play(scenario())


def test_the_later_of_two_processes_with_one_name_keeps_it_and_the_other_reports_the_conflict(
    network: Network,
) -> None:
    async def scenario() -> None:
        def named(name: str) -> ClusterConfig:
            return ClusterConfig(True, name, 50, 100, 60, key="k")

        first = network.start(0, named("desk"))
        second_member, third_member = network.start(1, named("b")), network.start(2, named("c"))
        await until(lambda: first.view.present_count() == 3)
        await asyncio.sleep(2.1)  # joining is over: a later generation now means a name conflict
        second = network.start(3, named("desk"))
        await until(lambda: first.detector.local.superseded_by is not None)
        await until(
            lambda: (
                second_member.view.present_count() == 3
                and third_member.view.present_count() == 3
                and second.view.present_count() == 3
            )
        )
        assert first.view.is_isolated and second.detector.local.superseded_by is None
        assert any(
            "ANOTHER PROCESS HAS THIS NAME" in line for line in status_lines(first.status(), network.wall_ms)
        )
        sent = first.status()["sent"]
        await asyncio.sleep(0.2)
        assert first.status()["sent"] == sent, "a process that lost its name sends nothing more"
        network.stop()

    play(scenario())


def test_show_reports_dead_and_departed_members_and_isolation(network: Network) -> None:
    async def scenario() -> None:
        a, b, c, _, _ = (network.start(number) for number in range(MEMBERS))
        await until(lambda: sees(a, 1, 2, 3, 4))
        c.leave()
        network.kill(address_of(2))
        network.kill(address_of(3))
        await until(lambda: len(a.generations().ended) == 2 and sees(a, 1, 4))
        lines = status_lines(a.status(), network.wall_ms)
        assert (
            lines[0].startswith("0: connected; ")
            and "of expected members present, cluster size in use: 3" in lines[0]
        )
        by_name = {line.split()[0]: line for line in lines[3:] if line}
        assert "not here" in by_name["2"] and " left " in by_name["2"]
        assert "not here" in by_name["3"] and " gone " in by_name["3"]
        network.kill(address_of(1))
        network.kill(address_of(4))
        await until(lambda: a.view.is_isolated)
        lines = status_lines(a.status(), network.wall_ms)
        assert lines[0].startswith("0: ISOLATED") and "can't tell" in "\n".join(lines)
        assert all(ident != b.detector.local.ident for ident, _ in a.generations().ended)
        network.stop()

    play(scenario())
