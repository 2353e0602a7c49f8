"""Implements `topazbank.balancing.fleet.FleetQuota` with this process's leases."""

from __future__ import annotations

from collections.abc import Iterable

from topazbank.balancing.fleet import TENANT_REQUESTS
from topazbank.quota.lease_client import LeaseClient
from topazbank.quota.rules import QuotaBinding


class LeasedFleetQuota:
    """Acquires units from the limiters of this process's lease clients."""

    def __init__(self, clients: Iterable[tuple[QuotaBinding, LeaseClient]], clock_offset_us: int) -> None:
        """`clock_offset_us`: the balancer's clock minus the lease clients' clock."""
        self._by_resource = {}
        self._by_tenant = {}
        for binding, client in clients:
            if binding.resource == TENANT_REQUESTS:
                self._by_tenant[binding.tenant] = client.limiter
            else:
                self._by_resource[binding.resource] = client.limiter
        self._clock_offset_us = clock_offset_us

    def acquire(self, resource: str, tenant: str | None, now: int) -> bool:
        """Take one unit of a resource at the balancer's time `now`.  Return True if no quota limits the resource."""
        if resource == TENANT_REQUESTS:
            limiter = self._by_tenant.get(tenant)
        else:
            limiter = self._by_resource.get(resource)
        return limiter is None or limiter.acquire(now - self._clock_offset_us)
