"""Relays the datagrams between sidecars, and injects a scenario's faults, by ordered pair of sender and receiver."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from testbed.ports import private_loopback_host
from testbed.wire import Address


class _RelaySocket(asyncio.DatagramProtocol):
    """The address of one member, as the others know it."""

    def __init__(self, relay: Relay, number: int) -> None:
        self._relay, self._number = relay, number

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.receive(addr[:2], self._number, data)


class Relay:
    """One socket for each member; to the others a member is at its socket's address."""

    def __init__(self, members: list[Address], seed: int) -> None:
        """`members`: the addresses at which they really receive, and from which they send."""
        self._members = members
        self._host = private_loopback_host()  # unlike the members', whose ports are free while none runs
        self._numbers = {address: number for number, address in enumerate(members)}
        self._random = random.Random(seed)
        self._sockets: list[asyncio.DatagramTransport] = []
        self.addresses: list[Address] = []
        self.cuts: set[tuple[int, int]] = set()
        self.loss = self.delay_s = self.doubled = 0.0

    async def start(self) -> None:
        """Open the sockets."""
        loop = asyncio.get_running_loop()
        for number in range(len(self._members)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _RelaySocket(self, number),  # type: ignore[misc]
                local_addr=(self._host, 0),
            )
            self._sockets.append(transport)
            self.addresses.append(transport.get_extra_info("sockname")[:2])

    def stop(self) -> None:
        """Close the sockets."""
        for transport in self._sockets:
            transport.close()

    def receive(self, source: Address, receiver: int, data: bytes) -> None:
        """Take a datagram for a member, and deliver, delay, repeat or drop it."""
        sender = self._numbers.get((source[0], source[1]))
        if sender is None:
            return  # not a member's
        if (sender, receiver) in self.cuts or self._random.random() < self.loss:
            return
        for _ in range(2 if self._random.random() < self.doubled else 1):
            if self.delay_s:
                delay_s = self._random.random() * self.delay_s
                asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        if not self._sockets[sender].is_closing():
            self._sockets[sender].sendto(data, self._members[receiver])  # from the sender's relayed address
