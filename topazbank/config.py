"""What the platform tells a sidecar: its environment and its configuration file."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from topazbank.core.driver import SidecarConfig
from topazbank.core.endpoint_source import EndpointList
from topazbank.core.gossip_transport import GossipAddresses
from topazbank.core.net import Address, parse_address
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import OperatorConfig
from topazbank.platform_names import settings_from_wire

CONFIG_ERRORS = (OSError, ValueError, RecursionError)  # what reading one may raise
_SOCKETS = 1024  # unless the configuration tells


def read_config(environ: Mapping[str, str]) -> SidecarConfig:
    """Read what the sidecar is told; raise ValueError or OSError, saying what is wrong."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ValueError("RELAY_CONFIG names no file")
    with open(path, encoding="utf-8") as file:
        given = json.load(file)
    if not isinstance(given, dict):
        raise ValueError("an object is needed")
    known = given.get("known")
    return SidecarConfig(
        listen=_address(environ.get("RELAY_LISTEN") or given.get("listen"), "listen"),
        discovery=_address(given.get("discovery") or environ.get("RELAY_DISCOVERY"), "discovery"),
        seed=_seed(given.get("seed", "0")),
        sockets=_sockets(given.get("limits")),
        settings=settings_from_wire(given.get("settings")),
        known=EndpointList(0, True, []) if known is None else parse_list(known),
        tier=_tier(given),
        operator=_operator(environ.get("RELAY_OPERATOR") or given.get("operator")),
        folder=environ.get("TMPDIR") or None,
    )


def check_cluster_config(config: SidecarConfig, operator: OperatorConfig) -> None:
    """Whether membership among the sidecars, where it is on, has what it needs; raise ValueError, naming the field."""
    given = operator.cluster
    if not given.enabled:
        return
    if config.tier is None:
        raise ValueError("tier.on: the configuration names no peer_listen, where other sidecars are heard")
    if not config.settings.limits.gossip:
        raise ValueError("tier.on: the settings do not allow messages between sidecars (bounds.mayTell)")
    if not given.name and not config.tier.members:
        raise ValueError("tier.name: wanted where the configuration names no peers, whose numbers are names")
    names = {str(number) for number in range(len(config.tier.members))}
    for each in operator.budgets:
        for keeper in each.budget.keepers:
            if not given.name and keeper not in names:
                raise ValueError(f"budgets.{each.budget.name}.keepers: {keeper!r:.40} is no number in peers")


def _operator(value: Any) -> Address | None:
    return None if value is None else _address(value, "operator")


def _tier(given: dict[str, Any]) -> GossipAddresses | None:
    if given.get("peer_listen") is None:
        return None
    members = given.get("peers", [])
    if not isinstance(members, list):
        raise ValueError("peers: a list of addresses is needed")
    reaches_all = given.get("peers_all")
    return GossipAddresses(
        listen=_address(given["peer_listen"], "peer_listen"),
        members=tuple(_address(each, f"peers[{number}]") for number, each in enumerate(members)),
        all=None if reaches_all is None else _address(reaches_all, "peers_all"),
    )


def _address(value: Any, name: str) -> Address:
    if not isinstance(value, str):
        raise ValueError(f"{name}: an address is needed")
    return parse_address(value)


def _seed(value: Any) -> int:
    if isinstance(value, str):
        return int(value, 16)
    raise ValueError("seed: hex digits are needed")


def _sockets(limits: Any) -> int:
    value = limits.get("sockets", _SOCKETS) if isinstance(limits, dict) else _SOCKETS
    if type(value) is not int or value < 1:
        raise ValueError("limits.sockets: a whole number is needed")
    return value
