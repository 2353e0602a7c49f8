"""Addresses, socket state, and the shared read buffer."""

from __future__ import annotations

import asyncio
import select
import socket
import sys
from typing import Final

Address = tuple[str, int]

_TCP_ESTABLISHED: Final = 1  # first byte of tcp_info (Linux, tcp.h) while neither side has closed
# Offsets and sizes of fields of tcp_info, in bytes.
_UNACKED_AT: Final = 24  # segments sent and not acknowledged
_BYTES_ACKED_AT: Final = 120
_NOTSENT_BYTES_AT: Final = 144  # bytes that wait for the peer's window
_U32_BYTES: Final = 4
_U64_BYTES: Final = 8


def parse_address(text: str) -> Address:
    """Parse host:port; raise ValueError if it is invalid."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r:.60}")
    return host.strip("[]"), int(port)


def has_nothing_unread(sock: socket.socket) -> bool:
    """Whether a connection is open and has no unread bytes."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def is_connected(sock: socket.socket) -> bool:
    """Whether a socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed a connection, even if data it sent before is still unread."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _TCP_ESTABLISHED
    except OSError:  # not a TCP socket
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))


def receive_buffer_bytes(sock: socket.socket) -> int:
    """The number of received bytes that the kernel may hold for a connection at present."""
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:  # closed
        return 0


def acknowledged_bytes(sock: socket.socket) -> int | None:
    """The number of bytes sent on a connection that the peer's kernel has acknowledged; None if it is unknown."""
    info = _tcp_info(sock, _BYTES_ACKED_AT + _U64_BYTES)
    return None if info is None else int.from_bytes(info[_BYTES_ACKED_AT:], sys.byteorder)


def has_unacknowledged(sock: socket.socket) -> bool:
    """Whether bytes written to a connection wait in this kernel, or are on their way; False if it is unknown."""
    info = _tcp_info(sock, _NOTSENT_BYTES_AT + _U32_BYTES)
    if info is None:
        return False
    return any(info[_UNACKED_AT : _UNACKED_AT + _U32_BYTES]) or any(info[_NOTSENT_BYTES_AT:])


def _tcp_info(sock: socket.socket, length: int) -> bytes | None:
    """The first `length` bytes of tcp_info; None if the kernel doesn't report them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, length)
    except OSError:  # closed, or not a TCP socket
        return None
    return info if len(info) == length else None


def new_socket(address: Address) -> socket.socket:
    """Return a TCP socket of the address's family."""
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


READ_BYTES_MAX: Final = 64 * 1024  # of one read; a shorter one has read all that waited in the kernel
# Shared by all connections of the process, which copy the received data immediately.
_READ_BUFFER = memoryview(bytearray(READ_BYTES_MAX))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A connection that reads into a shared buffer: asyncio allocates 256 KiB per read, which fragments the heap."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into (called by asyncio)."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that were read (called by asyncio)."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received data."""
        raise NotImplementedError
