"""The grant store: every sent grant survives a kill at any time, and an untrusted or damaged store is not used."""

from __future__ import annotations

import os
import random
import signal
import sqlite3
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from testbed.quota.model import stored_grants
from topazbank.quota.lease import ClientId, LeaseRequest
from topazbank.quota.lease_server import LeaseServer, StoredGrant
from topazbank.quota.rules import NO_ALLOCATION, Allocation, Quota
from topazbank.quota.store import (
    STORE_AGE_US_MAX,
    VERSION,
    GrantRecord,
    IncompatibleStore,
    Store,
    StoredGrants,
)

SECOND_US = 1_000_000
KILLS = int(os.environ.get("BUDGET_KILLS", "60"))
CLIENT, OTHER = ClientId(1, 2), ClientId(5, 5)
RECORD = GrantRecord(7, CLIENT, 3, Allocation(40, 5), 9 * SECOND_US, 0)


def open_store(
    path: Path, now: int = 0, slices: str = "7:100:10", boot_id: str = "b"
) -> tuple[Store, StoredGrants | None]:
    store = Store(path, slices, boot_id)
    return store, store.open(now)


def test_a_process_restarted_soon_after_reads_all_unexpired_grants(tmp_path: Path) -> None:
    store, grants = open_store(tmp_path / "k")
    assert grants is None
    later = GrantRecord(7, CLIENT, 4, Allocation(20, 5), 10 * SECOND_US, 0)
    expired = GrantRecord(8, CLIENT, 1, Allocation(1), 2 * SECOND_US, 0)
    store.write(SECOND_US, [RECORD, later, expired])
    store.close()
    _, grants = open_store(tmp_path / "k", 2 * SECOND_US)
    assert grants == {
        7: [
            StoredGrant(CLIENT, 3, Allocation(40, 5), 9 * SECOND_US),
            StoredGrant(CLIENT, 4, Allocation(20, 5), 10 * SECOND_US),
        ]
    }


def test_superseded_and_expired_grants_are_deleted(tmp_path: Path) -> None:
    store, _ = open_store(tmp_path / "k")
    store.write(SECOND_US, [RECORD, GrantRecord(7, OTHER, 1, Allocation(9), 2 * SECOND_US, 0)])
    store.write(2 * SECOND_US, [GrantRecord(7, CLIENT, 8, Allocation(20), 12 * SECOND_US, 8)])
    store.close()
    _, grants = open_store(tmp_path / "k", 2 * SECOND_US)
    assert grants == {7: [StoredGrant(CLIENT, 8, Allocation(20), 12 * SECOND_US)]}


@pytest.mark.parametrize(
    ("now", "slices", "boot_id"),
    [
        (SECOND_US + STORE_AGE_US_MAX + 1, "7:100:10", "b"),
        (SECOND_US - 1, "7:100:10", "b"),
        (2 * SECOND_US, "7:50:10", "b"),
        (2 * SECOND_US, "7:100:10", "another"),
        (2 * SECOND_US, "7:100:10", ""),
    ],
)
def test_an_old_store_or_one_of_another_boot_or_other_slices_is_not_trusted(
    now: int, slices: str, boot_id: str, tmp_path: Path
) -> None:
    """This happens when a disk is restored from a backup, the machine reboots, or the operator file changes."""
    store, _ = open_store(tmp_path / "k")
    store.write(SECOND_US, [RECORD])
    store.close()
    _, grants = open_store(tmp_path / "k", now, slices, boot_id)
    assert grants is None
    _, reopened_grants = open_store(tmp_path / "k", now, slices, boot_id)
    assert not reopened_grants, "untrusted grants were not deleted"


def test_a_damaged_store_is_renamed_and_one_of_a_later_version_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "k"
    path.write_bytes(os.urandom(8192))
    store, grants = open_store(path)
    assert grants is None and path.with_suffix(".damaged").exists()
    store.close()
    db = sqlite3.connect(path)
    db.execute("UPDATE meta SET value = ? WHERE name = 'version'", (str(VERSION + 1),))
    db.commit()
    db.close()
    with pytest.raises(IncompatibleStore, match="unsupported version 2, expected 1"):
        open_store(path)


