"""Listening addresses for processes that need them assigned before they start.

After a port is released, the kernel may assign it to any other process that binds the same host.  These ports are
therefore taken from a loopback address that no other process uses.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket

from testbed.wire import Address

_hosts = itertools.count()


def private_loopback_host() -> str:
    """Return a loopback address that no other process binds; its ports stay free while nothing listens there."""
    pid = os.getpid()
    return f"127.{64 + next(_hosts) % 128}.{pid >> 8 & 0xFF}.{1 + pid % 254}"


def free_addresses(host: str, count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[Address]:
    """Return distinct unused addresses; all sockets stay bound until the last address is allocated."""
    with contextlib.ExitStack() as bound:
        addresses: list[Address] = []
        for _ in range(count):
            sock = bound.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind((host, 0))
            addresses.append(sock.getsockname())
        return addresses
