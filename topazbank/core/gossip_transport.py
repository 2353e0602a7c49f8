"""Datagrams between the sidecars of a cluster over UDP: late or lost, where the platform gives an address for them."""

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

_LOAD_GOSSIP_MARK: Final = bytes([MESSAGE_VERSION])  # the first byte of its messages


@dataclass(frozen=True, slots=True)
class GossipAddresses:
    """Where the sidecars of a cluster exchange datagrams."""

    listen: Address  # of this one
    members: tuple[Address, ...] = ()  # by number, this one among them
    broadcast: Address | None = None  # one address that reaches every other


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams; what can't be sent is lost, as any datagram may be."""

    def __init__(
        self,
        addresses: GossipAddresses,
        on_gossip: Callable[[int, bytes], None],
        sock: socket.socket | None = None,
        on_other_datagram: Callable[[bytes, Address], None] | None = None,
    ) -> None:
        """`on_gossip` receives a member's number and its load gossip, `on_other_datagram` all others, from anyone.

        `sock`: bound already, handed over by the process that this one replaces.
        """
        self._addresses = addresses
        self._numbers = {address: number for number, address in enumerate(addresses.members)}
        self._on_gossip = on_gossip
        self._on_other_datagram = on_other_datagram
        self._sock = sock
        self._paused_socket: socket.socket | None = None  # a copy, while another process receives from it
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen; where the address can't be had one log line says so, and nothing is sent or received."""
        loop = asyncio.get_running_loop()
        try:
            if self._sock is not None:
                await loop.create_datagram_endpoint(lambda: self, sock=self._sock)
            else:
                # Beside a process of this sidecar that hangs: what that one does not read is lost.
                shared = self._on_other_datagram is not None
                await loop.create_datagram_endpoint(
                    lambda: self, local_addr=self._addresses.listen, reuse_port=shared or None
                )
        except OSError as error:
            log.error("no messages between sidecars: %s:%d: %s", *self._addresses.listen, error)

    @property
    def sock(self) -> socket.socket | None:
        """The socket that it receives from, for the process that replaces this one."""
        if self._transport is None:
            return self._paused_socket
        return cast(socket.socket, self._transport.get_extra_info("socket"))

    def pause(self) -> None:
        """Leave what comes to another process that has the same socket."""
        if self._transport is not None:
            self._paused_socket = self._transport.get_extra_info("socket").dup()
            self._transport.close()
            self._transport = None

    async def resume(self) -> None:
        """Receive again: the other process has ended."""
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
        """Send load gossip to the member of this number, or to all others (None)."""
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
        """Send any datagram to an address."""
        if self._transport is not None:
            self._transport.sendto(payload, address)

    # -- Called by asyncio ----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        # Its class is no subclass of DatagramTransport before Python 3.12.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on by its first byte; load gossip from who is no member is dropped."""
        if self._on_other_datagram is not None and data[:1] != _LOAD_GOSSIP_MARK:
            self._on_other_datagram(data, (addr[0], addr[1]))
            return
        number = self._numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MESSAGE_BYTES_MAX:
            self._on_gossip(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a member is down and its datagrams come back."""
