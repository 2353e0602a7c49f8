"""Hands the listening sockets and a snapshot to this sidecar's next process and monitors whether that process runs."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from topazbank.operations.handover import (
    SERVING_MESSAGE,
    SOCKET_NAMES,
    SOCKETS_KEY,
    InheritedState,
    check_same_user,
    short_path,
)
from topazbank.operations.snapshot import encode_snapshot

log = logging.getLogger(__name__)

_BACKLOG = 4
_OWNER_ONLY_MODE = 0o600
_MESSAGE_BYTES = 16


class HandoverServer:
    """The old process's side of a hand-over; a new successor replaces the one before it."""

    def __init__(
        self,
        path: Path,
        listening_sockets: Callable[[], Sequence[socket.socket]],
        snapshot: Callable[[], Mapping[str, Any]],
        on_limits_shared: Callable[[bool], None],
        on_successor_serving: Callable[[], None] = lambda: None,
    ) -> None:
        """`listening_sockets` returns the sockets in the order of SOCKET_NAMES.

        `on_limits_shared` is called with True when another process of this sidecar runs, with False when it has ended.
        """
        self._path = path
        self._listening_sockets = listening_sockets
        self._snapshot = snapshot
        self._on_limits_shared = on_limits_shared
        self._on_successor_serving = on_successor_serving
        self._sock: socket.socket | None = None
        self._link: socket.socket | None = None  # connection to the successor
        self.has_successor = False  # a successor is connected and takes requests

    def start(self, inherited: InheritedState) -> None:
        """Listen for a successor; notify the predecessor that this process takes requests."""
        self._listen()
        if inherited.link is not None:
            with contextlib.suppress(OSError):
                inherited.link.send(SERVING_MESSAGE)
            loop = asyncio.get_running_loop()
            loop.add_reader(inherited.link, self._on_predecessor_ended, inherited.link)

    def stop(self) -> None:
        """Stop listening; remove the socket's path unless a successor has replaced it."""
        loop = asyncio.get_running_loop()
        for sock in (self._sock, self._link):
            if sock is not None:
                loop.remove_reader(sock)
                sock.close()
        if self._sock is not None and not self.has_successor:
            self._path.unlink(missing_ok=True)
        self._sock = self._link = None

    def _listen(self) -> None:
        """Listen at the path in place of any other process; run without hand-over if Unix sockets are not available.

        The socket is bound to a temporary name and then renamed, so that a client always finds a listening socket.
        """
        temporary_path = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self._sock.setblocking(False)
            with short_path(temporary_path) as name:
                temporary_path.unlink(missing_ok=True)
                self._sock.bind(name)
            temporary_path.chmod(_OWNER_ONLY_MODE)
            self._sock.listen(_BACKLOG)
            temporary_path.replace(self._path)
            asyncio.get_running_loop().add_reader(self._sock, self._accept)
        except OSError as error:
            log.debug("hand-over socket is not available: %s", error)
            if self._sock is not None:
                self._sock.close()
                self._sock = None

    def _accept(self) -> None:
        assert self._sock is not None
        try:
            link, _ = self._sock.accept()
        except OSError:
            return
        try:
            check_same_user(link)
            link.setblocking(False)
            self._send_state(link)
        except OSError as error:
            log.warning("hand-over failed: %s", error)
            link.close()
            return
        self._drop_link()
        self._link = link
        asyncio.get_running_loop().add_reader(link, self._read_link, link)
        self._on_limits_shared(True)
        log.info("handed over to another process")

    def _send_state(self, link: socket.socket) -> None:
        """Send the sockets and the snapshot in one write, so that a hung successor can't block the event loop."""
        sockets = self._listening_sockets()
        data = encode_snapshot({SOCKETS_KEY: SOCKET_NAMES[: len(sockets)], **self._snapshot()})
        link.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data))
        sent = socket.send_fds(link, [data], [sock.fileno() for sock in sockets])
        if sent < len(data):
            raise BlockingIOError(f"snapshot of {len(data)} bytes exceeds the send buffer, sent {sent} bytes")

    def _read_link(self, link: socket.socket) -> None:
        """Handle a message from the successor, which now takes requests, or the end of its connection."""
        try:
            message = link.recv(_MESSAGE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            message = b""
        if message:
            self.has_successor = True
            self._on_successor_serving()
        else:
            self._on_successor_ended()

    def _on_successor_ended(self) -> None:
        """Serve alone and listen again, as the successor may have replaced this process's socket at the path."""
        self._drop_link()
        self._on_limits_shared(False)
        log.warning("the successor process has ended")
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
            self._listen()

    def _drop_link(self) -> None:
        if self._link is not None:
            asyncio.get_running_loop().remove_reader(self._link)
            self._link.close()
            self._link = None
        self.has_successor = False

    def _on_predecessor_ended(self, link: socket.socket) -> None:
        asyncio.get_running_loop().remove_reader(link)
        link.close()
        self._on_limits_shared(False)
