"""Compatibility with files of an earlier version: they can be read, and new files have the same format.

Stores, ledgers and lock files outlive an upgrade, and during an upgrade processes of both versions run concurrently.
The contents below were written by the earlier version.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from topazbank.quota.audit import audit
from topazbank.quota.lease import ClientId, LeaseGrant
from topazbank.quota.lease_client import LeaseClient
from topazbank.quota.lease_server import LeaseServer, StoredGrant
from topazbank.quota.ledger import Ledger
from topazbank.quota.ledger_records import read_ledgers
from topazbank.quota.rules import Allocation, Quota
from topazbank.quota.store import GrantRecord, Store, slices_key

FORMER_STORE = """
BEGIN TRANSACTION;
CREATE TABLE answers (
    budget INTEGER, ident INTEGER, life INTEGER, number INTEGER, amount INTEGER, burst INTEGER, until INTEGER,
    PRIMARY KEY (budget, ident, life, number)
) WITHOUT ROWID;
INSERT INTO "answers" VALUES(7,1,2,3,40,5,9000000);
INSERT INTO "answers" VALUES(8,1,2,1,1,0,9500000);
CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
INSERT INTO "meta" VALUES('at','1500000');
INSERT INTO "meta" VALUES('boot','boot');
INSERT INTO "meta" VALUES('slices','3:1:0,7:100:10');
INSERT INTO "meta" VALUES('version','1');
COMMIT;
"""
FORMER_LEDGER = """\
{"by":"a/b","life":77,"v":1,"at":1000,"what":"begins","budget":"repeats","floor":500,"whole":40000,"burst":24,\
"kind":"rate","members":6}
{"by":"a/b","life":77,"at":2000,"what":"holds","budget":"repeats","parts":{},"spent":0,"refused":0}
{"by":"a/b","life":77,"at":2100000,"what":"holds","budget":"repeats","parts":{"0":[9000,4,5003000]},\
"spent":1,"refused":1}
{"by":"a/b","life":77,"at":2100000,"what":"keeps","budget":"repeats","slice":[18500,9],"given":[9000,4]}
"""
CLIENT = ClientId(1, 2)
SLICES = slices_key({7: Allocation(100, 10), 3: Allocation(1)})
GRANTS = [
    GrantRecord(7, CLIENT, 3, Allocation(40, 5), 9_000_000, 0),
    GrantRecord(8, CLIENT, 1, Allocation(1), 9_500_000, 0),
]


def dump_sql(path: Path) -> list[str]:
    """The schema and rows of a database as sorted SQL statements."""
    db = sqlite3.connect(path)
    try:
        return sorted(" ".join(statement.split()) for statement in db.iterdump())
    finally:
        db.close()


def test_a_store_of_the_former_version_is_trusted_and_its_grants_are_read(tmp_path: Path) -> None:
    path = tmp_path / "topazbank-keeps-0.sqlite"
    db = sqlite3.connect(path)
    db.executescript(FORMER_STORE)
    db.close()
    store = Store(path, SLICES, "boot")
    assert store.open(2_000_000) == {
        7: [StoredGrant(CLIENT, 3, Allocation(40, 5), 9_000_000)],
        8: [StoredGrant(CLIENT, 1, Allocation(1), 9_500_000)],
    }
    store.close()


def test_a_store_is_written_as_the_former_version_wrote_it(tmp_path: Path) -> None:
    store = Store(tmp_path / "new", SLICES, "boot")
    store.open(1_000_000)
    store.write(1_500_000, GRANTS)
    store.close()
    former = sqlite3.connect(tmp_path / "former")
    former.executescript(FORMER_STORE)
    former.close()
    assert dump_sql(tmp_path / "new") == dump_sql(tmp_path / "former")


def test_a_ledger_of_the_former_version_is_audited() -> None:
    result = audit(read_ledgers(FORMER_LEDGER.splitlines(keepends=True)))["repeats"]
    assert (result.limit, result.burst, result.floor, result.shared) == (40_000, 24, 500, 37_000)
    assert result.processes == {("a/b", 77)}
    assert (result.held_max, result.acquired, result.rejected) == (9000, 1, 1)
    assert result.held_samples == [(2000, 0), (2_100_000, 9000)]
    assert not result.violations


def test_a_ledger_is_written_as_the_former_version_wrote_it(tmp_path: Path) -> None:
    quota = Quota("repeats", limit=40, burst=24, floor=500, members=6, lease_servers=("0", "1"))
    client = LeaseClient(quota, "a/b", 1000)
    server = LeaseServer(quota, quota.slice_of("0"), 0, [])
    ledger = Ledger(str(tmp_path), "a/b", 77)
    ledger.record_start(1000, quota)
    ledger.record_client(2000, client)
    request = client.leases["0"].request(3000, 9000)
    grant = server.handle_request(3000, ClientId(1, 77), request)
    assert grant == LeaseGrant(1, Allocation(9000, 4), 5_000_000)
    client.accept(4000, "0", grant)
    client.limiter.acquire(5000)
    client.limiter.acquire(2_000_000)
    ledger.record_client(2_100_000, client)
    ledger.record_server(2_100_000, server)
    ledger.close()
    (path,) = tmp_path.glob("budgets-a_b-77-*.jsonl")
    assert path.read_text(encoding="utf-8") == FORMER_LEDGER
