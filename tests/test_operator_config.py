"""The operator file: its defaults, and errors that name the field and what is wanted."""

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


def test_the_deployed_file_is_valid_and_no_file_means_the_defaults() -> None:
    assert read_operator_config(str(ROOT / "deploy" / "operator.toml")).msgpack_rpc.accepts_clients
    assert read_operator_config(None) == operator_config_from({}) == OperatorConfig()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("msgpack_rpc = 3", "msgpack_rpc: a table is wanted"),
        ("[msgpack_rpc]\nclient = true", "msgpack_rpc.client: not known"),
        ("[msgpack_rpc]\nclients = 1", "msgpack_rpc.clients: true or false is wanted, not 1"),
        ("[msgpack_rpc]\nothers_per_connection = 0", "a whole number from 1 to 1024 is wanted, not 0"),
        ("[msgpack_rpc]\nothers_per_connection = true", "a whole number from 1 to 1024 is wanted, not True"),
        ("[nodes]\nprotocol = 'grpc'", "nodes.protocol: http or msgpack-rpc is wanted, not 'grpc'"),
        ("[nodes.pods]\nseven = 'http'", "nodes.pods.seven: a pod's number is wanted"),
        ("[nodes.pods]\n7 = 7", "nodes.pods.7: http or msgpack-rpc is wanted, not 7"),
        ("[nodes.pods]\n7 = 'msgpack-rpc'", "msgpack_rpc.nodes is not true"),
        ("nodes = \nx = 1", "line 1"),
        ("[news]", "news: not known"),
        ("[membership]\nsources = []", "membership.sources: each of registry, zookeeper"),
        ("[membership]\nsources = ['dns']", "membership.sources: each of registry, zookeeper"),
        ("[membership]\nsources = 'zookeeper'", "membership.sources: a list of texts is wanted"),
        ("[membership]\nsources = ['zookeeper']", "membership.zookeeper.members: the ensemble's addresses"),
        (
            "[membership.zookeeper]\nmembers = ['nowhere']",
            "membership.zookeeper.members: expected host:port",
        ),
        ("[membership.zookeeper]\npath = 'lodge'", "membership.zookeeper.path: a path such as"),
        ("[membership.zookeeper]\npath = '/a//b'", "membership.zookeeper.path: a path such as"),
        ("[membership.zookeeper]\nsession_timeout_s = 0", "session_timeout_s: a number from 0.5 to 120"),
        ("[admin]\nroster = 'yes'", "admin.roster: true or false is wanted"),
        ("tier = 1", "tier: a table is wanted"),
        ("[tier]\non = 1", "tier.on: true or false is wanted, not 1"),
        ("[tier]\nperiod = 1", "tier.period: not known; one of on, name, period_ms"),
        ("[tier]\nperiod_ms = 10", "tier.period_ms: a whole number from 50 to 10000 is wanted, not 10"),
        ("[tier]\npause_ms = 0.5", "tier.pause_ms: a whole number from 100 to 60000 is wanted, not 0.5"),
        ("[tier]\nforget_s = 60\npause_ms = 4000", "tier.forget_s: twenty times pause_ms at least"),
        ("[tier]\ndatagram = 1500", "tier.datagram: a whole number from 256 to 1200 is wanted"),
        ("[tier]\nname = 7", "tier.name: a text of 200 characters at most is wanted"),
    ],
)
def test_an_invalid_file_is_named_with_its_field(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(ValueError) as error:
        read_operator_config(str(path))
    assert message in str(error.value) and str(error.value).startswith(str(path))


def test_the_cluster_key_is_in_no_error_and_in_no_repr_of_the_settings() -> None:
    with pytest.raises(ValueError) as error:
        operator_config_from({"tier": {"key": "hush" * 20}})
    assert "tier.key: a text of 64 bytes at most" in str(error.value) and "hush" not in str(error.value)
    assert "hush" not in repr(operator_config_from({"tier": {"key": "hush"}}))


@pytest.mark.parametrize(
    ("changes", "name", "message"),
    [
        ({"gossip": None}, "", "tier.on: the configuration names no peer_listen"),
        ({"settings": settings()}, "", "tier.on: the settings do not allow messages"),
        (
            {"gossip": GossipAddresses(("127.0.0.1", 9))},
            "",
            "tier.name: wanted where the configuration names no peers",
        ),
        ({"gossip": GossipAddresses(("127.0.0.1", 9))}, "desk-7", None),
    ],
)
def test_cluster_membership_without_its_prerequisites_is_refused_at_the_start(
    changes: dict[str, Any], name: str, message: str | None
) -> None:
    here = ("127.0.0.1", 9)
    config = SidecarConfig(
        here,
        here,
        7,
        256,
        settings(limits={"gossip": True}),
        EndpointList(0, True, []),
        GossipAddresses(here, (here,)),
    )
    given = operator_config_from({"tier": {"on": True, "name": name}})
    if message is None:
        check_cluster_config(replace(config, **changes), given)
        return
    with pytest.raises(ValueError, match=message):
        check_cluster_config(replace(config, **changes), given)


def test_a_lease_server_that_is_no_member_is_refused_at_the_start() -> None:
    here = ("127.0.0.1", 9)
    given = settings(limits={"gossip": True})
    config = SidecarConfig(
        here, here, 7, 256, given, EndpointList(0, True, []), GossipAddresses(here, (here, here))
    )
    budget = {"of": "retries", "whole": 1, "burst": 2, "keepers": ["1", "2"]}
    with pytest.raises(ValueError, match=r"budgets\.b\.keepers: '2' is no number in peers"):
        check_cluster_config(config, operator_config_from({"tier": {"on": True}, "budgets": {"b": budget}}))
    check_cluster_config(
        config, operator_config_from({"tier": {"on": True, "name": "a"}, "budgets": {"b": budget}})
    )


def test_an_invalid_cluster_table_ends_the_start_with_one_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    for text, message in (("on = 'yes'", "tier.on"), ("on = true", "peer_listen")):
        path.write_text(f"[tier]\n{text}", encoding="utf-8")
        environ = os.environ | {"RELAY_CONFIG": str(ROOT / "deploy" / "example.json")}
        command = [sys.executable, "-m", "topazbank", "--operator", str(path)]
        process = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=30)
        assert process.returncode == 2 and message in process.stderr
        assert process.stderr.startswith("bad configuration: ") and process.stderr.count("\n") == 1


