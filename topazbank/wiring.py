"""Puts a sidecar's parts together, as its operator file says; what is off is not imported."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from topazbank.core.driver import Config, Observer, TierPart, Wiring
from topazbank.core.listener import Speaks
from topazbank.core.members import Dialects, Source, Told
from topazbank.core.net import Address
from topazbank.core.nodes import HTTP, MSGPACK_RPC, Carrier, Slots
from topazbank.core.trace import Trace
from topazbank.http.client import HttpCarrier
from topazbank.http.server import HttpConnection
from topazbank.interface import Settings
from topazbank.membership.both import Several
from topazbank.membership.registry import Discovery
from topazbank.operator import REGISTRY, ZOOKEEPER, Membership, Operator, Planning, ZooKeeper
from topazbank.sight.others import Others


def wire(operator: Operator) -> Wiring:
    """The parts that the operator file asks for; raise ImportError where one's library is not installed."""
    rpc = operator.msgpack_rpc
    binary: Speaks | None = None
    if rpc.clients:
        from topazbank.msgpackrpc.server import RpcConnection

        binary = RpcConnection

    if rpc.nodes:
        import topazbank.msgpackrpc.client  # noqa: F401  # now, so that a library that lacks ends the start

    def carriers(settings: Settings, slots: Slots) -> Mapping[str, Carrier]:
        limits, columns = settings.limits, settings.report_columns
        dial_s, idle_s = limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6
        made: dict[str, Carrier] = {HTTP: HttpCarrier(dial_s, idle_s, slots, columns)}
        if rpc.nodes:
            from topazbank.msgpackrpc.client import RpcCarrier, Sharing

            sharing = Sharing(rpc.lodges_per_connection, rpc.others_per_connection, rpc.connections_per_node)
            made[MSGPACK_RPC] = RpcCarrier(dial_s, idle_s, slots, columns, sharing)
        return made

    dialects = Dialects(operator.protocol, operator.pods)
    return Wiring(
        HttpConnection,
        binary,
        carriers,
        partial(_source, operator.membership),
        operator.show_roster,
        dialects,
        partial(_forwarding, operator.planning) if operator.planning.planners else None,
        partial(Trace, lines_per_second=operator.trace_lines) if operator.trace_lines else None,
        partial(_tier_part, operator) if operator.tier.on else None,
    )


def _forwarding(given: Planning, config: Config, now: Callable[[], int]) -> Observer:
    from topazbank.planning.forwarder import Forwarding

    name = given.name or f"f-{config.seed & 0xFFFFFFFFFFFFFFFF:016x}"
    return Forwarding(name, given.planners, now, config.seed)


def _tier_part(given: Operator, config: Config, others: Others, known: Mapping[str, Any]) -> TierPart:
    from topazbank.tier.service import TierService

    service = TierService(given.tier, config, others, known)
    if given.budgets:
        from topazbank.budget.service import BudgetService

        service.budgets = BudgetService(
            [(each.budget, each.of, each.tenant) for each in given.budgets],
            service.name,
            service.address_of,
            lambda: time.monotonic_ns() // 1000,
            config.folder,
            given.tier.key.encode(),
            given.ledger,
            given.store,
        )
    return service


Hear = Callable[[Told | None], None]


def _source(membership: Membership, config: Config, told: Hear) -> Source:
    return membership_source(
        membership, config.discovery, told, config.known.version, config.seed, config.others
    )


def membership_source(
    membership: Membership,
    registry: Address | None,
    told: Hear,
    version: int = 0,
    seed: int | None = None,
    others: Others | None = None,
) -> Source:
    """The sources that an operator file names; the registry alone is itself, as the platform has it."""
    makers: dict[str, Callable[[Hear], Source]] = {
        REGISTRY: partial(_registry, registry, version, others, seed),
        ZOOKEEPER: partial(_zookeeper, membership.zookeeper, seed),
    }
    if membership.sources == (REGISTRY,):
        return makers[REGISTRY](told)
    return Several({name: makers[name] for name in membership.sources}, told)


def _registry(
    address: Address | None, version: int, others: Others | None, seed: int | None, told: Hear
) -> Source:
    assert address is not None
    return Discovery(address, version, told, others, seed)


def _zookeeper(given: ZooKeeper, seed: int | None, told: Hear) -> Source:
    from topazbank.membership.zkclient import Ensemble
    from topazbank.membership.zookeeper import ZooKeeperSource

    ensemble = Ensemble(given.members, given.session_timeout_s, given.chroot, given.secret)
    return ZooKeeperSource(ensemble, given.path, told, seed)
