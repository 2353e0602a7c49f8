"""Runs one process's lease clients and lease servers: connects them to the network, the timer and the ledger."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from functools import partial
from typing import Any

from topazbank.cluster.member import ident_of
from topazbank.core.net import Address
from topazbank.quota.fleet_quota import LeasedFleetQuota
from topazbank.quota.lease import ClientId, LeaseGrant
from topazbank.quota.lease_client import LeaseClient, OutgoingMessage
from topazbank.quota.lease_server import LeaseServer
from topazbank.quota.lease_server_host import LeaseServerHost
from topazbank.quota.ledger import Ledger
from topazbank.quota.rules import QuotaBinding
from topazbank.quota.status import quota_status
from topazbank.quota.wire import BadMessage, Message, MessageKind, decode, encode, quota_id_of

TICK_PERIOD_S = 0.1
DATAGRAMS_PER_S_MAX = 4000  # datagrams above this rate are dropped without being decoded
GENERATION_BYTES = 6


class DropReason(StrEnum):
    """The reason why a datagram was dropped; the values are keys of the admin endpoint's format."""

    FLOOD = "flood"
    UNREADABLE = "unreadable"
    UNKNOWN_QUOTA = "not known here"


class QuotaService:
    """One process's lease clients and lease servers."""

    def __init__(
        self,
        bindings: Sequence[QuotaBinding],
        name: str,
        address_of: Callable[[str], Address | None],
        now: Callable[[], int],
        lock_folder: str | None,
        key: bytes = b"",
        ledger_folder: str = "",
        store_folder: str = "",
    ) -> None:
        """`name`: this process's member name; `now`: monotonic microseconds; `key`: the datagram checksum's key.

        `address_of`: returns a member's current address, or None if it is unknown.  `lock_folder`: shared by all
        processes of this member on this machine.  `ledger_folder`, `store_folder`: "" disables the ledger or the store.
        """
        self._name = name
        self._address_of = address_of
        self._now = now
        self._key = key
        # The generation is random: both processes of an upgrade share a name, but each has its own leases.
        generation = int.from_bytes(os.urandom(GENERATION_BYTES), "big")
        self._client_id = ClientId(ident_of(name), generation)
        started_at = now()
        self._bindings = tuple(bindings)
        quotas = {quota_id_of(binding.quota): binding.quota for binding in bindings}
        self.clients = {quota_id: LeaseClient(quota, name, started_at) for quota_id, quota in quotas.items()}
        self._server_names = {
            ident_of(server): server for quota in quotas.values() for server in quota.lease_servers
        }
        self._server_host = LeaseServerHost(name, quotas, now, lock_folder, store_folder)
        self._send: Callable[[Address, bytes], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_suspended = False
        self.sent = 0  # datagrams
        self.dropped: Counter[DropReason] = Counter()  # datagrams
        self._rate_limit_second = self._received_in_second = 0
        self._ledger = Ledger(ledger_folder, name, generation) if ledger_folder else None
        self._record_start(started_at)

    @property
    def lease_servers(self) -> dict[int, LeaseServer]:
        """The lease servers running in this process, by quota id."""
        return self._server_host.servers

    def fleet_quota(self, clock_offset_us: int) -> LeasedFleetQuota:
        """The quotas as the balancer uses them; `clock_offset_us`: the balancer's clock minus this service's clock."""
        clients = [(binding, self.clients[quota_id_of(binding.quota)]) for binding in self._bindings]
        return LeasedFleetQuota(clients, clock_offset_us)

    # -- Lifecycle -------------------------------------------------------------------------------------

    def start(self, send: Callable[[Address, bytes], None]) -> None:
        """Start the periodic tick; `send` sends a datagram to an address."""
        self._send = send
        self._tick()

    def stop(self) -> None:
        """Stop permanently, without sending any message."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._send = None
        self._server_host.stop()
        if self._ledger is not None:
            self._ledger.close()

    def leave(self) -> None:
        """Release all leases before this process ends, so that other processes can use them immediately."""
        if not self._is_suspended:
            self._release_leases()

    def suspend(self) -> None:
        """Release all leases and stop the lease servers while another process is this member; the floor remains."""
        self._release_leases()
        self._is_suspended = True
        self._server_host.stop()

    def resume(self) -> None:
        """Resume after the other process of this member has ended."""
        self._is_suspended = False

    def _release_leases(self) -> None:
        now = self._now()
        for quota_id, client in self.clients.items():
            self._send_to_servers(quota_id, client.release(now))
            self._record_client(now, quota_id)

    def _tick(self) -> None:
        now = self._now()
        if not self._is_suspended:
            self._server_host.start_if_unlocked()
            for quota_id, client in self.clients.items():
                self._send_to_servers(quota_id, client.due_requests(now))
        for quota_id in self.clients:
            self._record_client(now, quota_id)
        self._timer = asyncio.get_running_loop().call_later(TICK_PERIOD_S, self._tick)

    # -- Receiving -------------------------------------------------------------------------------------

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle a datagram received from this address; a datagram that can't be handled is counted in `dropped`."""
        if self._exceeds_rate_limit():
            self.dropped[DropReason.FLOOD] += 1
            return
        try:
            message = decode(data, self._key)
        except BadMessage:
            self.dropped[DropReason.UNREADABLE] += 1
            return
        if message.quota_id not in self.clients:
            self.dropped[DropReason.UNKNOWN_QUOTA] += 1
        elif message.kind is MessageKind.GRANT:
            self._handle_grant(message)
        elif not self._is_suspended:
            self._handle_client_message(message, source)

    def _exceeds_rate_limit(self) -> bool:
        """Count a datagram; True if this second's count exceeds DATAGRAMS_PER_S_MAX."""
        second = self._now() // 1_000_000
        if second != self._rate_limit_second:
            self._rate_limit_second, self._received_in_second = second, 0
        self._received_in_second += 1
        return self._received_in_second > DATAGRAMS_PER_S_MAX

    def _handle_grant(self, message: Message) -> None:
        now = self._now()
        server = self._server_names.get(message.sender)
        if server is None or message.grant is None or message.generation != self._client_id.generation:
            return
        self.clients[message.quota_id].accept(now, server, message.grant)
        self._record_client(now, message.quota_id)

    def _handle_client_message(self, message: Message, source: Address) -> None:
        server = self.lease_servers.get(message.quota_id)
        if server is None:
            return

        def reply(grant: LeaseGrant) -> None:
            # Echoes the client's generation: a client rejects a grant for an earlier generation.
            response = Message(
                MessageKind.GRANT, self._client_id.ident, message.generation, message.quota_id, grant=grant
            )
            self._send_message(source, response)

        now = self._now()
        self._handle_request_or_release(now, server, message, reply)
        if self._ledger is not None:
            self._ledger.record_server(now, server)

    def _handle_local_message(self, message: Message) -> None:
        """Deliver a message from this process's lease client to its own lease server, without a datagram."""
        server = self.lease_servers.get(message.quota_id)
        if server is None:
            return

        def reply(grant: LeaseGrant) -> None:
            self.clients[message.quota_id].accept(self._now(), self._name, grant)

        self._handle_request_or_release(self._now(), server, message, reply)

    def _handle_request_or_release(
        self, now: int, server: LeaseServer, message: Message, reply: Callable[[LeaseGrant], None]
    ) -> None:
        """Handle a request or release; `reply` is called when the grant may be sent."""
        request = message.request
        if request is None:
            return
        if message.kind is MessageKind.RELEASE:
            server.handle_release(now, message.client, request)
            return
        grant = server.handle_request(now, message.client, request)
        if grant is not None:
            self._server_host.send_when_stored(message, grant, partial(reply, grant))

    # -- Sending ---------------------------------------------------------------------------------------

    def _send_to_servers(self, quota_id: int, messages: Iterable[OutgoingMessage]) -> None:
        for outgoing in messages:
            kind = MessageKind.RELEASE if outgoing.is_release else MessageKind.REQUEST
            message = Message(kind, *self._client_id, quota_id, request=outgoing.request)
            if outgoing.lease_server == self._name:
                self._handle_local_message(message)
                continue
            address = self._address_of(outgoing.lease_server)
            if address is not None:
                self._send_message(address, message)

    def _send_message(self, address: Address, message: Message) -> None:
        if self._send is not None:
            self.sent += 1
            self._send(address, encode(message, self._key))

    def _record_start(self, now: int) -> None:
        if self._ledger is not None:
            for client in self.clients.values():
                self._ledger.record_start(now, client.quota)

    def _record_client(self, now: int, quota_id: int) -> None:
        if self._ledger is not None:
            self._ledger.record_client(now, self.clients[quota_id])

    # -- For operators ---------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """The state of all quotas as JSON values; the keys belong to the admin endpoint's format."""
        now = self._now()
        quotas = {
            client.quota.name: quota_status(client, self.lease_servers.get(quota_id), now)
            for quota_id, client in self.clients.items()
        }
        return {
            "name": self._name,
            "pid": os.getpid(),
            "sent": self.sent,
            "dropped": {reason.value: count for reason, count in self.dropped.items()},
            "budgets": quotas,
        }
