"""One process of a sidecar takes over from another: what listens, and what is known, through a Unix socket.

The old process listens at a path in $TMPDIR that only its user may open.  The new one connects before it listens for
clients, and is sent the listening sockets themselves with a snapshot: both then take connections from one queue, so
none is ever refused, reset or left unread when the old one closes.  The connection stays open as long as both live,
and its end tells each of the other's.  Where that does not work (no such path, a hung or another version's process, a
platform without Unix sockets) the new process listens beside the old one by SO_REUSEPORT.

docs/design/operations.md weighs the ways.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from topazbank.operations.upgrade import (
    HEADER_BYTES,
    InvalidSnapshot,
    body_length,
    decode_snapshot,
    encode_snapshot,
)

log = logging.getLogger(__name__)

_ANSWER_S = 1.0  # what the old process may take to hand over: a hung one is gone without
_SERVING = b"s"  # the new process's word that it takes requests
_SOCKETS_MOST = 4
_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED's: process, user, group


@dataclass(slots=True)
class InheritedState:
    """What a process got from the one before it; empty, it is the first."""

    client_socket: socket.socket | None = None  # listens for clients
    gossip_socket: socket.socket | None = None  # hears other sidecars
    snapshot: Mapping[str, Any] = field(default_factory=dict)
    link: socket.socket | None = None  # open as long as the other lives


@contextlib.contextmanager
def _within(path: Path) -> Any:
    """A name for the path that a Unix socket's address has room for, however long the folder's is."""
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def take_over(path: Path | None) -> InheritedState:
    """Take over from the process that serves at this path, if one does; wait for no longer than _ANSWER_S."""
    if path is None or not path.exists():
        return InheritedState()
    link = None
    try:
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        link.settimeout(_ANSWER_S)
        with _within(path) as name:
            link.connect(name)
        if _is_strange(link):
            raise PermissionError("another user's process listens there")
        return _receive(link)
    except (OSError, InvalidSnapshot) as fault:
        log.warning("nothing is taken over from the process before: %s", fault)
        if link is not None:
            link.close()
        return InheritedState()


def _is_strange(link: socket.socket) -> bool:
    given = link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    return bool(_CREDENTIALS.unpack(given)[1] != os.getuid())


def _receive(link: socket.socket) -> InheritedState:
    """Sockets first, whatever becomes of the snapshot."""
    until = time.monotonic() + _ANSWER_S
    head, fds, _, _ = socket.recv_fds(link, HEADER_BYTES, _SOCKETS_MOST)
    socks = [socket.socket(fileno=fd) for fd in fds]
    try:
        head += _exactly(link, HEADER_BYTES - len(head), until)
        known = decode_snapshot(head, _exactly(link, body_length(head), until))
        if known.get("sockets") != ["clients", "peers"][: len(socks)] or not socks:
            raise InvalidSnapshot("not the sockets that it names")
    except (OSError, InvalidSnapshot):
        for each in socks:
            each.close()
        raise
    link.setblocking(False)
    return InheritedState(socks[0], socks[1] if len(socks) > 1 else None, known, link)


def _exactly(link: socket.socket, count: int, until: float) -> bytes:
    data = b""
    while len(data) < count:
        link.settimeout(max(until - time.monotonic(), 0.001))
        more = link.recv(count - len(data))
        if not more:
            raise InvalidSnapshot("cut short")
        data += more
    return data


class HandoverServer:
    """The side of the process that serves: hands over to the next, and hears whether that lives."""

    def __init__(
        self,
        path: Path,
        sockets: Callable[[], Sequence[socket.socket]],
        known: Callable[[], Mapping[str, Any]],
        shared: Callable[[bool], None],
        taken: Callable[[], None] = lambda: None,
    ) -> None:
        """`sockets`: those that listen, clients' first; `shared`: whether another process shares the limits now.

        `taken` is called once that process takes requests.
        """
        self._taken = taken
        self._path = path
        self._sockets = sockets
        self._known = known
        self._shared = shared
        self._sock: socket.socket | None = None
        self._link: socket.socket | None = None  # to the process that comes; one at a time, the latest
        self.has_successor = False  # whether it takes requests

    def start(self, inherited: InheritedState) -> None:
        """Serve at the path from now on; tell the process before that requests are taken."""
        self._listen()
        if inherited.link is not None:
            with contextlib.suppress(OSError):
                inherited.link.send(_SERVING)
            asyncio.get_running_loop().add_reader(inherited.link, self._before_ended, inherited.link)

    def stop(self) -> None:
        loop = asyncio.get_running_loop()
        for each in (self._sock, self._link):
            if each is not None:
                loop.remove_reader(each)
                each.close()
        if self._sock is not None and not self.has_successor:
            self._path.unlink(missing_ok=True)
        self._sock = self._link = None

    def _listen(self) -> None:
        """Listen at the path, in place of whoever did; silently not, where the platform has no Unix sockets."""
        fresh = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self._sock.setblocking(False)
            with _within(fresh) as name:
                fresh.unlink(missing_ok=True)
                self._sock.bind(name)
            fresh.chmod(0o600)
            self._sock.listen(4)
            fresh.replace(self._path)
            asyncio.get_running_loop().add_reader(self._sock, self._asked)
        except OSError as fault:
            log.debug("nothing can be handed over: %s", fault)
            if self._sock is not None:
                self._sock.close()
                self._sock = None

    def _asked(self) -> None:
        """Another process comes: hand over.  It takes what it gets within its time, or does without."""
        assert self._sock is not None
        try:
            link, _ = self._sock.accept()
        except OSError:
            return
        try:
            if _is_strange(link):
                raise PermissionError("another user's process")
            link.setblocking(False)
            self._hand(link)
        except OSError as fault:
            log.warning("not handed over: %s", fault)
            link.close()
            return
        self._drop_link()
        self._link = link
        asyncio.get_running_loop().add_reader(link, self._heard, link)
        self._shared(True)
        log.info("handed over to another process")

    def _hand(self, link: socket.socket) -> None:
        socks = self._sockets()
        data = encode_snapshot({"sockets": ["clients", "peers"][: len(socks)], **self._known()})
        link.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data)
        )  # it is written at once, or not at all
        sent = socket.send_fds(link, [data], [each.fileno() for each in socks])
        if sent < len(data):
            raise BlockingIOError("the snapshot is longer than the connection takes")

    def _heard(self, link: socket.socket) -> None:
        """The process that came serves, or has ended: then this one is alone again."""
        try:
            word = link.recv(16)
        except BlockingIOError:
            return
        except OSError:
            word = b""
        if word:
            self.has_successor = True
            self._taken()
            return
        self._drop_link()
        self._shared(False)
        log.warning("the process that came has ended")
        if self._sock is not None:  # its path may be in place of this one's
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._listen()

    def _drop_link(self) -> None:
        if self._link is not None:
            asyncio.get_running_loop().remove_reader(self._link)
            self._link.close()
            self._link = None
        self.has_successor = False

    def _before_ended(self, link: socket.socket) -> None:
        """The process before has ended, and what it held is this one's."""
        asyncio.get_running_loop().remove_reader(link)
        link.close()
        self._shared(False)
