"""The operator file: its defaults, and errors that name the field and the expected value."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from helpers import settings

from topazbank.balancing.events import ServerDescription
from topazbank.config import check_cluster_config
from topazbank.core.components import SidecarConfig
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, ProtocolDefaults
from topazbank.core.endpoints import HTTP, MSGPACK_RPC
from topazbank.core.gossip_transport import GossipAddresses
from topazbank.operator_config import OperatorConfig, operator_config_from, read_operator_config

ROOT = Path(__file__).parent.parent


def test_the_deployed_file_is_valid_and_no_file_gives_the_defaults() -> None:
    assert read_operator_config(str(ROOT / "deploy" / "operator.toml")).msgpack_rpc.accepts_clients
    assert read_operator_config(None) == operator_config_from({}) == OperatorConfig()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("msgpack_rpc = 3", "msgpack_rpc: expected a table, not 3"),
        ("[msgpack_rpc]\nclient = true", "msgpack_rpc.client: unknown key; expected one of clients, nodes"),
        ("[msgpack_rpc]\nclients = 1", "msgpack_rpc.clients: expected true or false, not 1"),
        ("[msgpack_rpc]\nothers_per_connection = 0", "expected an integer from 1 to 1024, not 0"),
        ("[msgpack_rpc]\nothers_per_connection = true", "expected an integer from 1 to 1024, not True"),
        ("[nodes]\nprotocol = 'grpc'", "nodes.protocol: expected http or msgpack-rpc, not 'grpc'"),
        ("[nodes.pods]\nseven = 'http'", "nodes.pods.seven: expected a pod number as the key"),
        ("[nodes.pods]\n7 = 7", "nodes.pods.7: expected http or msgpack-rpc, not 7"),
        (
            "[nodes.pods]\n7 = 'msgpack-rpc'",
            "nodes: expected msgpack_rpc.nodes = true for protocol msgpack-rpc",
        ),
        ("nodes = \nx = 1", "line 1"),
        ("[news]", "news: unknown key"),
        ("[membership]\nsources = []", "membership.sources: expected one or more of registry, zookeeper"),
        (
            "[membership]\nsources = ['dns']",
            "membership.sources: expected one or more of registry, zookeeper",
        ),
        ("[membership]\nsources = 'zookeeper'", "membership.sources: expected a list of strings"),
        (
            "[membership]\nsources = ['zookeeper']",
            "membership.zookeeper.members: missing addresses of the ensemble",
        ),
        (
            "[membership.zookeeper]\nmembers = ['nowhere']",
            "membership.zookeeper.members: expected host:port",
        ),
        ("[membership.zookeeper]\npath = 'lodge'", "membership.zookeeper.path: expected a path such as"),
        ("[membership.zookeeper]\npath = '/a//b'", "membership.zookeeper.path: expected a path such as"),
        (
            "[membership.zookeeper]\nsession_timeout_s = 0",
            "session_timeout_s: expected a number from 0.5 to 120",
        ),
        ("[admin]\nroster = 'yes'", "admin.roster: expected true or false"),
        ("tier = 1", "tier: expected a table"),
        ("[tier]\non = 1", "tier.on: expected true or false, not 1"),
        ("[tier]\nperiod = 1", "tier.period: unknown key; expected one of on, name, period_ms"),
        ("[tier]\nperiod_ms = 10", "tier.period_ms: expected an integer from 50 to 10000, not 10"),
        ("[tier]\npause_ms = 0.5", "tier.pause_ms: expected an integer from 100 to 60000, not 0.5"),
        ("[tier]\nforget_s = 60\npause_ms = 4000", "tier.forget_s: expected at least 20 times pause_ms"),
        ("[tier]\ndatagram = 1500", "tier.datagram: expected an integer from 256 to 1200"),
        ("[tier]\nname = 7", "tier.name: expected a string of at most 200 characters"),
    ],
)
def test_an_error_names_the_invalid_file_and_field(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(ValueError) as error:
        read_operator_config(str(path))
    assert message in str(error.value) and str(error.value).startswith(str(path))


def test_the_cluster_key_appears_in_no_error_and_no_repr() -> None:
    with pytest.raises(ValueError) as error:
        operator_config_from({"tier": {"key": "hush" * 20}})
    assert "tier.key: expected a string of at most 64 bytes" in str(error.value) and "hush" not in str(
        error.value
    )
    assert "hush" not in repr(operator_config_from({"tier": {"key": "hush"}}))


@pytest.mark.parametrize(
    ("changes", "name", "message"),
    [
        ({"gossip": None}, "", "tier.on: missing peer_listen in the configuration"),
        ({"settings": settings()}, "", "tier.on: the settings do not allow messages"),
        (
            {"gossip": GossipAddresses(("127.0.0.1", 9))},
            "",
            "tier.name: missing; expected a name, or peers in the configuration",
        ),
        ({"gossip": GossipAddresses(("127.0.0.1", 9))}, "desk-7", None),
    ],
)
def test_cluster_membership_without_its_prerequisites_is_rejected_at_startup(
    changes: dict[str, Any], name: str, message: str | None
) -> None:
    address = ("127.0.0.1", 9)
    config = SidecarConfig(
        address,
        address,
        7,
        256,
        settings(limits={"gossip": True}),
        EndpointList(0, True, []),
        GossipAddresses(address, (address,)),
    )
    operator = operator_config_from({"tier": {"on": True, "name": name}})
    if message is None:
        check_cluster_config(replace(config, **changes), operator)
        return
    with pytest.raises(ValueError, match=message):
        check_cluster_config(replace(config, **changes), operator)


def test_a_lease_server_outside_the_cluster_is_rejected_at_startup() -> None:
    address = ("127.0.0.1", 9)
    cluster_settings = settings(limits={"gossip": True})
    config = SidecarConfig(
        address,
        address,
        7,
        256,
        cluster_settings,
        EndpointList(0, True, []),
        GossipAddresses(address, (address, address)),
    )
    budget = {"of": "retries", "whole": 1, "burst": 2, "keepers": ["1", "2"]}
    with pytest.raises(ValueError, match=r"budgets\.b\.keepers: expected an index in peers, not '2'"):
        check_cluster_config(config, operator_config_from({"tier": {"on": True}, "budgets": {"b": budget}}))
    check_cluster_config(
        config, operator_config_from({"tier": {"on": True, "name": "a"}, "budgets": {"b": budget}})
    )


def test_an_invalid_cluster_table_stops_startup_with_one_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    for text, message in (("on = 'yes'", "tier.on"), ("on = true", "peer_listen")):
        path.write_text(f"[tier]\n{text}", encoding="utf-8")
        environ = os.environ | {"RELAY_CONFIG": str(ROOT / "deploy" / "example.json")}
        command = [sys.executable, "-m", "topazbank", "--operator", str(path)]
        process = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=30)
        assert process.returncode == 2 and message in process.stderr
        assert process.stderr.startswith("bad configuration: ") and process.stderr.count("\n") == 1


def test_an_entry_protocol_overrides_its_pod_protocol_which_overrides_the_default() -> None:
    text = "[msgpack_rpc]\nnodes = true\n[nodes.pods]\n7 = 'msgpack-rpc'"
    operator = operator_config_from(tomllib.loads(text))
    protocols = ProtocolDefaults(operator.default_protocol, operator.pod_protocols)
    in_pod, elsewhere = ServerDescription("a", cell=7), ServerDescription("b", cell=8)
    assert protocols.protocol_of(DiscoveredServer(in_pod, None)) == MSGPACK_RPC
    assert protocols.protocol_of(DiscoveredServer(elsewhere, None)) == HTTP
    assert protocols.protocol_of(DiscoveredServer(in_pod, None, HTTP)) == HTTP
    assert protocols.protocol_of(DiscoveredServer(elsewhere, None, "grpc")) == "grpc"


def test_credentials_appear_in_no_error_and_no_repr(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[membership.zookeeper]\nsecret = 'hush'", encoding="utf-8")
    with pytest.raises(ValueError) as error:
        read_operator_config(str(path))
    assert "expected user:password" in str(error.value) and "hush" not in str(error.value)
    operator = operator_config_from(
        tomllib.loads("[membership.zookeeper]\nsecret = 'me:hush'\nmembers = ['a:1']")
    )
    assert operator.discovery.zookeeper.credentials == "me:hush" and "hush" not in repr(operator)
