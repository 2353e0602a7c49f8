"""Puts a sidecar's parts together, as its operator file says; what is off is not imported."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from topazbank.core.driver import Config, Wiring
from topazbank.core.listener import Speaks
from topazbank.core.members import Dialects, Source, Told
from topazbank.core.nodes import HTTP, MSGPACK_RPC, Carrier, Slots
from topazbank.http.front import HttpConnection
from topazbank.http.upstream import HttpCarrier
from topazbank.interface import Settings
from topazbank.membership.registry import Discovery
from topazbank.operator import Operator


def wire(operator: Operator) -> Wiring:
    """The parts that the operator file asks for; raise ImportError where one's library is not installed."""
    rpc = operator.msgpack_rpc
    binary: Speaks | None = None
    if rpc.clients:
        from topazbank.msgpackrpc.front import RpcConnection

        binary = RpcConnection

    def carriers(settings: Settings, slots: Slots) -> Mapping[str, Carrier]:
        limits, columns = settings.limits, settings.report_columns
        dial_s, idle_s = limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6
        made: dict[str, Carrier] = {HTTP: HttpCarrier(dial_s, idle_s, slots, columns)}
        if rpc.nodes:
            from topazbank.msgpackrpc.upstream import RpcCarrier, Sharing

            sharing = Sharing(rpc.lodges_per_connection, rpc.others_per_connection, rpc.connections_per_node)
            made[MSGPACK_RPC] = RpcCarrier(dial_s, idle_s, slots, columns, sharing)
        return made

    return Wiring(HttpConnection, binary, carriers, _registry, Dialects(operator.protocol, operator.pods))


def _registry(config: Config, told: Callable[[Told | None], None]) -> Source:
    return Discovery(config.discovery, config.known.version, told)
