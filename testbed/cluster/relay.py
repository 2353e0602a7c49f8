"""What passes every datagram between two sidecars, and does to it what a scene says for that ordered pair."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

from testbed.ports import private_loopback_host
from testbed.wire import Address


class _Door(asyncio.DatagramProtocol):
    """Where one member is reached: what comes here is for it."""

    def __init__(self, relay: Relay, number: int) -> None:
        self._relay, self._number = relay, number

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.passed(addr[:2], self._number, data)


class Relay:
    """One door a member; to the others a member is where its door is."""

    def __init__(self, members: list[Address], seed: int) -> None:
        """`members`: where each really hears and sends from."""
        self._members = members
        self._host = private_loopback_host()  # apart from the members', whose ports are free while none runs
        self._numbers = {address: number for number, address in enumerate(members)}
        self._random = random.Random(seed)
        self._doors: list[asyncio.DatagramTransport] = []
        self.doors: list[Address] = []
        self.cuts: set[tuple[int, int]] = set()
        self.loss = self.delay_s = self.doubled = 0.0
        self.counts: Counter[str] = Counter()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for number in range(len(self._members)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda number=number: _Door(self, number),  # type: ignore[misc]
                local_addr=(self._host, 0),
            )
            self._doors.append(transport)
            self.doors.append(transport.get_extra_info("sockname")[:2])

    def stop(self) -> None:
        for each in self._doors:
            each.close()

    def passed(self, source: Address, to: int, data: bytes) -> None:
        """From this source, for that member."""
        sender = self._numbers.get((source[0], source[1]))
        if sender is None:
            self.counts["strange"] += 1
            return
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data)
        self.counts["longest"] = max(self.counts["longest"], len(data))
        if (sender, to) in self.cuts or self._random.random() < self.loss:
            self.counts["dropped"] += 1
            return
        for _ in range(2 if self._random.random() < self.doubled else 1):
            if self.delay_s:
                wait = self._random.random() * self.delay_s
                asyncio.get_running_loop().call_later(wait, self._deliver, sender, to, data)
            else:
                self._deliver(sender, to, data)

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        if not self._doors[sender].is_closing():
            self._doors[sender].sendto(data, self._members[to])  # from the sender's own door
