"""Addresses, sockets and the one read buffer."""

from __future__ import annotations

import asyncio
import select
import socket

Address = tuple[str, int]

_ESTABLISHED = 1  # the first byte of tcp_info (Linux, tcp.h): an end that has come makes it another


def parse_address(text: str) -> Address:
    """Read host:port; raise ValueError on anything else."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"an address host:port is needed, not {text!r:.60}")
    return host.strip("[]"), int(port)


def has_nothing_unread(sock: socket.socket) -> bool:
    """Whether a connection holds nothing unread: no byte, no end, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def is_connected(sock: socket.socket) -> bool:
    """Whether a dialled connection has come up."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the other side has closed a connection, though what it sent before may be unread."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _ESTABLISHED
    except OSError:  # no TCP
        look = select.poll()
        look.register(sock, select.POLLRDHUP)
        return bool(look.poll(0))


def new_socket(address: Address) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)


# What any connection reads goes through here, and is copied out at once.
_READ = memoryview(bytearray(64 * 1024))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Reads through one buffer: by default each read takes 256 KiB anew, which scatters the heap."""

    def get_buffer(self, sizehint: int) -> memoryview:
        return _READ

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_READ[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError
