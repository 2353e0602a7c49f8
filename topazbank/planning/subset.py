"""Subsetting: each forwarder sends to a few servers only, which bounds its connections."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

SUBSET_SIZE = 24
_SLACK_RATIO = 1.5  # up to this multiple of SUBSET_SIZE, all servers are used


def choose_subset(forwarder: str, servers: Collection[str], seed: str) -> list[str]:
    """Choose a forwarder's servers by rendezvous hashing.

    All servers are in about the same number of subsets, and few subsets change when a server is added or removed.
    """
    if len(servers) <= _SLACK_RATIO * SUBSET_SIZE:
        return list(servers)
    return sorted(servers, key=lambda server: _hash(forwarder, server, seed))[:SUBSET_SIZE]


def _hash(forwarder: str, server: str, seed: str) -> bytes:
    return hashlib.blake2b(f"{seed}\0{forwarder}\0{server}".encode(), digest_size=8).digest()
