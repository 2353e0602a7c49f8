"""The operator file: what an installation sets beyond what the platform tells.  TOML, checked whole at the start."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from topazbank.core.nodes import HTTP, MSGPACK_RPC, PROTOCOLS


@dataclass(frozen=True, slots=True)
class MsgpackRpc:
    """MessagePack-RPC: whether clients and nodes may speak it, and how many calls share a connection to a node."""

    clients: bool = False
    nodes: bool = False
    lodges_per_connection: int = 32  # calls of unsafe classes: no other goes with them
    others_per_connection: int = 4  # giving one up closes its connection under so many others, less one
    connections_per_node: int = 64


@dataclass(frozen=True, slots=True)
class Operator:
    """All that the operator file sets."""

    msgpack_rpc: MsgpackRpc = field(default_factory=MsgpackRpc)
    protocol: str = HTTP  # of nodes whose entry and pod do not say
    pods: Mapping[int, str] = field(default_factory=dict)


def read_operator(path: str | None) -> Operator:
    """Read the operator file; raise ValueError or OSError, naming the field and what was wanted."""
    if path is None:
        return Operator()
    with open(path, "rb") as file:
        try:
            return operator_from(tomllib.load(file))
        except ValueError as bad:
            raise ValueError(f"{path}: {bad}") from None


def operator_from(given: Mapping[str, Any]) -> Operator:
    """Check what the file holds; a name that is not known is an error, since it would set nothing."""
    top = _Table("", given, ("msgpack_rpc", "nodes"))
    rpc = top.table("msgpack_rpc", MsgpackRpc.__dataclass_fields__)
    nodes = top.table("nodes", ("protocol", "pods"))
    made = MsgpackRpc(
        clients=rpc.flag("clients"),
        nodes=rpc.flag("nodes"),
        lodges_per_connection=rpc.whole("lodges_per_connection", 32, 1, 1024),
        others_per_connection=rpc.whole("others_per_connection", 4, 1, 1024),
        connections_per_node=rpc.whole("connections_per_node", 64, 1, 4096),
    )
    operator = Operator(made, nodes.protocol("protocol", HTTP), nodes.pods("pods"))
    named = {operator.protocol, *operator.pods.values()}
    if MSGPACK_RPC in named and not made.nodes:
        raise ValueError(f"nodes: {MSGPACK_RPC} is named, but msgpack_rpc.nodes is not true")
    return operator


class _Table:
    """One table of the file; each complaint names the path of the field."""

    def __init__(self, path: str, given: Any, known: Iterable[str]) -> None:
        self._path = path
        if not isinstance(given, Mapping):
            raise ValueError(f"{path.rstrip('.')}: a table is wanted, not {given!r:.40}")
        self._given = given
        for name in given:
            if name not in known:
                raise ValueError(f"{path}{name}: not known; one of {', '.join(known)} is wanted")

    def _wanted(self, name: str, wanted: str) -> ValueError:
        return ValueError(f"{self._path}{name}: {wanted} is wanted, not {self._given[name]!r:.40}")

    def table(self, name: str, known: Iterable[str]) -> _Table:
        return _Table(f"{self._path}{name}.", self._given.get(name, {}), known)

    def flag(self, name: str, default: bool = False) -> bool:
        value = self._given.get(name, default)
        if not isinstance(value, bool):
            raise self._wanted(name, "true or false")
        return value

    def whole(self, name: str, default: int, low: int, high: int) -> int:
        value = self._given.get(name, default)
        if type(value) is not int or not low <= value <= high:
            raise self._wanted(name, f"a whole number from {low} to {high}")
        return value

    def protocol(self, name: str, default: str) -> str:
        value = self._given.get(name, default)
        if value not in PROTOCOLS:
            raise self._wanted(name, " or ".join(PROTOCOLS))
        return str(value)

    def pods(self, name: str) -> dict[int, str]:
        """Pod number to protocol; TOML's keys are texts."""
        given = self._given.get(name, {})
        if not isinstance(given, Mapping):
            raise self._wanted(name, "a table of pod numbers")
        pods = {}
        inner = _Table(f"{self._path}{name}.", given, given)
        for pod in given:
            if not pod.lstrip("-").isdecimal():
                raise ValueError(f"{self._path}{name}.{pod}: a pod's number is wanted")
            pods[int(pod)] = inner.protocol(pod, HTTP)
        return pods
