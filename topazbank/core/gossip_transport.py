"""UDP datagrams between the sidecars of a cluster, if the platform provides an address; they may be late or lost."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, cast

from topazbank.core.net import Address
from topazbank.estimation.load_gossip import MESSAGE_BYTES_MAX, MESSAGE_VERSION

log = logging.getLogger(__name__)

_LOAD_GOSSIP_PREFIX: Final = bytes([MESSAGE_VERSION])  # the first byte of each load gossip message


@dataclass(frozen=True, slots=True)
class GossipAddresses:
    """The addresses at which the sidecars of a cluster exchange datagrams."""

    listen: Address  # this sidecar's address
    members: tuple[Address, ...] = ()  # indexed by member number, this sidecar included
    broadcast: Address | None = None  # a single address that reaches all other sidecars


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams; a datagram that cannot be sent is dropped, as UDP loses datagrams anyway."""

    def __init__(
        self,
        addresses: GossipAddresses,
        on_gossip: Callable[[int, bytes], None],
        sock: socket.socket | None = None,
        on_other_datagram: Callable[[bytes, Address], None] | None = None,
    ) -> None:
        """`on_gossip` receives a member's number and its load gossip, `on_other_datagram` all others, from any sender.

        `sock` is a bound socket that was handed over by the process that this one replaces.
        """
        self._addresses = addresses
        self._member_numbers = {address: number for number, address in enumerate(addresses.members)}
        self._on_gossip = on_gossip
        self._on_other_datagram = on_other_datagram
        self._sock = sock
        self._paused_socket: socket.socket | None = None  # a duplicate, while another process receives
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket; if that fails, log an error, and nothing is sent or received."""
        loop = asyncio.get_running_loop()
        try:
            if self._sock is not None:
                await loop.create_datagram_endpoint(lambda: self, sock=self._sock)
            else:
                # Allows binding while a hung process of this sidecar still has the port.  Datagrams that the hung
                # process does not read are lost.
                shared = self._on_other_datagram is not None
                await loop.create_datagram_endpoint(
                    lambda: self, local_addr=self._addresses.listen, reuse_port=shared or None
                )
        except OSError as error:
            log.error(
                "cannot open UDP socket %s:%d for sidecar datagrams: %s", *self._addresses.listen, error
            )

    @property
    def sock(self) -> socket.socket | None:
        """The receiving socket, to be handed over to the process that replaces this one."""
        if self._transport is None:
            return self._paused_socket
        return cast(socket.socket, self._transport.get_extra_info("socket"))

    def pause(self) -> None:
        """Stop receiving, so that another process with the same socket receives the datagrams."""
        if self._transport is not None:
            self._paused_socket = self._transport.get_extra_info("socket").dup()
            self._transport.close()
            self._transport = None

    async def resume(self) -> None:
        """Receive again after the other process has ended."""
        if self._paused_socket is not None:
            self._sock, self._paused_socket = self._paused_socket, None
            await self.start()

    def stop(self) -> None:
        """Close the socket."""
        if self._paused_socket is not None:
            self._paused_socket.close()
            self._paused_socket = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send_gossip(self, receiver: int | None, payload: bytes) -> None:
        """Send load gossip to the member with this number, or to all other members if it is None."""
        if self._transport is None or len(payload) > MESSAGE_BYTES_MAX:
            return
        for address in self._receivers(receiver):
            self._transport.sendto(payload, address)

    def _receivers(self, receiver: int | None) -> tuple[Address, ...]:
        members = self._addresses.members
        if receiver is not None:
            return (members[receiver],) if 0 <= receiver < len(members) else ()
        if self._addresses.broadcast is not None:
            return (self._addresses.broadcast,)
        return tuple(address for address in members if address != self._addresses.listen)

    def send(self, address: Address, payload: bytes) -> None:
        """Send a datagram of any kind to an address."""
        if self._transport is not None:
            self._transport.sendto(payload, address)

    # -- Called by asyncio ----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened socket."""
        # Before Python 3.12 the transport's class is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a datagram by its first byte; load gossip from a sender that is not a member is dropped."""
        if self._on_other_datagram is not None and data[:1] != _LOAD_GOSSIP_PREFIX:
            self._on_other_datagram(data, (addr[0], addr[1]))
            return
        number = self._member_numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MESSAGE_BYTES_MAX:
            self._on_gossip(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore socket errors, such as an unreachable port while a member is down."""
