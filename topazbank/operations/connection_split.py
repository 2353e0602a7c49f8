"""How two processes of one sidecar share a limit on connections during an upgrade; no I/O."""

from __future__ import annotations

from dataclasses import dataclass

_NEW_CONNECTIONS_MARGIN = 8  # that the old process may open beyond those it has


@dataclass(frozen=True, slots=True)
class ConnectionLimitSplit:
    """Each process's part of a limit on connections while both run."""

    old: int
    new: int


def split_connection_limit(limit: int, open_connections: int) -> ConnectionLimitSplit:
    """Split a limit between the old process, which has so many connections open, and the new one.

    Half each, unless the old process has more open: it closes none for the new one's sake.  The new process always gets
    a quarter, with which it can take over, as the old one closes its idle connections.
    """
    wanted_by_old = max(limit // 2, open_connections + _NEW_CONNECTIONS_MARGIN)
    old = min(wanted_by_old, limit - limit // 4)
    return ConnectionLimitSplit(old, max(limit - old, 1))
