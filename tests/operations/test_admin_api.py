"""The admin API over loopback connections."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator

import pytest

from topazbank.core.net import Address
from topazbank.operations.admin_api import CONNECTIONS_MAX, LINE_BYTES_MAX, AdminCommands, AdminServer
from topazbank.operations.drain import Drain, DrainState

TIMEOUT_S = 10.0


@contextlib.contextmanager
def admin_server(drain: Drain | None = None) -> Iterator[Address]:
    drain = drain or Drain(1.0)
    drain.mark_started()
    server = AdminServer(("127.0.0.1", 0), AdminCommands(drain, lambda: None).answer)
    server.start()
    try:
        yield server.address
    finally:
        server.stop()


def call(address: Address, *chunks: bytes, close_write_side: bool = False) -> bytes:
    """Send the chunks one after the other; return the whole answer."""
    with socket.create_connection(address, TIMEOUT_S) as sock:
        for chunk in chunks:
            sock.sendall(chunk)
            time.sleep(0.005 if len(chunks) > 1 else 0.0)
        if close_write_side:
            sock.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: sock.recv(4096), b""))


def test_each_command_is_answered_with_the_state_afterwards() -> None:
    drain = Drain(1.0)
    with admin_server(drain) as address:
        assert call(address, b"status\n") == b"200 serving\n"
        assert call(address, b"standby\r\n") == b"200 emptying\n"
        assert call(address, b"standby\n") == b"200 emptying\n"
        drain.decide(time.monotonic() + 9.0, 0)
        assert call(address, b"status\n") == b"200 empty\n"
        assert call(address, b"active\n") == b"200 serving\n"
        drain.terminate(0.0, has_successor=False)
        assert call(address, b"standby\n") == b"200 ending\n"
        assert call(address, b"active\n") == b"400 ending\n"


def test_status_is_refused_before_the_process_can_serve() -> None:
    drain = Drain(1.0)
    assert AdminCommands(drain, lambda: None).answer(b"status").startswith("400")
    drain.mark_started()
    assert AdminCommands(drain, lambda: None).answer(b"status").startswith("200")


@pytest.mark.parametrize(
    "line",
    [
        b"\n",
        b"\r\n",
        b"restart\n",
        b"status now\n",
        b"STATUS\n",
        b"\x00\xff\x80\n",
        b"x" * LINE_BYTES_MAX + b"y\n",
    ],
)
def test_an_unknown_command_is_answered_with_400(line: bytes) -> None:
    with admin_server() as address:
        answer = call(address, line)
        assert answer.startswith(b"400 ") and answer.endswith(b"\n") and answer.count(b"\n") == 1


def test_an_overlong_line_without_end_is_refused_and_the_server_goes_on() -> None:
    with admin_server() as address:
        assert call(address, b"y" * 100_000).startswith(b"400 ")
        assert call(address, b"status\n").startswith(b"200 ")


def test_one_command_per_connection_is_answered_however_it_is_split() -> None:
    with admin_server() as address:
        assert call(address, b"status\nstandby\n") == b"200 serving\n"
        assert call(address, b"status\n") == b"200 serving\n"
        assert call(address, *[bytes([byte]) for byte in b"status\r\n"]) == b"200 serving\n"
        assert call(address, b"status", close_write_side=True) == b"200 serving\n"


def test_more_idle_connections_than_the_limit_do_not_lock_a_client_out() -> None:
    with admin_server() as address, contextlib.ExitStack() as idle:
        for _ in range(10 * CONNECTIONS_MAX):
            sock = idle.enter_context(socket.create_connection(address, TIMEOUT_S))
            sock.sendall(b"stat")
            started_at_s = time.monotonic()
            assert call(address, b"status\n") == b"200 serving\n"
            assert time.monotonic() - started_at_s < 1.0


def test_an_order_wakes_the_loop_and_changes_the_state_before_it_is_answered() -> None:
    drain, states_when_woken = Drain(1.0), []
    drain.mark_started()
    commands = AdminCommands(drain, lambda: states_when_woken.append(drain.state))
    commands.answer(b"standby")
    commands.answer(b"status")
    commands.answer(b"active")
    assert states_when_woken == [DrainState.DRAINING, DrainState.SERVING]
