"""Reads ledgers' lines (`ledger.py`) into typed records; no I/O.

Times are microseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from topazbank.quota.ledger import VERSION
from topazbank.quota.rules import QuotaKind

QUOTED_CHARACTERS_MAX = 80  # of a bad line


class BadLedger(ValueError):
    """A line that is not a ledger's, or that says that the ledger is not complete."""


class ProcessId(NamedTuple):
    """A member's name and the generation of its process."""

    member: str
    generation: int


class HeldLease(NamedTuple):
    """What a process held of one lease server, and until when."""

    amount: int
    expires_at: int


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """One line of a ledger."""

    at: int
    quota: str
    process: ProcessId


@dataclass(frozen=True, slots=True)
class StartRecord(LedgerRecord):
    """A process began to use a quota of this definition."""

    kind: QuotaKind
    limit: int  # milliunits a second, or units
    burst: int
    floor: int
    members: int


@dataclass(frozen=True, slots=True)
class UsageRecord(LedgerRecord):
    """What a process held by then, by lease server, and its units since the start."""

    leases: Mapping[str, HeldLease]
    acquired: int
    rejected: int


def read_ledgers(lines: Iterable[str]) -> list[LedgerRecord]:
    """Read the lines of all ledgers, in the order of time; an incomplete last line is left out.

    Raises BadLedger.
    """
    records = []
    for line in lines:
        if not line.endswith("\n"):
            continue  # the process was killed while it wrote
        try:
            record = _parse(json.loads(line), line)
        except BadLedger:
            raise
        except (ValueError, KeyError, TypeError, IndexError):
            raise BadLedger(f"not a ledger's line: {line[:QUOTED_CHARACTERS_MAX]!r}") from None
        if record is not None:
            records.append(record)
    return sorted(records, key=lambda record: record.at)


def _parse(values: Mapping[str, Any], line: str) -> LedgerRecord | None:
    """The record of a line's values; None if it is of no quota."""
    if values["what"] == "full" or values.get("v", VERSION) > VERSION:
        quoted = line[:QUOTED_CHARACTERS_MAX]
        raise BadLedger(f"the ledger of {values['by']} is not complete, or of a later version: {quoted!r}")
    at = int(values["at"])
    if "budget" not in values:
        return None
    quota, process = values["budget"], ProcessId(values["by"], values["life"])
    if values["what"] == "begins":
        return StartRecord(
            at,
            quota,
            process,
            QuotaKind(values["kind"]),
            values["whole"],
            values["burst"],
            values["floor"],
            values["members"],
        )
    if values["what"] == "holds":
        leases = {server: HeldLease(held[0], held[2]) for server, held in values["parts"].items()}
        return UsageRecord(at, quota, process, leases, values["spent"], values["refused"])
    return LedgerRecord(at, quota, process)