def test_a_full_disk_is_an_error_and_nothing_is_half_written(tmp_path: Path) -> None:
    store, _ = open_store(tmp_path / "k")
    store.write(SECOND_US, [RECORD])
    assert store._db is not None
    store._db.execute("PRAGMA max_page_count=1")
    records = [
        GrantRecord(7, ClientId(ident, 1), 1, Allocation(1), 9 * SECOND_US, 0) for ident in range(5000)
    ]
    with pytest.raises(OSError, match="full"):
        store.write(SECOND_US, records)
    store.close()
    _, grants = open_store(tmp_path / "k", SECOND_US)
    assert grants == {7: [StoredGrant(CLIENT, 3, Allocation(40, 5), 9 * SECOND_US)]}


# -- Kills -------------------------------------------------------------------------------------------

KILL_QUOTA = Quota("b", limit=100, burst=20, members=10, lease_servers=("k",), lease_us=60 * SECOND_US)
KILL_SLICE = KILL_QUOTA.slice_of("k")
KILL_QUOTA_ID = 1
SENT = struct.Struct("!QQQ")  # a sent grant: ident, number, amount


def fork_child(function: Callable[[int], None]) -> tuple[int, int]:
    """Run the function in a child process with the write end of a pipe; returns the child's pid and the read end."""
    read_fd, write_fd = os.pipe()
    pid = os.fork()
    if pid == 0:  # pragma: no cover - killed
        os.close(read_fd)
        try:
            function(write_fd)
        finally:
            os._exit(0)
    os.close(write_fd)
    return pid, read_fd


def grant_until_killed(path: Path, write_fd: int) -> None:
    """Grant to five clients in turn until killed; each grant is stored before it is sent to the pipe."""
    store = Store(path, "s", "b")
    grants = (store.open(SECOND_US) or {}).get(KILL_QUOTA_ID, [])
    server = LeaseServer(KILL_QUOTA, KILL_SLICE, SECOND_US, grants)
    held = {grant.client: grant.number for grant in stored_grants(server)}
    number = max(held.values(), default=0)
    while True:
        number += 1
        client = ClientId(number % 5, 1)
        request = LeaseRequest(number, held.get(client, 0), NO_ALLOCATION, 1000 * (number % 37 + 1))
        grant = server.handle_request(SECOND_US, client, request)
        if grant is None or not grant.allocation:
            continue
        record = GrantRecord(
            KILL_QUOTA_ID, client, number, grant.allocation, 999 * SECOND_US, request.held_number
        )
        store.write(SECOND_US, [record])
        os.write(write_fd, SENT.pack(client.ident, number, grant.allocation.amount))
        held[client] = number


def read_until_grants(read_fd: int, count: int) -> bytes:
    """Read from a child until this many grants have been received or the pipe is closed."""
    data = b""
    while len(data) < count * SENT.size and (chunk := os.read(read_fd, 65536)):
        data += chunk
    return data


def read_to_end(read_fd: int, data: bytes) -> list[tuple[int, int, int]]:
    """Read the rest of a child's grants; `data` are the bytes received before."""
    while chunk := os.read(read_fd, 65536):
        data += chunk
    os.close(read_fd)
    return [SENT.unpack_from(data, offset) for offset in range(0, len(data) - SENT.size + 1, SENT.size)]


def test_every_grant_sent_before_a_kill_is_in_the_store(tmp_path: Path) -> None:
    """Kills a lease server repeatedly at random times.  A grant sent but not stored would be granted twice after a
    restart.

    Every fourth process is killed at any time after its start, the others only after their second grant: on a busy
    machine a process might otherwise be killed before its first grant.
    """
    generator = random.Random(1)
    path = tmp_path / "k"
    total_sent = 0
    for iteration in range(KILLS):
        pid, read_fd = fork_child(lambda write_fd: grant_until_killed(path, write_fd))
        first_bytes = read_until_grants(read_fd, 2 if iteration % 4 else 0)
        time.sleep(generator.uniform(0.005, 0.03))
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
        sent = read_to_end(read_fd, first_bytes)
        total_sent += len(sent)
        store, stored = open_store(path, SECOND_US, "s")
        if stored is None:  # killed before the store was opened
            store.close()
            assert not sent
            continue
        grants = stored.get(KILL_QUOTA_ID, [])
        amounts = {(grant.client.ident, grant.number): grant.allocation.amount for grant in grants}
        # A later grant supersedes earlier ones.
        latest = {ident: (number, amount) for ident, number, amount in sent}
        for ident, (number, amount) in latest.items():
            assert amounts.get((ident, number)) == amount
        LeaseServer(KILL_QUOTA, KILL_SLICE, SECOND_US, grants).check_invariants()
        store.close()
    assert total_sent > KILLS
