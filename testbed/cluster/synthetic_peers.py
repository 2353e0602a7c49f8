"""Members of a large tier that answer as they should and decide nothing: company for one real sidecar.

Each has an address of its own on loopback.  They agree with whatever view they are told of, so that the sidecar finds
its tier settled; what it hears and is asked a second is what a member of a tier of that size hears and is asked.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from typing import Any

from testbed.wire import Address
from topazbank.cluster.member import MemberRecord, ident_of
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.wire import BadMessage, Kind, Message, decode, encode, records_in

LIFE = 1_800_000_000_000
PORT = 7946


class SyntheticPeers:
    """Members 1 to `size` - 1; the sidecar is number 0."""

    def __init__(self, size: int, sidecar: Address, seed: int = 1) -> None:
        self._sidecar = sidecar
        self._random = random.Random(seed)
        self._counts = itertools.count(1)
        self._digest = 0
        self._size = size
        self.addresses: list[Address] = [
            (f"127.9.{number >> 8}.{number & 0xFF}", PORT) for number in range(1, size)
        ]
        self._doors: list[asyncio.DatagramTransport] = []
        self._ticking: asyncio.Task[None] | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for number, address in enumerate(self.addresses, start=1):
            door, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Door(self, number),  # type: ignore[misc]
                local_addr=address,
            )
            self._doors.append(door)

    async def introduce(self) -> None:
        """Tell the sidecar of all, no faster than it reads."""
        records = [
            MemberRecord(ident_of(str(number)), LIFE, 0, address=address)
            for number, address in enumerate(self.addresses, start=1)
        ]
        room = records_in(ProtocolSettings().datagram)
        for at in range(0, len(records), room):
            self._say(1, Kind.TELL, news=tuple(records[at : at + room]))
            await asyncio.sleep(0.005)
        self._ticking = asyncio.get_running_loop().create_task(self._tick())

    async def _tick(self) -> None:
        """Each member probes one in each period: the sidecar's turn comes once, on the mean."""
        while True:
            await asyncio.sleep(ProtocolSettings().period_us / 1e6)
            self._say(self._random.randrange(1, self._size), Kind.PING, target=ident_of("0"))

    def _say(self, member: int, kind: Kind, probe: int = 0, target: int = 0, **more: Any) -> None:
        message = Message(
            kind,
            ident_of(str(member)),
            LIFE,
            0,
            next(self._counts),
            probe,
            target,
            self._digest,
            self._size,
            **more,
        )
        self._doors[member - 1].sendto(encode(message), self._sidecar)

    def heard(self, member: int, data: bytes) -> None:
        with contextlib.suppress(BadMessage):
            message = decode(data)
            self._digest = message.digest
            if message.kind is Kind.PING:
                self._say(member, Kind.ACK, message.probe, ident_of(str(member)))
            elif message.kind is Kind.ASK:
                self._say(member, Kind.ACK, message.probe, message.target)

    def stop(self) -> None:
        if self._ticking is not None:
            self._ticking.cancel()
        for each in self._doors:
            each.close()


class _Door(asyncio.DatagramProtocol):
    def __init__(self, crowd: SyntheticPeers, number: int) -> None:
        self._crowd, self._number = crowd, number

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._crowd.heard(self._number, data)
