"""Splits a limit between two processes of one sidecar during an upgrade; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

_NEW_CONNECTIONS_MARGIN = 8  # connections the old process may open beyond its current ones
# Used by a second process besides its connections, or briefly beyond their limit; one process has its own reserve.
_SECOND_PROCESS_DESCRIPTORS = 40


@dataclass(frozen=True, slots=True)
class LimitSplit:
    """Each process's part of a limit while both run."""

    old: int
    new: int


def split_connection_limit(limit: int, open_connections: int) -> LimitSplit:
    """Split `limit` between the old process, which has `open_connections`, and the new one."""
    return _split(limit, open_connections + _NEW_CONNECTIONS_MARGIN)


@dataclass(frozen=True, slots=True)
class ConnectionSplit:
    """Each process's limits on connections while both run."""

    clients: LimitSplit
    servers: LimitSplit


def split_connection_limits(limit: int, open_clients: int, open_servers: int) -> ConnectionSplit:
    """Split the limits on connections from clients and to servers, each of them `limit`.

    Clients of the old process beyond its part stay connected, so that fewer connections to servers remain.
    """
    clients = split_connection_limit(limit, open_clients)
    excess = max(open_clients + _NEW_CONNECTIONS_MARGIN - clients.old, 0)
    servers_limit = max(limit - excess - _SECOND_PROCESS_DESCRIPTORS, 1)
    return ConnectionSplit(clients, split_connection_limit(servers_limit, open_servers))


def split_memory_limit(limit_bytes: int, held_bytes: int) -> LimitSplit:
    """Split the memory budget between the old process, which holds `held_bytes`, and the new one."""
    return _split(limit_bytes, held_bytes)


def _split(limit: int, old_process_need: int) -> LimitSplit:
    """Split a limit in half, or give the old process more if it needs more.

    The new process always gets at least a quarter: enough to take over while the old one releases what it holds.
    """
    old = min(max(limit // 2, old_process_need), limit - limit // 4)
    return LimitSplit(old, max(limit - old, 1))
