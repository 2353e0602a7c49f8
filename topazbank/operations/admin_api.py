"""Where operators call: one line to a connection, one line back that begins with 200 or 400.

It runs in a thread of its own: an answer is owed in a second under any load, and a loop that is behind with requests
comes too late.  docs/design/operations.md weighs that.  What an order changes is changed at once, under the machine's
lock; the loop is woken to carry it out.
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

from topazbank.core.net import Address
from topazbank.operations.drain import Drain, DrainState

log = logging.getLogger(__name__)

LINE_BYTES_MAX = 256  # bytes of a call; a longer one is none
CONNECTIONS_MAX = (
    16  # connections held: the newest are served, and the oldest that have called nothing make room
)
_HELD_S = 10.0  # and none is held for longer with nothing called
_LINGER_S = 1.0  # after its answer a caller may take this long to end its side
_STACK = 256 * 1024  # bytes of the thread's stack: the platform's default is 8 MB of addresses
_BACKLOG = 128


def understand(line: bytes) -> str | None:
    """The word of a call; None where nobody knows it."""
    word = line.strip(b" \t\r\n")
    return word.decode() if word in (b"status", b"standby", b"active") else None


class AdminCommands:
    """What the operators' words do to the drain's machine."""

    def __init__(self, drain: Drain, changed: Callable[[], None]) -> None:
        """`changed` is called, from any thread, once an order has been taken."""
        self._drain = drain
        self._changed = changed

    def answer(self, line: bytes) -> str:
        """Carry an order out and say what holds from now on."""
        word = understand(line)
        if word is None:
            return "400 not known: status, standby or active"
        if word == "status":
            stage = self._drain.state
            return f"{400 if stage is DrainState.STARTING else 200} {stage.value}"
        stage = self._drain.start_drain(time.monotonic()) if word == "standby" else self._drain.cancel_drain()
        self._changed()
        refused = word == "active" and stage is DrainState.TERMINATING
        return f"{400 if refused else 200} {stage.value}"


@dataclass(slots=True, eq=False)
class Caller:
    """One operator's connection."""

    sock: socket.socket
    until: float
    line: bytes = b""
    answered: bool = False


class AdminServer:
    """Listens for operators, in a thread."""

    def __init__(self, address: Address, answer: Callable[[bytes], str]) -> None:
        """Raise OSError where the address can't be listened at."""
        self._answer = answer
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._sock = socket.create_server(address, family=family, backlog=_BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()[:2]
        self._callers: dict[socket.socket, Caller] = {}  # the longest held first; at most CALLERS_MOST
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._sock, selectors.EVENT_READ)
        self._wake_read, self._wake_write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self._selector.register(self._wake_read, selectors.EVENT_READ)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="desk", daemon=True)

    def start(self) -> None:
        before = threading.stack_size(_STACK)
        try:
            self._thread.start()
        finally:
            threading.stack_size(before)

    def stop(self) -> None:
        """End it; a call that waits gets no answer any more."""
        self._stopping = True
        os.write(self._wake_write, b"x")
        self._thread.join(timeout=1.0)

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(timeout=0.5 if self._callers else None):
                try:
                    self._turn(key.fileobj)
                except Exception:
                    log.exception("the operators' desk failed on a call")  # a defect: the others go on
            self._sweep(time.monotonic())
        for caller in list(self._callers.values()):
            self._end(caller)
        self._selector.close()
        self._sock.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def _turn(self, what: object) -> None:
        if what is self._sock:
            self._accept()
        elif isinstance(what, socket.socket) and what in self._callers:
            self._read(self._callers[what])

    def _accept(self) -> None:
        """Take one caller: those that hold their connection and call nothing make room for it."""
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if len(self._callers) >= CONNECTIONS_MAX:
            self._end(next(iter(self._callers.values())))
        sock.setblocking(False)
        self._callers[sock] = Caller(sock, time.monotonic() + _HELD_S)
        self._selector.register(sock, selectors.EVENT_READ)
        self._read(self._callers[sock])  # most calls are here already

    def _read(self, caller: Caller) -> None:
        try:
            data = caller.sock.recv(4096)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._end(caller)
            return
        if caller.answered:
            if not data:
                self._end(caller)  # what comes after the line is read and dropped
            return
        line, ended, _ = (caller.line + data).partition(b"\n")
        if ended or (not data and line) or len(line) > LINE_BYTES_MAX:
            self._reply(caller, self._answer(line) if len(line) <= LINE_BYTES_MAX else "400 too long")
        elif not data:
            self._end(caller)
        else:
            caller.line = line

    def _reply(self, caller: Caller, answer: str) -> None:
        """Answer and end our side; closing on unread bytes would reset the answer away."""
        caller.answered, caller.until = True, time.monotonic() + _LINGER_S
        try:
            caller.sock.send(answer.encode() + b"\n")  # an empty buffer takes so short a line
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._end(caller)

    def _sweep(self, now: float) -> None:
        for caller in [each for each in self._callers.values() if each.until <= now]:
            self._end(caller)

    def _end(self, caller: Caller) -> None:
        del self._callers[caller.sock]
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(caller.sock)
        caller.sock.close()
