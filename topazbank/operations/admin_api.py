"""The admin API: one command line per connection (`status`, `standby` or `active`), one line back.

The answer begins with 200, or with 400 for a refused or unknown command, and is sent within a second under any load.
The server therefore runs in its own thread: an overloaded event loop would answer too late.  A command changes the
drain's state machine immediately, under its lock, and wakes the event loop to apply the new state.
"""

from __future__ import annotations

import contextlib
import logging
import os
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from topazbank.core.net import Address
from topazbank.operations.drain import Drain, DrainState

log = logging.getLogger(__name__)

LINE_BYTES_MAX = 256  # longer commands are answered with 400
CONNECTIONS_MAX = 16  # one more closes the oldest connection
_COMMAND_TIMEOUT_S = 10.0  # a connection that sends no command is closed after this time
_CLOSE_TIMEOUT_S = 1.0  # time for the client to close its side after the answer
_READ_BYTES = 4096
_SELECT_TIMEOUT_S = 0.5  # interval of the timeout checks while connections are open
_STOP_TIMEOUT_S = 1.0
_STACK_BYTES = 256 * 1024  # the platform's default of 8 MB would count against the memory limit
_BACKLOG = 128


@unique
class Command(Enum):
    """A command of the admin API; the value is its name on the wire."""

    STATUS = "status"
    STANDBY = "standby"
    ACTIVE = "active"


def parse_command(line: bytes) -> Command | None:
    """Parse one line, with or without its line ending; return None if it is not a command."""
    try:
        return Command(line.strip(b" \t\r\n").decode("ascii"))
    except ValueError:
        return None


class AdminCommands:
    """Executes commands on the drain's state machine."""

    def __init__(self, drain: Drain, on_change: Callable[[], None]) -> None:
        """`on_change` is called after each `standby` or `active` command, in the caller's thread."""
        self._drain = drain
        self._on_change = on_change

    def answer(self, line: bytes) -> str:
        """Execute a command; return the status code and the resulting state."""
        command = parse_command(line)
        if command is None:
            return "400 not known: status, standby or active"
        if command is Command.STATUS:
            state = self._drain.state
            return _answer(state, refused=state is DrainState.STARTING)
        if command is Command.STANDBY:
            state, refused = self._drain.start_drain(time.monotonic()), False
        else:
            state = self._drain.cancel_drain()
            refused = state is DrainState.TERMINATING
        self._on_change()
        return _answer(state, refused)


def _answer(state: DrainState, refused: bool) -> str:
    return f"{400 if refused else 200} {state.value}"


@dataclass(slots=True, eq=False)
class _AdminConnection:
    """A client's connection."""

    sock: socket.socket
    close_at_s: float
    line: bytes = b""
    answered: bool = False


class AdminServer:
    """Listens for clients of the admin API in its own thread.

    At most CONNECTIONS_MAX connections are open.  Idle clients can't lock others out: a new connection is always
    accepted, and the oldest one is closed to make room.
    """

    def __init__(self, address: Address, answer: Callable[[bytes], str]) -> None:
        """Listen at `address`; raise OSError if that fails.  `answer` is called in the server's thread."""
        self._answer = answer
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.create_server(address, family=family, backlog=_BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]
        self._connections: dict[socket.socket, _AdminConnection] = {}  # oldest first
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._sock, selectors.EVENT_READ)
        self._wake_read, self._wake_write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self._selector.register(self._wake_read, selectors.EVENT_READ)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="admin-api", daemon=True)

    def start(self) -> None:
        """Start the thread with a stack of _STACK_BYTES."""
        default_bytes = threading.stack_size(_STACK_BYTES)
        try:
            self._thread.start()
        finally:
            threading.stack_size(default_bytes)

    def stop(self) -> None:
        """Stop the thread and close all connections; pending commands get no answer."""
        self._stopping = True
        os.write(self._wake_write, b"x")
        self._thread.join(timeout=_STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(timeout=_SELECT_TIMEOUT_S if self._connections else None):
                try:
                    self._handle_readable(key.fileobj)
                except Exception:
                    log.exception("unhandled error in the admin API")  # a bug; others are still served
            self._close_expired(time.monotonic())
        for connection in list(self._connections.values()):
            self._close(connection)
        self._selector.close()
        self._sock.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def _handle_readable(self, readable: object) -> None:
        if readable is self._sock:
            self._accept()
        elif isinstance(readable, socket.socket) and readable in self._connections:
            self._read(self._connections[readable])

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self._connections) >= CONNECTIONS_MAX:
            self._close(next(iter(self._connections.values())))
        sock.setblocking(False)
        connection = _AdminConnection(sock, time.monotonic() + _COMMAND_TIMEOUT_S)
        self._connections[sock] = connection
        self._selector.register(sock, selectors.EVENT_READ)
        self._read(connection)  # the command has usually arrived already

    def _read(self, connection: _AdminConnection) -> None:
        try:
            data = connection.sock.recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._close(connection)
            return
        if connection.answered:
            if not data:
                self._close(connection)  # data after the first line is discarded
            return
        line, line_end, _ = (connection.line + data).partition(b"\n")
        if line_end or (not data and line) or len(line) > LINE_BYTES_MAX:
            self._reply(connection, self._answer(line) if len(line) <= LINE_BYTES_MAX else "400 too long")
        elif not data:
            self._close(connection)
        else:
            connection.line = line

    def _reply(self, connection: _AdminConnection, answer: str) -> None:
        """Send the answer and close only the write side.

        Closing the socket with unread bytes would send a reset, and the client could lose the answer.
        """
        connection.answered, connection.close_at_s = True, time.monotonic() + _CLOSE_TIMEOUT_S
        try:
            connection.sock.send(answer.encode() + b"\n")  # one short line always fits the empty send buffer
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(connection)

    def _close_expired(self, now_s: float) -> None:
        expired = [connection for connection in self._connections.values() if connection.close_at_s <= now_s]
        for connection in expired:
            self._close(connection)

    def _close(self, connection: _AdminConnection) -> None:
        del self._connections[connection.sock]
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.sock)
        connection.sock.close()
