"""Addresses, the state of sockets, and the one read buffer."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Final

Address = tuple[str, int]

_TCP_ESTABLISHED: Final = 1  # the first byte of tcp_info (Linux, tcp.h) while neither side has closed


def parse_address(text: str) -> Address:
    """Read host:port; raise ValueError on anything else."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"an address host:port is needed, not {text!r:.60}")
    return host.strip("[]"), int(port)


def has_nothing_unread(sock: socket.socket) -> bool:
    """Whether a connection is open and holds no unread byte."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def is_connected(sock: socket.socket) -> bool:
    """Whether connecting a socket has succeeded."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the other side has closed a connection, even if what it sent before is unread."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _TCP_ESTABLISHED
    except OSError:  # no TCP
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))


def new_socket(address: Address) -> socket.socket:
    """A TCP socket of an address's family."""
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


# All connections of the process read into it, and copy what came at once.
_READ_BUFFER = memoryview(bytearray(64 * 1024))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A connection that reads through one buffer: by default each read allocates 256 KiB, which fragments the heap."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer to read into (called by asyncio)."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes were read (called by asyncio)."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle what came."""
        raise NotImplementedError
