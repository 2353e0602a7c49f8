"""Synthetic members of a large cluster, which answer and decide nothing, beside one real sidecar.

Each has an address of its own on loopback.  They report the digest that the sidecar sent last, so that it finds no
difference; the sidecar receives and sends as much a second as a member of a cluster of that size.
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
from topazbank.cluster.wire import InvalidMessage, Message, MessageKind, decode, encode, record_capacity

GENERATION = 1_800_000_000_000
PORT = 7946
INTRODUCTION_INTERVAL_S = 0.005  # between two datagrams: no faster than the sidecar reads


class SyntheticPeers:
    """Members 1 to `size` - 1; the sidecar is number 0."""

    def __init__(self, size: int, sidecar: Address, seed: int = 1) -> None:
        self._sidecar = sidecar
        self._random = random.Random(seed)
        self._sequences = itertools.count(1)
        self._digest = 0
        self._size = size
        self.addresses: list[Address] = [
            (f"127.9.{number >> 8}.{number & 0xFF}", PORT) for number in range(1, size)
        ]
        self._sockets: list[asyncio.DatagramTransport] = []
        self._probing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the sockets."""
        loop = asyncio.get_running_loop()
        for number, address in enumerate(self.addresses, start=1):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _PeerSocket(self, number),  # type: ignore[misc]
                local_addr=address,
            )
            self._sockets.append(transport)

    async def introduce(self) -> None:
        """Send the sidecar the records of all members, then begin to probe it."""
        records = [
            MemberRecord(ident_of(str(number)), GENERATION, 0, address=address)
            for number, address in enumerate(self.addresses, start=1)
        ]
        step = record_capacity(ProtocolSettings().datagram_bytes)
        for start in range(0, len(records), step):
            self._send(1, MessageKind.GOSSIP, records=tuple(records[start : start + step]))
            await asyncio.sleep(INTRODUCTION_INTERVAL_S)
        self._probing = asyncio.create_task(self._probe_sidecar())

    async def _probe_sidecar(self) -> None:
        """Ping the sidecar once a period, which is its share of all members' probes."""
        while True:
            await asyncio.sleep(ProtocolSettings().probe_period_us / 1e6)
            self._send(self._random.randrange(1, self._size), MessageKind.PING, target=ident_of("0"))

    def _send(
        self, member: int, kind: MessageKind, probe_id: int = 0, target: int = 0, **sections: Any
    ) -> None:
        message = Message(
            kind,
            ident_of(str(member)),
            GENERATION,
            0,
            next(self._sequences),
            probe_id,
            target,
            self._digest,
            self._size,
            **sections,
        )
        self._sockets[member - 1].sendto(encode(message), self._sidecar)

    def receive(self, member: int, data: bytes) -> None:
        """Answer a message of the sidecar."""
        with contextlib.suppress(InvalidMessage):
            message = decode(data)
            self._digest = message.digest
            if message.kind is MessageKind.PING:
                self._send(member, MessageKind.ACK, message.probe_id, ident_of(str(member)))
            elif message.kind is MessageKind.PING_REQ:
                self._send(member, MessageKind.ACK, message.probe_id, message.target)

    def stop(self) -> None:
        """Close the sockets."""
        if self._probing is not None:
            self._probing.cancel()
        for transport in self._sockets:
            transport.close()


class _PeerSocket(asyncio.DatagramProtocol):
    def __init__(self, peers: SyntheticPeers, number: int) -> None:
        self._peers, self._number = peers, number

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._peers.receive(self._number, data)
