"""A lease server's outstanding grants in an SQLite file, so that a quick restart needs no grace period.

Guarantee: a grant is on the disk before it is sent, so a store that is trusted contains every grant that may still be
used.  It is trusted by a process of the same boot of the machine, with the same slices, no later than STORE_AGE_US_MAX
after its last heartbeat.  Any other store, such as an older disk that was restored, counts as none: the lease server
begins with a grace period.  Not covered: a disk restored to a state younger than STORE_AGE_US_MAX.

Times are microseconds of the machine's monotonic clock.  Synchronous: runs in a thread, never in the event loop.  The
names of the tables, columns and header entries are those of the file format, version 1.
"""

from __future__ import annotations

import contextlib
import logging
import sqlite3
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from topazbank.quota.lease import ClientId
from topazbank.quota.lease_server import StoredGrant
from topazbank.quota.rules import Allocation

log = logging.getLogger(__name__)

VERSION = 1
STORE_AGE_US_MAX = 3_000_000  # a restart takes one second
HEARTBEAT_PERIOD_S = 0.5
LOCK_TIMEOUT_S = 1.0  # how long a write waits for the file's lock
_SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS answers (
    budget INTEGER, ident INTEGER, life INTEGER, number INTEGER, amount INTEGER, burst INTEGER, until INTEGER,
    PRIMARY KEY (budget, ident, life, number)
) WITHOUT ROWID;
"""
_SELECT_VALID = "SELECT budget, ident, life, number, amount, burst, until FROM answers WHERE until > ?"
_DELETE_SUPERSEDED = "DELETE FROM answers WHERE budget=? AND ident=? AND life=? AND number<?"
_DELETE_EXPIRED = "DELETE FROM answers WHERE until <= ?"
_INSERT = "INSERT OR REPLACE INTO answers VALUES (?, ?, ?, ?, ?, ?, ?)"
_INSERT_HEADER = "INSERT OR REPLACE INTO meta VALUES (?, ?)"

StoredGrants = dict[int, list[StoredGrant]]  # by quota id


class IncompatibleStore(Exception):
    """The file has a later version than this program reads."""


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """A grant that must be on the disk before it is sent."""

    quota_id: int
    client: ClientId
    number: int
    allocation: Allocation
    expires_at: int
    held_number: int  # earlier grants of this client are superseded


@dataclass(frozen=True, slots=True)
class StoreHeader:
    """What a store says about itself."""

    version: int
    boot_id: str  # the monotonic clock counts from this boot of the machine
    slices: str  # by `slices_key`
    heartbeat_at: int

    def is_trusted(self, now: int, boot_id: str, slices: str) -> bool:
        """Whether the store contains every grant that may still be used."""
        same = self.version == VERSION and self.boot_id == boot_id and self.slices == slices
        return same and 0 <= now - self.heartbeat_at <= STORE_AGE_US_MAX


def machine_boot_id() -> str:
    """The id of the machine's current boot; "" if it can't be read, and then no store is trusted."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text(encoding="ascii").strip()
    except OSError:
        return ""


def slices_key(slices: Mapping[int, Allocation]) -> str:
    """A text that is equal for equal slices, by quota id."""
    return ",".join(f"{quota_id}:{each.amount}:{each.burst}" for quota_id, each in sorted(slices.items()))


class Store:
    """The file of one lease server."""

    def __init__(self, path: Path, slices: str, boot_id: str | None = None) -> None:
        """`slices`: by `slices_key`; `boot_id`: the machine's if None."""
        self._path = path
        self._slices = slices
        self._boot_id = machine_boot_id() if boot_id is None else boot_id
        self._db: sqlite3.Connection | None = None

    def open(self, now: int) -> StoredGrants | None:
        """Open the file and read its unexpired grants; None if it is new or not trusted.

        A damaged file is renamed and a new one made.  Raises OSError if the file can't be opened or written for now,
        IncompatibleStore if it never can be.
        """
        try:
            return self._open(now)
        except sqlite3.OperationalError as error:  # the disk's: full, read-only, locked
            self.close()
            raise OSError(f"{self._path}: {error}") from None
        except sqlite3.DatabaseError as error:
            self.close()
            self._set_aside(error)
            return self._open(now)

    def _set_aside(self, error: sqlite3.DatabaseError) -> None:
        """Rename a damaged file and its journal, so that they can be looked at."""
        damaged = self._path.with_suffix(".damaged")
        log.warning("quota: %s is damaged (%s), renamed to %s", self._path, error, damaged)
        for suffix in ("", "-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                Path(f"{self._path}{suffix}").replace(f"{damaged}{suffix}")

    def _open(self, now: int) -> StoredGrants | None:
        self._db = db = sqlite3.connect(
            self._path, timeout=LOCK_TIMEOUT_S, check_same_thread=False, isolation_level=None
        )
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")  # a commit survives a power failure
        db.executescript(_SCHEMA)
        header = self._read_header()
        if header is not None and header.version > VERSION:
            raise IncompatibleStore(f"{self._path}: of version {header.version}, not {VERSION}")
        grants: StoredGrants | None = None
        if header is not None and self._boot_id and header.is_trusted(now, self._boot_id, self._slices):
            grants = self._read_grants(now)
        with self._transaction():
            if grants is None:
                db.execute("DELETE FROM answers")
            self._write_header(now)
        return grants

    def _read_grants(self, now: int) -> StoredGrants:
        assert self._db is not None
        grants: StoredGrants = {}
        rows = self._db.execute(_SELECT_VALID, (now,))
        for quota_id, ident, generation, number, amount, burst, expires_at in rows:
            client = ClientId(ident, generation)
            grant = StoredGrant(client, number, Allocation(amount, burst), expires_at)
            grants.setdefault(quota_id, []).append(grant)
        return grants

    def _read_header(self) -> StoreHeader | None:
        assert self._db is not None
        values = dict(self._db.execute("SELECT name, value FROM meta"))
        try:
            return StoreHeader(int(values["version"]), values["boot"], values["slices"], int(values["at"]))
        except (KeyError, ValueError):
            return None

    def _write_header(self, now: int) -> None:
        assert self._db is not None
        values = {"version": str(VERSION), "boot": self._boot_id, "slices": self._slices, "at": str(now)}
        self._db.executemany(_INSERT_HEADER, values.items())

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        assert self._db is not None
        self._db.execute("BEGIN IMMEDIATE")
        try:
            yield
            self._db.execute("COMMIT")
        except BaseException:
            with contextlib.suppress(sqlite3.Error):
                self._db.execute("ROLLBACK")
            raise

    def write(self, now: int, records: Iterable[GrantRecord]) -> None:
        """Write grants and a heartbeat, synced when it returns; raises OSError if none of it was written."""
        assert self._db is not None
        try:
            with self._transaction():
                for record in records:
                    self._write_record(record)
                self._db.execute(_DELETE_EXPIRED, (now,))
                self._write_header(now)
        except sqlite3.Error as error:
            raise OSError(f"{self._path}: {error}") from None

    def _write_record(self, record: GrantRecord) -> None:
        assert self._db is not None
        key = (record.quota_id, *record.client)
        self._db.execute(_DELETE_SUPERSEDED, (*key, record.held_number))
        self._db.execute(_INSERT, (*key, record.number, *record.allocation, record.expires_at))

    def close(self) -> None:
        """Close the file; `open` may follow."""
        if self._db is not None:
            self._db.close()
            self._db = None
