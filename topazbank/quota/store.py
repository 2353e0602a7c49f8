"""A keeper's answers on an embedded store (SQLite), so that a restart needs no silence where a disk lasts.

Promise: an answer that has left was on the disk before, so a store that is trusted knows of every answer that may still
be spent by.  It is trusted by a process of the same boot of the machine, with the same slices, no later than FRESH_US
after its last mark, which a keeper renews a few times a second.  Any other, an older disk put back among them, is none:
the keeper is quiet for a lease.  Left open: a disk put back by one that is younger than that.

Synchronous, for a thread of its own: nothing here may run in the event loop.
"""

from __future__ import annotations

import contextlib
import logging
import sqlite3
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from topazbank.quota.lease_server import Who
from topazbank.quota.rules import Part

log = logging.getLogger(__name__)

VERSION = 1
FRESH_US = 3_000_000  # a restart takes one second; what is older is not believed
MARK_S = 0.5  # between two marks that a keeper is there
WAIT_S = 1.0  # that a write may wait for the file
_SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS answers (
    budget INTEGER, ident INTEGER, life INTEGER, number INTEGER, amount INTEGER, burst INTEGER, until INTEGER,
    PRIMARY KEY (budget, ident, life, number)
) WITHOUT ROWID;
"""
Remembered = list[tuple[Who, int, Part, int]]


class BadStore(Exception):
    """A file that is none of these, or of a later version; the text says which."""


@dataclass(frozen=True, slots=True)
class Row:
    """An answer that is to be on the disk before it leaves; `held`: earlier ones of that life are over."""

    budget: int
    who: Who
    number: int
    part: Part
    until: int
    held: int


@dataclass(frozen=True, slots=True)
class Mark:
    """What a store says of itself."""

    version: int
    boot: str  # the machine's boot: its monotonic clock counts from there
    slices: str  # what was kept: of other slices nothing is known
    at: int  # of the last write, by the monotonic clock

    def is_trusted(self, now: int, boot: str, slices: str) -> bool:
        """Whether every answer that may still be spent by is in it."""
        same = self.version == VERSION and self.boot == boot and self.slices == slices
        return same and 0 <= now - self.at <= FRESH_US


def boot_of_machine() -> str:
    """Which boot of the machine this is; "" where it can't be told, which no store is trusted by."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text(encoding="ascii").strip()
    except OSError:
        return ""


class Store:
    """The file of one keeper."""

    def __init__(self, path: Path, slices: str, boot: str | None = None) -> None:
        self._path = path
        self._slices = slices
        self._boot = boot_of_machine() if boot is None else boot
        self._db: sqlite3.Connection | None = None

    def open(self, now: int) -> dict[int, Remembered] | None:
        """Begin, and give what is remembered by budget; None: nothing that can be trusted.

        A damaged file is put aside; raise OSError or BadStore where there is no beginning.
        """
        try:
            return self._open(now)
        except sqlite3.DatabaseError as fault:
            self.close()
            if isinstance(fault, sqlite3.OperationalError):  # the disk's: full, read-only, locked
                raise OSError(f"{self._path}: {fault}") from None
            aside = self._path.with_suffix(".damaged")
            log.warning("budgets: %s is damaged (%s) and is put aside as %s", self._path, fault, aside)
            for suffix in ("", "-wal", "-shm"):
                with contextlib.suppress(FileNotFoundError):
                    Path(f"{self._path}{suffix}").replace(f"{aside}{suffix}")
            return self._open(now)

    def _open(self, now: int) -> dict[int, Remembered] | None:
        self._db = db = sqlite3.connect(
            self._path, timeout=WAIT_S, check_same_thread=False, isolation_level=None
        )
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")  # a commit survives the loss of power
        db.executescript(_SCHEMA)
        mark = self._read_mark()
        if mark is not None and mark.version > VERSION:
            raise BadStore(f"{self._path}: of version {mark.version}, not {VERSION}")
        known: dict[int, Remembered] | None = None
        if mark is not None and self._boot and mark.is_trusted(now, self._boot, self._slices):
            known = {}
            rows = db.execute(
                "SELECT budget, ident, life, number, amount, burst, until FROM answers WHERE until > ?",
                (now,),
            )
            for budget, ident, life, number, amount, burst, until in rows:
                known.setdefault(budget, []).append(((ident, life), number, Part(amount, burst), until))
        with self._transaction():
            if known is None:
                db.execute("DELETE FROM answers")
            self._write_mark(now)
        return known

    def _read_mark(self) -> Mark | None:
        assert self._db is not None
        told = dict(self._db.execute("SELECT name, value FROM meta"))
        try:
            return Mark(int(told["version"]), told["boot"], told["slices"], int(told["at"]))
        except (KeyError, ValueError):
            return None

    def _write_mark(self, now: int) -> None:
        assert self._db is not None
        told = {"version": str(VERSION), "boot": self._boot, "slices": self._slices, "at": str(now)}
        self._db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", told.items())

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

    def write(self, now: int, rows: Iterable[Row]) -> None:
        """Have these on the disk when it returns, and the mark; raise OSError where that did not come about."""
        assert self._db is not None
        try:
            with self._transaction():
                for each in rows:
                    who = (each.budget, *each.who)
                    self._db.execute(
                        "DELETE FROM answers WHERE budget=? AND ident=? AND life=? AND number<?",
                        (*who, each.held),
                    )
                    self._db.execute(
                        "INSERT OR REPLACE INTO answers VALUES (?, ?, ?, ?, ?, ?, ?)",
                        (*who, each.number, *each.part, each.until),
                    )
                self._db.execute("DELETE FROM answers WHERE until <= ?", (now,))
                self._write_mark(now)
        except sqlite3.Error as fault:
            raise OSError(f"{self._path}: {fault}") from None

    def close(self) -> None:
        if self._db is not None:
            self._db.close()
            self._db = None


def slices_of(slices: Mapping[int, Part]) -> str:
    """The slices that are kept, as a text to compare."""
    return ",".join(f"{budget}:{part.amount}:{part.burst}" for budget, part in sorted(slices.items()))
