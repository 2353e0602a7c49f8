"""Takes over the listening sockets and the snapshot of this sidecar's running process.

The old process listens on a Unix socket in $TMPDIR that only its user may open (topazbank.operations.handover_server).
The new process connects before it listens for clients.  It receives the listening sockets (SCM_RIGHTS) and a snapshot.
Both processes then accept from one queue, so no connection is refused or reset when the old process closes its copy.
The connection between them stays open while both run; when it closes, the other process has ended.

If the hand-over fails (no socket, a hung process, another version, no Unix sockets), the new process starts without it
and listens beside the old one with SO_REUSEPORT.  docs/design/operations.md compares the alternatives.
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

SERVING_MESSAGE = b"s"  # sent by the new process once it takes requests
SOCKETS_KEY = "sockets"
SOCKET_NAMES = ["clients", "peers"]  # names in the snapshot, in the order of the sockets sent
_RESPONSE_TIMEOUT_S = 1.0  # after this, the new process starts beside a hung one
_SOCKETS_MAX = 4
_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: process ID, user ID, group ID
_SOCKET_TIMEOUT_MIN_S = 0.001  # 0 would make the socket non-blocking


@dataclass(slots=True)
class InheritedState:
    """The state a process receives from its predecessor; empty if there is none."""

    client_socket: socket.socket | None = None  # listens for clients
    gossip_socket: socket.socket | None = None  # receives datagrams from other sidecars
    snapshot: Mapping[str, Any] = field(default_factory=dict)
    link: socket.socket | None = None  # open while the predecessor runs


class ForeignProcess(PermissionError):
    """The process at the other end of the Unix socket belongs to another user."""


@contextlib.contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Yield an alias of `path` that fits a Unix socket address (108 bytes), however long the folder's path is."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def check_same_user(link: socket.socket) -> None:
    """Raise ForeignProcess unless the process at the other end belongs to this process's user."""
    credentials = link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    _, user_id, _ = _CREDENTIALS.unpack(credentials)
    if user_id != os.getuid():
        raise ForeignProcess(f"hand-over socket: expected a peer with user ID {os.getuid()}, found {user_id}")


def take_over(path: Path | None) -> InheritedState:
    """Take over from the process that listens at `path`; return an empty state if there is none or the hand-over fails.

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
    """Receive the sockets and the snapshot; close the sockets if the snapshot is invalid."""
    deadline_s = time.monotonic() + _RESPONSE_TIMEOUT_S
    header, descriptors, _, _ = socket.recv_fds(link, HEADER_BYTES, _SOCKETS_MAX)
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    try:
        header += _read_exactly(link, HEADER_BYTES - len(header), deadline_s)
        snapshot = decode_snapshot(header, _read_exactly(link, body_length(header), deadline_s))
        if snapshot.get(SOCKETS_KEY) != SOCKET_NAMES[: len(sockets)] or not sockets:
            raise InvalidSnapshot(
                f"snapshot key {SOCKETS_KEY!r} does not match the {len(sockets)} sockets received"
            )
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
            raise InvalidSnapshot(f"snapshot is truncated: at least {count - len(data)} bytes missing")
        data += chunk
    return data