def test_the_protocol_of_an_entry_precedes_its_pods_and_that_the_default() -> None:
    text = "[msgpack_rpc]\nnodes = true\n[nodes.pods]\n7 = 'msgpack-rpc'"
    operator = operator_config_from(tomllib.loads(text))
    protocols = ProtocolDefaults(operator.default_protocol, operator.pod_protocols)
    in_pod, elsewhere = ServerDescription("a", cell=7), ServerDescription("b", cell=8)
    assert protocols.protocol_of(DiscoveredServer(in_pod, None)) == MSGPACK_RPC
    assert protocols.protocol_of(DiscoveredServer(elsewhere, None)) == HTTP
    assert protocols.protocol_of(DiscoveredServer(in_pod, None, HTTP)) == HTTP
    assert protocols.protocol_of(DiscoveredServer(elsewhere, None, "grpc")) == "grpc"


def test_credentials_are_in_no_error_and_in_no_repr_of_the_settings(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("[membership.zookeeper]\nsecret = 'hush'", encoding="utf-8")
    with pytest.raises(ValueError) as error:
        read_operator_config(str(path))
    assert "user:password is wanted" in str(error.value) and "hush" not in str(error.value)
    operator = operator_config_from(
        tomllib.loads("[membership.zookeeper]\nsecret = 'me:hush'\nmembers = ['a:1']")
    )
    assert operator.discovery.zookeeper.credentials == "me:hush" and "hush" not in repr(operator)
