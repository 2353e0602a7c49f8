"""A member's datagrams, clock and name, as its service takes them; several services on a network of this test's own."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterator

import pytest
from helpers import settings
from loopback import play, until

from topazbank.cluster.__main__ import table
from topazbank.cluster.service import HEARD_MOST, LINES_MOST, ClusterService
from topazbank.cluster.wire import Kind, Message, encode
from topazbank.core.driver import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.gossip_transport import GossipAddresses
from topazbank.core.net import Address
from topazbank.estimation.fleet_size import FleetSize
from topazbank.operator_config import ClusterConfig

MEMBERS = 5
QUICK = ClusterConfig(True, probe_period_ms=50, tolerated_pause_ms=100, forget_after_s=60)
HOUR_MS = 3_600_000
WALL = 1_800_000_000_000


def address_of(number: int) -> Address:
    return ("127.0.0.1", 7000 + number)


class Network:
    """Carries datagrams between services, and keeps them."""

    def __init__(self) -> None:
        self.services: dict[Address, ClusterService] = {}
        self.kept: list[tuple[Address, Address, bytes]] = []
        self.wall = WALL

    def start(
        self, number: int, given: ClusterConfig = QUICK, at: Address | None = None, wall: int | None = None
    ) -> ClusterService:
        here = at or address_of(number)
        members = tuple(address_of(each) for each in range(MEMBERS))
        config = SidecarConfig(
            here,
            here,
            number,
            256,
            settings(limits={"gossip": True}),
            EndpointList(0, True, []),
            GossipAddresses(here, members),
        )
        self.wall += 1000
        service = ClusterService(given, config, FleetSize(MEMBERS), {}, wall=lambda: wall or self.wall)
        self.services[here] = service
        service.start(self._carrier(here))
        return service

    def _carrier(self, source: Address) -> Callable[[Address, bytes], None]:
        def send(to: Address, data: bytes) -> None:
            self.kept.append((source, to, data))
            asyncio.get_running_loop().call_soon(self._deliver, source, to, data)

        return send

    def _deliver(self, source: Address, to: Address, data: bytes) -> None:
        if to in self.services:
            self.services[to].datagram(data, source)

    def kill(self, at: Address) -> None:
        self.services.pop(at).stop()

    def stop(self) -> None:
        for each in list(self.services):
            self.kill(each)


@pytest.fixture
def network() -> Iterator[Network]:
    made = Network()
    yield made


def sees(service: ClusterService, *numbers: int) -> bool:
    """Whether these, and nobody else, are here to it, and it is in touch."""
    here = {each["name"] for each in service.show()["members"] if each["answer"] == "here"}
    return here == {str(each) for each in numbers}


def test_strangers_junk_and_what_is_oversized_are_counted_by_why_and_change_nothing(network: Network) -> None:
    async def scene() -> None:
        a, _, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2))
        before = a.view.number
        good = encode(Message(Kind.PING, 5, 6, 0, 1))
        a.datagram(good, ("127.0.0.1", 9))
        a.datagram(good[:-1], address_of(1))
        a.datagram(bytes([good[0]]) + bytes(len(good) - 1), address_of(1))
        a.datagram(good + bytes(a.detector.rules.datagram), address_of(1))
        assert dict(a.dropped) == {"stranger": 1, "unreadable": 3}
        assert a.view.number == before and sees(a, 1, 2)
        network.stop()

    play(scene())


def test_with_a_key_strangers_that_have_it_may_join_and_others_may_not(network: Network) -> None:
    async def scene() -> None:
        keyed = ClusterConfig(True, "desk-a", 50, 100, 60, key="secret")
        a = network.start(0, keyed)
        b = network.start(1, ClusterConfig(True, "desk-b", 50, 100, 60, key="secret"), at=("127.0.0.1", 7900))
        c = network.start(2, ClusterConfig(True, "desk-c", 50, 100, 60, key="another"))
        await until(lambda: a.view.here() == 2 and b.view.here() == 2)
        await until(lambda: a.dropped["unreadable"] > 0)
        assert c.view.here() == 1 and c.view.cut_off
        network.stop()

    play(scene())


def test_a_flood_is_dropped_unread_and_the_log_stays_bounded(
    network: Network, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        a, _, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2))
        chance = random.Random(1)
        caplog.clear()
        for number in range(5 * HEARD_MOST):  # each tells of a member that nobody knew
            news = Message(Kind.TELL, chance.getrandbits(48), 7, 0, number)
            a.datagram(encode(news), address_of(1))
        assert a.dropped["flood"] >= 3 * HEARD_MOST  # the second may turn once meanwhile
        assert len(a.detector.table.records) <= 2 * HEARD_MOST + 1
        assert len(caplog.records) <= 2 * LINES_MOST
        network.stop()

    play(scene())


def test_old_datagrams_of_a_former_life_played_again_after_a_restart_change_nothing(network: Network) -> None:
    async def scene() -> None:
        a, b, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2))
        old = [(source, to, data) for source, to, data in network.kept if to == address_of(0)]
        former = b.detector.life
        network.kill(address_of(1))
        b = network.start(1)
        await until(lambda: sees(a, 1, 2) and a.detector.table.records[b.detector.me].life == b.detector.life)
        assert b.detector.life > former
        for source, _, data in old[-HEARD_MOST // 2 :]:
            a.datagram(data, source)
        assert a.detector.table.records[b.detector.me].life == b.detector.life
        await asyncio.sleep(0.3)
        assert sees(a, 1, 2) and sees(b, 0, 2)
        network.stop()

    play(scene())


def test_a_restart_by_a_clock_that_was_set_back_an_hour_is_a_newer_life(network: Network) -> None:
    async def scene() -> None:
        a, b, _ = (network.start(number) for number in range(3))
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2))
        former = b.detector.life
        network.kill(address_of(1))
        b = network.start(1, wall=former - HOUR_MS)
        await until(lambda: b.detector.life > former and sees(a, 1, 2) and sees(b, 0, 2))
        network.kill(address_of(1))
        b = network.start(1, wall=former + HOUR_MS)
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2))
        network.kill(address_of(1))
        b = network.start(1, wall=former + 1)
        await until(lambda: sees(a, 1, 2) and sees(b, 0, 2) and b.detector.life > former + HOUR_MS)
        network.stop()

    play(scene())


def test_of_two_processes_with_one_name_the_later_keeps_it_and_the_older_says_so(network: Network) -> None:
    async def scene() -> None:
        def named(name: str) -> ClusterConfig:
            return ClusterConfig(True, name, 50, 100, 60, key="k")

        first = network.start(0, named("desk"))
        other, third = network.start(1, named("b")), network.start(2, named("c"))
        await until(lambda: first.view.here() == 3)
        await asyncio.sleep(2.1)  # it has joined long since: a later life is no former process's
        second = network.start(3, named("desk"))
        await until(lambda: first.detector.taken_by is not None)
        await until(lambda: other.view.here() == 3 and third.view.here() == 3 and second.view.here() == 3)
        assert first.view.cut_off and second.detector.taken_by is None
        assert any("ANOTHER PROCESS HAS THIS NAME" in line for line in table(first.show(), network.wall))
        sent = first.show()["sent"]
        await asyncio.sleep(0.2)
        assert first.show()["sent"] == sent, "who lost its name says nothing more"
        network.stop()

    play(scene())


def test_show_tells_who_is_gone_who_left_and_that_it_is_cut_off(network: Network) -> None:
    async def scene() -> None:
        a, b, c, _, _ = (network.start(number) for number in range(MEMBERS))
        await until(lambda: sees(a, 1, 2, 3, 4))
        c.leave()
        network.kill(address_of(2))
        network.kill(address_of(3))
        await until(lambda: len(a.lives().gone) == 2 and sees(a, 1, 4))
        told = table(a.show(), network.wall)
        assert told[0].startswith("0: in touch; ") and "of the tier answers, counted as 3" in told[0]
        by_name = {line.split()[0]: line for line in told[3:] if line}
        assert "not here" in by_name["2"] and " left " in by_name["2"]
        assert "not here" in by_name["3"] and " gone " in by_name["3"]
        network.kill(address_of(1))
        network.kill(address_of(4))
        await until(lambda: a.view.cut_off)
        told = table(a.show(), network.wall)
        assert told[0].startswith("0: CUT OFF") and "can't tell" in "\n".join(told)
        assert all(ident != b.detector.me for ident, _ in a.lives().gone)
        network.stop()

    play(scene())
