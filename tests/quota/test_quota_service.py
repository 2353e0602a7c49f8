"""Quota services on an in-memory network: the choice of lease server process, restarts and dropped datagrams."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import play, until

from topazbank.balancing.fleet import HEALTH_CHECKS, RETRIES, TENANT_REQUESTS
from topazbank.core.net import Address
from topazbank.quota import grant_store
from topazbank.quota.report import status_table
from topazbank.quota.rules import Quota, QuotaBinding
from topazbank.quota.service import DATAGRAMS_PER_S_MAX, QuotaService
from topazbank.quota.wire import Message, MessageKind, encode, is_quota_message

RETRY_QUOTA = Quota(
    "b", limit=100, burst=50, floor=500, members=10, lease_servers=("0", "1"), lease_us=1_000_000
)
TENANT_QUOTA = Quota("t", limit=2, burst=10, floor=100, members=10)
BINDINGS = (QuotaBinding(RETRY_QUOTA, RETRIES), QuotaBinding(TENANT_QUOTA, TENANT_REQUESTS, "acme"))


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Network:
    """An in-memory network of members by name; it delivers datagrams without delay or loss."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.services: dict[Address, QuotaService] = {}

    def start(self, name: str, store: bool = False, host: str = "") -> QuotaService:
        """Start a process of a member; `host`: its address if another process of this member is running."""
        address: Address = (host or name, 1)
        service = QuotaService(
            BINDINGS,
            name,
            lambda member: (member, 1) if (member, 1) in self.services else None,
            now_us,
            str(self.folder),
            store_folder=str(self.folder) if store else "",
        )
        self.services[address] = service
        service.start(self._sender(address))
        return service

    def _sender(self, source: Address) -> Callable[[Address, bytes], None]:
        def send(destination: Address, data: bytes) -> None:
            if destination in self.services:
                asyncio.get_running_loop().call_soon(self.services[destination].handle_datagram, data, source)

        return send

    def stop_one(self, host: str) -> None:
        self.services.pop((host, 1)).stop()

    def stop(self) -> None:
        for host, _ in list(self.services):
            self.stop_one(host)


def demand_above_limit(service: QuotaService) -> None:
    """Try to acquire far more units than the limit."""
    quota = service.fleet_quota(0)
    now = now_us()
    for _ in range(100):
        quota.acquire(RETRIES, None, now)


async def demand_above_limit_until(service: QuotaService, condition: Callable[[], object]) -> None:
    """Keep the demand far above the limit until the condition is true."""

    async def demand() -> None:
        while True:
            demand_above_limit(service)
            await asyncio.sleep(0.05)

    task = asyncio.get_running_loop().create_task(demand())
    try:
        await until(condition)
    finally:
        task.cancel()


def retry_status(service: QuotaService) -> dict[str, Any]:
    status: dict[str, Any] = service.status()["budgets"]["b"]
    return status


def held(service: QuotaService) -> int:
    return int(retry_status(service)["holds"])


def test_a_client_with_high_demand_gets_both_slices_after_the_grace_period(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network(tmp_path)
        server, _, client = (network.start(name) for name in ("0", "1", "2"))
        demand_above_limit(client)
        assert held(client) == RETRY_QUOTA.floor
        assert retry_status(server)["keeps"]["quiet_s"] > 0.5
        await demand_above_limit_until(client, lambda: held(client) > 0.9 * 95_000)
        lines = "\n".join(status_table(client.status()) + status_table(server.status()))
        assert "100/s" in lines and "lease server of b: " in lines and "0 47.5/s, 1 47.5/s" in lines
        client.leave()
        await until(lambda: not retry_status(server)["keeps"]["given"][0])
        network.stop()

    play(scenario())


def test_a_second_process_of_a_member_grants_nothing_until_the_first_has_ended_or_is_suspended(
    tmp_path: Path,
) -> None:
    """During an upgrade the new process starts while the old one is running; only one may grant the member's slice."""

    async def scenario() -> None:
        network = Network(tmp_path)
        old, new = network.start("0"), network.start("0", host="second")
        await asyncio.sleep(0.3)
        assert old.lease_servers and not new.lease_servers
        old.suspend()
        await until(lambda: new.lease_servers)
        assert not old.lease_servers
        network.stop_one("second")
        old.resume()
        await until(lambda: old.lease_servers)
        network.stop()

    play(scenario())


def test_a_restarted_lease_server_with_a_store_needs_no_grace_period_and_knows_its_grants(
    tmp_path: Path,
) -> None:
    """A lease server restarts while a client holds one of its leases."""

    async def scenario() -> None:
        network = Network(tmp_path)
        network.start("0", store=True)
        client = network.start("2")
        await demand_above_limit_until(client, lambda: held(client) > 40_000)
        network.stop_one("0")
        server = network.start("0", store=True)
        await until(lambda: server.lease_servers)
        status = retry_status(server)["keeps"]
        assert status["quiet_s"] == 0.0 and status["given"][0] > 40_000
        network.stop()

    play(scenario())


def test_no_lease_server_runs_until_its_store_can_be_opened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store can't be opened while its path is a directory; the lease server starts after its removal."""
    monkeypatch.setattr(grant_store, "REOPEN_DELAY_S", 0.1)

    async def scenario() -> None:
        network = Network(tmp_path)
        path = tmp_path / "topazbank-keeps-0.sqlite"
        path.mkdir()
        server = network.start("0", store=True)
        await asyncio.sleep(0.3)
        assert not server.lease_servers and held(server) == RETRY_QUOTA.floor
        path.rmdir()
        await until(lambda: server.lease_servers)
        network.stop()

    play(scenario())


def test_unreadable_datagrams_floods_and_unknown_quotas_are_counted_by_reason(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network(tmp_path)
        service = network.start("0")
        assert is_quota_message(b"\xd9junk")
        assert not is_quota_message(b"\xd7junk") and not is_quota_message(b"")
        service.handle_datagram(b"\xd9junk", ("x", 1))
        service.handle_datagram(encode(Message(MessageKind.RELEASE, 1, 1, 0)), ("x", 1))
        assert service.status()["dropped"] == {"unreadable": 1, "not known here": 1}
        for _ in range(3 * DATAGRAMS_PER_S_MAX):
            service.handle_datagram(b"\xd9junk", ("x", 1))
        assert service.status()["dropped"]["flood"] >= DATAGRAMS_PER_S_MAX
        network.stop()

    play(scenario())


def test_a_resource_without_a_quota_is_not_limited_and_a_tenants_quota_limits_that_tenant_only(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        network = Network(tmp_path)
        quota = network.start("0").fleet_quota(0)
        now = now_us()
        assert all(quota.acquire(HEALTH_CHECKS, None, now) for _ in range(100))
        assert all(quota.acquire(TENANT_REQUESTS, "another", now) for _ in range(100))
        assert not quota.acquire(TENANT_REQUESTS, "acme", now)
        network.stop()

    play(scenario())
