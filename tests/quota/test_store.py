"""A lease server's store: what was sent is in it, whatever is killed when, and what can't be trusted is not used."""

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

S = 1_000_000
KILLS = int(os.environ.get("BUDGET_KILLS", "60"))
CLIENT, OTHER = ClientId(1, 2), ClientId(5, 5)
RECORD = GrantRecord(7, CLIENT, 3, Allocation(40, 5), 9 * S, 0)


def open_store(
    path: Path, now: int = 0, slices: str = "7:100:10", boot_id: str = "b"
) -> tuple[Store, StoredGrants | None]:
    store = Store(path, slices, boot_id)
    return store, store.open(now)


def test_a_process_that_starts_soon_after_knows_all_unexpired_grants(tmp_path: Path) -> None:
    store, grants = open_store(tmp_path / "k")
    assert grants is None
    later = GrantRecord(7, CLIENT, 4, Allocation(20, 5), 10 * S, 0)
    expired = GrantRecord(8, CLIENT, 1, Allocation(1), 2 * S, 0)
    store.write(S, [RECORD, later, expired])
    store.close()
    _, grants = open_store(tmp_path / "k", 2 * S)
    assert grants == {
        7: [
            StoredGrant(CLIENT, 3, Allocation(40, 5), 9 * S),
            StoredGrant(CLIENT, 4, Allocation(20, 5), 10 * S),
        ]
    }


def test_superseded_and_expired_grants_are_deleted(tmp_path: Path) -> None:
    store, _ = open_store(tmp_path / "k")
    store.write(S, [RECORD, GrantRecord(7, OTHER, 1, Allocation(9), 2 * S, 0)])
    store.write(2 * S, [GrantRecord(7, CLIENT, 8, Allocation(20), 12 * S, 8)])
    store.close()
    _, grants = open_store(tmp_path / "k", 2 * S)
    assert grants == {7: [StoredGrant(CLIENT, 8, Allocation(20), 12 * S)]}


@pytest.mark.parametrize(
    ("now", "slices", "boot_id"),
    [
        (S + STORE_AGE_US_MAX + 1, "7:100:10", "b"),
        (S - 1, "7:100:10", "b"),
        (2 * S, "7:50:10", "b"),
        (2 * S, "7:100:10", "another"),
        (2 * S, "7:100:10", ""),
    ],
)
def test_an_old_store_or_one_of_another_boot_or_other_slices_is_not_trusted(
    now: int, slices: str, boot_id: str, tmp_path: Path
) -> None:
    """A disk is restored from a backup, the machine restarts, or the operator file changes."""
    store, _ = open_store(tmp_path / "k")
    store.write(S, [RECORD])
    store.close()
    _, grants = open_store(tmp_path / "k", now, slices, boot_id)
    assert grants is None
    _, again = open_store(tmp_path / "k", now, slices, boot_id)
    assert not again, "grants that were not trusted are deleted"


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
    store.write(S, [RECORD])
    assert store._db is not None
    store._db.execute("PRAGMA max_page_count=1")
    many = [GrantRecord(7, ClientId(ident, 1), 1, Allocation(1), 9 * S, 0) for ident in range(5000)]
    with pytest.raises(OSError, match="full"):
        store.write(S, many)
    store.close()
    _, grants = open_store(tmp_path / "k", S)
    assert grants == {7: [StoredGrant(CLIENT, 3, Allocation(40, 5), 9 * S)]}


# -- Kills -------------------------------------------------------------------------------------------

KILL_QUOTA = Quota("b", limit=100, burst=20, members=10, lease_servers=("k",), lease_us=60 * S)
KILL_SLICE = KILL_QUOTA.slice_of("k")
KILL_QUOTA_ID = 1
SENT = struct.Struct("!QQQ")  # a grant that was sent: ident, number, amount


def fork_child(function: Callable[[int], None]) -> tuple[int, int]:
    """Run it in a child process, with a pipe to write to: the child's id, and where to read."""
    reads, writes = os.pipe()
    pid = os.fork()
    if pid == 0:  # pragma: no cover - killed
        os.close(reads)
        try:
            function(writes)
        finally:
            os._exit(0)
    os.close(writes)
    return pid, reads


def grant_without_end(path: Path, sent_to: int) -> None:
    """Grant to five clients in turn, each grant first stored and then sent."""
    store = Store(path, "s", "b")
    grants = (store.open(S) or {}).get(KILL_QUOTA_ID, [])
    server = LeaseServer(KILL_QUOTA, KILL_SLICE, S, grants)
    held = {grant.client: grant.number for grant in stored_grants(server)}
    number = max(held.values(), default=0)
    while True:
        number += 1
        client = ClientId(number % 5, 1)
        request = LeaseRequest(number, held.get(client, 0), NO_ALLOCATION, 1000 * (number % 37 + 1))
        grant = server.handle_request(S, client, request)
        if grant is None or not grant.allocation:
            continue
        record = GrantRecord(KILL_QUOTA_ID, client, number, grant.allocation, 999 * S, request.held_number)
        store.write(S, [record])
        os.write(sent_to, SENT.pack(client.ident, number, grant.allocation.amount))
        held[client] = number


def read_grants(reads: int, count: int) -> bytes:
    """The first bytes that a child sent: of so many grants at least, unless it ends before."""
    data = b""
    while len(data) < count * SENT.size and (more := os.read(reads, 65536)):
        data += more
    return data


def read_to_end(reads: int, data: bytes) -> list[tuple[int, int, int]]:
    """The grants that a child sent, `data` first."""
    while more := os.read(reads, 65536):
        data += more
    os.close(reads)
    return [SENT.unpack_from(data, at) for at in range(0, len(data) - SENT.size + 1, SENT.size)]


def test_whenever_a_lease_server_is_killed_every_grant_it_sent_is_in_its_store(tmp_path: Path) -> None:
    """A lease server is killed at a random time, again and again; a grant that was sent but not stored would be
    granted a second time after the restart.

    One process of four is killed at any time after its start, the others at any time after their second grant: on a
    busy machine a process might otherwise never get as far as to grant anything.
    """
    chance = random.Random(1)
    path = tmp_path / "k"
    sent_in_all = 0
    for round_ in range(KILLS):
        pid, reads = fork_child(lambda sent_to: grant_without_end(path, sent_to))
        first = read_grants(reads, 2 if round_ % 4 else 0)
        time.sleep(chance.uniform(0.005, 0.03))
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
        sent = read_to_end(reads, first)
        sent_in_all += len(sent)
        store, stored = open_store(path, S, "s")
        if stored is None:  # killed before it had opened the store
            store.close()
            assert not sent
            continue
        grants = stored.get(KILL_QUOTA_ID, [])
        amounts = {(grant.client.ident, grant.number): grant.allocation.amount for grant in grants}
        latest = {ident: (number, amount) for ident, number, amount in sent}  # it supersedes earlier ones
        for ident, (number, amount) in latest.items():
            assert amounts.get((ident, number)) == amount
        LeaseServer(KILL_QUOTA, KILL_SLICE, S, grants).check_invariants()
        store.close()
    assert sent_in_all > KILLS
