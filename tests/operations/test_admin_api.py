"""The operators' desk, over loopback."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator

import pytest

from topazbank.core.net import Address
from topazbank.operations.admin_api import CONNECTIONS_MAX, LINE_BYTES_MAX, AdminCommands, AdminServer
from topazbank.operations.drain import Drain, DrainState

PATIENCE_S = 10.0


@contextlib.contextmanager
def desk(drain: Drain | None = None) -> Iterator[Address]:
    drain = drain or Drain(1.0)
    drain.mark_started()
    made = AdminServer(("127.0.0.1", 0), AdminCommands(drain, lambda: None).answer)
    made.start()
    try:
        yield made.address
    finally:
        made.stop()


def call(address: Address, *parts: bytes, ends: bool = False) -> bytes:
    """What comes back for these bytes, sent in so many pieces."""
    with socket.create_connection(address, PATIENCE_S) as sock:
        for part in parts:
            sock.sendall(part)
            time.sleep(0.005 if len(parts) > 1 else 0.0)
        if ends:
            sock.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: sock.recv(4096), b""))


def test_each_call_is_answered_by_what_holds_afterwards() -> None:
    drain = Drain(1.0)
    with desk(drain) as address:
        assert call(address, b"status\n") == b"200 serving\n"
        assert call(address, b"standby\r\n") == b"200 emptying\n"
        assert call(address, b"standby\n") == b"200 emptying\n"
        drain.decide(time.monotonic() + 9.0, 0)
        assert call(address, b"status\n") == b"200 empty\n"
        assert call(address, b"active\n") == b"200 serving\n"
        drain.terminate(0.0, succeeded=False)
        assert call(address, b"standby\n") == b"200 ending\n"
        assert call(address, b"active\n") == b"400 ending\n"


def test_status_says_no_before_this_process_can_serve() -> None:
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
def test_what_is_no_call_is_answered_by_400(line: bytes) -> None:
    with desk() as address:
        answer = call(address, line)
        assert answer.startswith(b"400 ") and answer.endswith(b"\n") and answer.count(b"\n") == 1


def test_an_overlong_line_without_end_is_answered_and_loses_nothing_else() -> None:
    with desk() as address:
        assert call(address, b"y" * 100_000).startswith(b"400 ")
        assert call(address, b"status\n").startswith(b"200 ")


def test_one_line_to_a_connection_and_one_back_however_it_is_cut() -> None:
    with desk() as address:
        assert call(address, b"status\nstandby\n") == b"200 serving\n"
        assert call(address, b"status\n") == b"200 serving\n"
        assert call(address, *[bytes([each]) for each in b"status\r\n"]) == b"200 serving\n"
        assert call(address, b"status", ends=True) == b"200 serving\n"


def test_more_callers_that_hold_their_connection_than_there_is_room_for_delay_nobody() -> None:
    with desk() as address, contextlib.ExitStack() as held:
        for _ in range(10 * CONNECTIONS_MAX):
            sock = held.enter_context(socket.create_connection(address, PATIENCE_S))
            sock.sendall(b"stat")
            began = time.monotonic()
            assert call(address, b"status\n") == b"200 serving\n"
            assert time.monotonic() - began < 1.0


def test_an_order_wakes_the_loop_and_changes_the_machine_before_it_is_answered() -> None:
    drain, woken = Drain(1.0), []
    drain.mark_started()
    calls = AdminCommands(drain, lambda: woken.append(drain.state))
    calls.answer(b"standby")
    calls.answer(b"status")
    calls.answer(b"active")
    assert woken == [DrainState.DRAINING, DrainState.SERVING]
