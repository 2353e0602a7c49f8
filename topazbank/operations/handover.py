"""Takes over the listening sockets and the snapshot of the process that serves as this sidecar now.

The old process listens on a Unix socket in $TMPDIR that only its user may open (topazbank.operations.handover_server).
The new one connects before it listens for clients and receives the listening sockets themselves (SCM_RIGHTS) with a
snapshot.  Both then accept from one queue, so that no connection is refused or reset when the old process closes its
copy.  The connection between the two stays open while both run: its end tells each of them that the other has ended.

Where that fails (no socket, a hung process or one of another version, no Unix sockets) the new process starts without a
hand-over and listens beside the old one by SO_REUSEPORT.  docs/design/operations.md compares the ways.
"""

from __future__ import annotations

import contextlib
import logging
import os
import socket
import struct
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from topazbank.operations.snapshot import HEADER_BYTES, InvalidSnapshot, body_length, decode_snapshot

log = logging.getLogger(__name__)

SERVING_MESSAGE = b"s"  # the new process tells the old one that it takes requests
SOCKETS_KEY = "sockets"
SOCKET_NAMES = ["clients", "peers"]  # in the snapshot, in the order in which the sockets are sent
_RESPONSE_TIMEOUT_S = 1.0  # a process that hangs is started beside
_SOCKETS_MAX = 4
_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: process, user, group
_SOCKET_TIMEOUT_MIN_S = 0.001  # 0 would make the socket non-blocking


@dataclass(slots=True)
class InheritedState:
    """What a process has from its predecessor; empty where there is none."""

    client_socket: socket.socket | None = None  # listens for clients
    gossip_socket: socket.socket | None = None  # receives other sidecars' datagrams
    snapshot: Mapping[str, Any] = field(default_factory=dict)
    link: socket.socket | None = None  # open while the predecessor runs


class ForeignProcess(PermissionError):
    """The process at the other end of the Unix socket belongs to another user."""


@contextlib.contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Yield a name of `path` that fits a Unix socket's address (108 bytes), however long the folder's name is."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def check_same_user(link: socket.socket) -> None:
    """Raise ForeignProcess unless the process at the other end belongs to this process's user."""
    credentials = link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    _, user, _ = _CREDENTIALS.unpack(credentials)
    if user != os.getuid():
        raise ForeignProcess("the process at the hand-over socket belongs to another user")


def take_over(path: Path | None) -> InheritedState:
    """Take over from the process that listens at `path`; return an empty state where none does or it fails.

    Blocks for at most about _RESPONSE_TIMEOUT_S.
    """
    if path is None or not path.exists():
        return InheritedState()
    link = None
    try:
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link.settimeout(_RESPONSE_TIMEOUT_S)
        with short_path(path) as name:
            link.connect(name)
        check_same_user(link)
        return _receive(link)
    except (OSError, InvalidSnapshot) as error:
        log.warning("started without a hand-over from the former process: %s", error)
        if link is not None:
            link.close()
        return InheritedState()


def _receive(link: socket.socket) -> InheritedState:
    """Receive the sockets and the snapshot; close the sockets where the snapshot is refused."""
    deadline_s = time.monotonic() + _RESPONSE_TIMEOUT_S
    header, descriptors, _, _ = socket.recv_fds(link, HEADER_BYTES, _SOCKETS_MAX)
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    try:
        header += _read_exactly(link, HEADER_BYTES - len(header), deadline_s)
        snapshot = decode_snapshot(header, _read_exactly(link, body_length(header), deadline_s))
        if snapshot.get(SOCKETS_KEY) != SOCKET_NAMES[: len(sockets)] or not sockets:
            raise InvalidSnapshot("the sockets received are not those that it names")
    except (OSError, InvalidSnapshot):
        for sock in sockets:
            sock.close()
        raise
    link.setblocking(False)
    return InheritedState(sockets[0], sockets[1] if len(sockets) > 1 else None, snapshot, link)


def _read_exactly(link: socket.socket, count: int, deadline_s: float) -> bytes:
    data = b""
    while len(data) < count:
        link.settimeout(max(deadline_s - time.monotonic(), _SOCKET_TIMEOUT_MIN_S))
        chunk = link.recv(count - len(data))
        if not chunk:
            raise InvalidSnapshot("cut short")
        data += chunk
    return data
