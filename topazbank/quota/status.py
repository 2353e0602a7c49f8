"""Builds the JSON status of quotas for operators (`show`); the keys belong to the admin endpoint's format."""

from __future__ import annotations

from typing import Any

from topazbank.quota.lease_client import LeaseClient
from topazbank.quota.lease_server import LeaseServer


def quota_status(client: LeaseClient, server: LeaseServer | None, now: int) -> dict[str, Any]:
    """One quota's status: the client's leases and usage, and the grants of the lease server if one runs here."""
    quota, limiter = client.quota, client.limiter
    status: dict[str, Any] = {
        "kind": quota.kind.value,
        "whole": quota.limit,
        "floor": quota.floor,
        "holds": client.allocated_amount(now),
        "spent": limiter.acquired,
        "refused": limiter.rejected,
        "from": {name: list(lease.allocation_at(now)) for name, lease in client.leases.items()},
    }
    if server is not None:
        status["keeps"] = _server_status(server, now)
    return status


def _server_status(server: LeaseServer, now: int) -> dict[str, Any]:
    clients = {
        f"{client_id.ident:012x}": list(client.outstanding) for client_id, client in server.clients.items()
    }
    return {
        "slice": list(server.slice),
        "given": list(server.outstanding),
        "quiet_s": max(server.grace_until - now, 0) / 1e6,
        "holders": clients,
    }
