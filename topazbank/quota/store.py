"""Stores a lease server's outstanding grants in an SQLite file, so that a quick restart needs no grace period.

Guarantee: a grant is on disk before it is sent, so a trusted store contains every grant that may still be in use.  A
process trusts a store if it was written during the same boot of the machine, with the same slices, and its last
heartbeat is no older than STORE_AGE_US_MAX.  Any other store, such as one restored from a backup, is ignored, and the
lease server starts with a grace period.  Not covered: a disk restored to a state younger than STORE_AGE_US_MAX.

Times are microseconds of the machine's monotonic clock.  All calls block: they run on a thread, never in the event
loop.  The names of tables, columns and header entries belong to the file format, version 1.
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
LOCK_TIMEOUT_S = 1.0  # SQLite's busy timeout
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
    """The file's format version is newer than this program supports."""


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """A grant to be stored before it is sent."""

    quota_id: int
    client: ClientId
    number: int
    allocation: Allocation
    expires_at: int
    held_number: int  # the client's grants with lower numbers are superseded


@dataclass(frozen=True, slots=True)
class StoreHeader:
    """The metadata that decides whether a store is trusted."""

    version: int
    boot_id: str  # monotonic times are comparable only within one boot
    slices: str  # result of `slices_key`
    heartbeat_at: int

    def is_trusted(self, now: int, boot_id: str, slices: str) -> bool:
        """Whether the store contains every grant that may still be in use."""
        is_compatible = self.version == VERSION and self.boot_id == boot_id and self.slices == slices
        return is_compatible and 0 <= now - self.heartbeat_at <= STORE_AGE_US_MAX


def machine_boot_id() -> str:
    """The id of the machine's current boot; "" if it can't be read, in which case no store is trusted."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text(encoding="ascii").strip()
    except OSError:
        return ""


def slices_key(slices: Mapping[int, Allocation]) -> str:
    """A text that identifies these slices, given by quota id."""
    return ",".join(
        f"{quota_id}:{slice_.amount}:{slice_.burst}" for quota_id, slice_ in sorted(slices.items())
    )


class Store:
    """The SQLite file of one member's lease servers."""

    def __init__(self, path: Path, slices: str, boot_id: str | None = None) -> None:
        """`slices`: result of `slices_key`; `boot_id`: None for the machine's current one."""
        self._path = path
        self._slices = slices
        self._boot_id = machine_boot_id() if boot_id is None else boot_id
        self._db: sqlite3.Connection | None = None

    def open(self, now: int) -> StoredGrants | None:
        """Open the file and return its unexpired grants, or None if the file is new or not trusted.

        A damaged file is renamed and replaced by a new one.  Raises OSError if the file can't be opened or written,
        which may be temporary, and IncompatibleStore if its version is not supported.
        """
        try:
            return self._open(now)
        except sqlite3.OperationalError as error:  # the disk is full or read-only, or the file is locked
            self.close()
            raise OSError(f"{self._path}: {error}") from None
        except sqlite3.DatabaseError as error:
            self.close()
            self._rename_damaged_file(error)
            return self._open(now)

    def _rename_damaged_file(self, error: sqlite3.DatabaseError) -> None:
        """Rename a damaged file and its write-ahead log, so that they can be inspected."""
        damaged = self._path.with_suffix(".damaged")
        log.warning("quota: store %s is damaged (%s), renamed to %s", self._path, error, damaged)
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
            raise IncompatibleStore(f"{self._path}: unsupported version {header.version}, expected {VERSION}")
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
        """Write grants and a heartbeat durably in one transaction; raises OSError if nothing was written."""
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
        """Close the file; it can be opened again."""
        if self._db is not None:
            self._db.close()
            self._db = None
