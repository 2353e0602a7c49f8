"""Short messages between the sidecars of a tier: UDP datagrams, late or never, where the platform gives an address."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from topazbank.core.net import Address
from topazbank.estimation.load_gossip import MESSAGE_BYTES_MAX, MESSAGE_VERSION

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class GossipAddresses:
    """Where the sidecars of a tier hear one another."""

    listen: Address  # where this one's messages come in, and from where its own leave
    members: tuple[Address, ...] = ()  # by number, the own one among them
    broadcast: Address | None = None  # one address that reaches every other


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and hears messages; what can't be sent is lost, as any datagram may be."""

    def __init__(
        self,
        tier: GossipAddresses,
        heard: Callable[[int, bytes], None],
        sock: socket.socket | None = None,
        member: Callable[[bytes, Address], None] | None = None,
    ) -> None:
        """`heard` takes the sender's number and the message; `sock`: one that was handed over, bound already.

        `member` takes what is no such message, from whomever: this tier's own, or a stranger's.
        """
        self._member = member
        self._resting: socket.socket | None = None  # a copy of the socket while another process hears by it
        self._sock = sock
        self._tier = tier
        self._numbers = {address: number for number, address in enumerate(tier.members)}
        self._heard = heard
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen; without the address messages are not carried, and one line says so."""
        loop = asyncio.get_running_loop()
        try:
            if self._sock is not None:
                await loop.create_datagram_endpoint(lambda: self, sock=self._sock)
            else:
                # Beside a process of this sidecar that hangs: what it does not read is lost, as any may be.
                shared = self._member is not None
                await loop.create_datagram_endpoint(
                    lambda: self, local_addr=self._tier.listen, reuse_port=shared or None
                )
        except OSError as fault:
            log.error("no messages between sidecars: %s:%d: %s", *self._tier.listen, fault)

    @property
    def socket(self) -> socket.socket | None:
        """What it hears by, for the process that comes after this one."""
        return self._transport.get_extra_info("socket") if self._transport is not None else self._resting

    def pause(self) -> None:
        """Leave what comes in to another process that has the same socket."""
        if self._transport is not None:
            self._resting = self._transport.get_extra_info("socket").dup()
            self._transport.close()
            self._transport = None

    async def resume(self) -> None:
        """Hear again: the other process has ended."""
        if self._resting is not None:
            self._sock, self._resting = self._resting, None
            await self.start()

    def stop(self) -> None:
        if self._resting is not None:
            self._resting.close()
            self._resting = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send_gossip(self, receiver: int | None, payload: bytes) -> None:
        """Send to the sidecar of this number, or to all others (None)."""
        if self._transport is None or len(payload) > MESSAGE_BYTES_MAX:
            return
        addresses: tuple[Address, ...]
        if receiver is not None:
            known = 0 <= receiver < len(self._tier.members)
            addresses = (self._tier.members[receiver],) if known else ()
        elif self._tier.broadcast is not None:
            addresses = (self._tier.broadcast,)
        else:
            addresses = tuple(each for each in self._tier.members if each != self._tier.listen)
        for address in addresses:
            self._transport.sendto(payload, address)

    def send(self, address: Address, payload: bytes) -> None:
        """Send to whatever address; lost while nobody listens here."""
        if self._transport is not None:
            self._transport.sendto(payload, address)

    # -- What asyncio calls ---------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Its class is no subclass of DatagramTransport before Python 3.12.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self._member is not None and data[:1] != bytes([MESSAGE_VERSION]):
            self._member(data, (addr[0], addr[1]))
            return
        number = self._numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MESSAGE_BYTES_MAX:  # what strangers send is not heard
            self._heard(number, data)

    def error_received(self, exc: Exception) -> None:
        """A peer is down: its datagrams come back, and that is no matter."""
