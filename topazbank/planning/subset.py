"""Subsets: the few servers that one forwarder sends to, so that it need not keep connections to all of them."""

from __future__ import annotations

import hashlib
from collections.abc import Collection

SUBSET_SIZE = 24
_SLACK_RATIO = 1.5  # up to so many times the size, all servers are taken


def choose_subset(forwarder: str, servers: Collection[str], seed: str) -> list[str]:
    """Choose a forwarder's servers by rendezvous hashing.

    Each server is in about as many subsets as any other, and few subsets change when one comes or goes.
    """
    if len(servers) <= _SLACK_RATIO * SUBSET_SIZE:
        return list(servers)
    return sorted(servers, key=lambda server: _hash(forwarder, server, seed))[:SUBSET_SIZE]


def _hash(forwarder: str, server: str, seed: str) -> bytes:
    return hashlib.blake2b(f"{seed}\0{forwarder}\0{server}".encode(), digest_size=8).digest()
