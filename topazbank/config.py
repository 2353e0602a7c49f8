"""The platform's configuration of a sidecar: environment variables and the JSON file at the path in RELAY_CONFIG."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

from topazbank.config_table import ConfigError
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.gossip_transport import GossipAddresses
from topazbank.core.net import Address, parse_address
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import OperatorConfig
from topazbank.platform_names import settings_from_wire

# Errors that reading a configuration may raise; the JSON parser raises RecursionError for deeply nested input.
CONFIG_ERRORS = (OSError, ValueError, RecursionError)
DESCRIPTORS_MAX_DEFAULT = 1024
_SEED_BASE = 16
_BYTES_PER_MB = 1_000_000


def read_config(environ: Mapping[str, str]) -> SidecarConfig:
    """Read the environment and the file at RELAY_CONFIG; raise ValueError naming the field, or OSError."""
    values = _read_file(environ)
    cached_list = values.get("known")
    return SidecarConfig(
        listen=_address(environ.get("RELAY_LISTEN") or values.get("listen"), "listen"),
        discovery=_address(values.get("discovery") or environ.get("RELAY_DISCOVERY"), "discovery"),
        seed=_seed(values.get("seed", "0")),
        max_descriptors=_descriptors_max(values.get("limits")),
        settings=settings_from_wire(values.get("settings")),
        memory_limit_bytes=_memory_limit_bytes(values.get("limits")),
        cached_endpoints=EndpointList(0, True, []) if cached_list is None else parse_list(cached_list),
        gossip=_gossip_addresses(values),
        admin_address=_optional_address(environ.get("RELAY_OPERATOR") or values.get("operator"), "operator"),
        handover_folder=environ.get("TMPDIR") or None,
    )


def check_cluster_config(config: SidecarConfig, operator: OperatorConfig) -> None:
    """Validate the settings in both files that cluster membership needs, if enabled; raise ConfigError."""
    cluster = operator.cluster
    if not cluster.enabled:
        return
    if config.gossip is None:
        raise ConfigError(
            "tier.on", "missing peer_listen in the configuration, the address for other sidecars"
        )
    if not config.settings.limits.gossip:
        raise ConfigError("tier.on", "the settings do not allow messages between sidecars (bounds.mayTell)")
    if not cluster.name and not config.gossip.members:
        raise ConfigError(
            "tier.name",
            "missing; expected a name, or peers in the configuration, whose indexes are the names",
        )
    if not cluster.name:
        _check_lease_servers(operator, {str(index) for index in range(len(config.gossip.members))})


def _check_lease_servers(operator: OperatorConfig, member_names: set[str]) -> None:
    """Check that each quota's lease servers are members of the cluster; raise ConfigError."""
    for binding in operator.quotas:
        for server in binding.quota.lease_servers:
            if server not in member_names:
                field = f"budgets.{binding.quota.name}.keepers"
                raise ConfigError(field, f"expected an index in peers, not {server!r:.40}")


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ValueError("RELAY_CONFIG: missing file path")
    with open(path, encoding="utf-8") as file:
        values = json.load(file)
    if not isinstance(values, dict):
        raise ValueError("expected a JSON object")
    return values


def _gossip_addresses(values: dict[str, Any]) -> GossipAddresses | None:
    if values.get("peer_listen") is None:
        return None
    peers = values.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError("peers", "expected a list of addresses")
    return GossipAddresses(
        listen=_address(values["peer_listen"], "peer_listen"),
        members=tuple(_address(peer, f"peers[{index}]") for index, peer in enumerate(peers)),
        broadcast=_optional_address(values.get("peers_all"), "peers_all"),
    )


def _optional_address(value: Any, field: str) -> Address | None:
    return None if value is None else _address(value, field)


def _address(value: Any, field: str) -> Address:
    if not isinstance(value, str):
        raise ConfigError(field, "expected an address")
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigError(field, str(error)) from None


def _seed(value: Any) -> int:
    try:
        if isinstance(value, str):
            return int(value, _SEED_BASE)
    except ValueError:
        pass
    raise ConfigError("seed", "expected a string of hex digits")


def _descriptors_max(limits: Any) -> int:
    if not isinstance(limits, dict):
        return DESCRIPTORS_MAX_DEFAULT
    value = limits.get("sockets", DESCRIPTORS_MAX_DEFAULT)
    if type(value) is not int or value < 1:
        raise ConfigError("limits.sockets", "expected a positive integer")
    return value


def _memory_limit_bytes(limits: Any) -> int | None:
    if not isinstance(limits, dict) or limits.get("memory_mb") is None:
        return None
    value = limits["memory_mb"]
    if type(value) not in (int, float) or not 1 <= value < math.inf:
        raise ConfigError("limits.memory_mb", "expected a number of at least 1")
    return int(value * _BYTES_PER_MB)
