"""Splits a connection limit between two processes of one sidecar during an upgrade; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

_NEW_CONNECTIONS_MARGIN = 8  # connections the old process may open beyond its current ones


@dataclass(frozen=True, slots=True)
class ConnectionLimitSplit:
    """Each process's part of a connection limit while both run."""

    old: int
    new: int


def split_connection_limit(limit: int, open_connections: int) -> ConnectionLimitSplit:
    """Split `limit` between the old process, which has `open_connections`, and the new one.

    Each process gets half.  The old process gets more if it has more connections open, so that it need not close any.
    The new process always gets at least a quarter: enough to take over while the old one closes its idle connections.
    """
    old_process_need = max(limit // 2, open_connections + _NEW_CONNECTIONS_MARGIN)
    old = min(old_process_need, limit - limit // 4)
    return ConnectionLimitSplit(old, max(limit - old, 1))
