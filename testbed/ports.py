"""Addresses for processes that are told where to listen before they do.

A port that was picked and let go may be given to anybody who binds the same host next; so such ports are picked at a
loopback address that nobody else uses.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket

from testbed.wire import Address

_hosts = itertools.count()


def private_loopback_host() -> str:
    """A loopback address that nobody else binds at: a port picked here stays its picker's, process or not."""
    pid = os.getpid()
    return f"127.{64 + next(_hosts) % 128}.{pid >> 8 & 0xFF}.{1 + pid % 254}"


def free_addresses(host: str, count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[Address]:
    """So many addresses where nobody listens yet, no two alike: each is held until the last is found."""
    with contextlib.ExitStack() as held:
        found: list[Address] = []
        for _ in range(count):
            sock = held.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            found.append(sock.getsockname())
        return found
