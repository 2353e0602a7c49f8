"""Parses the JSON lines of ledgers (`ledger.py`) into typed records; no I/O.

Times are microseconds of the machine's monotonic clock.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from topazbank.quota.ledger import VERSION
from topazbank.quota.rules import QuotaKind

QUOTED_CHARACTERS_MAX = 80  # of an invalid line, in an error message


class BadLedger(ValueError):
    """A ledger line that is invalid or of an unsupported version, or that marks the ledger as incomplete."""


class ProcessId(NamedTuple):
    """Identifies a process by its member's name and its generation."""

    member: str
    generation: int


class HeldLease(NamedTuple):
    """A lease that a process held from one lease server."""

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
    """A process started to use a quota with this definition."""

    kind: QuotaKind
    limit: int  # milliunits per second, or units
    burst: int
    floor: int
    members: int


@dataclass(frozen=True, slots=True)
class UsageRecord(LedgerRecord):
    """A process's leases by lease server, and its counts of acquired and rejected units since its start."""

    leases: Mapping[str, HeldLease]
    acquired: int
    rejected: int


def read_ledgers(lines: Iterable[str]) -> list[LedgerRecord]:
    """Parse the lines of all ledgers into records sorted by time; an incomplete last line is skipped.

    Raises BadLedger.
    """
    records = []
    for line in lines:
        if not line.endswith("\n"):
            continue  # the process was killed while writing it
        try:
            record = _parse(json.loads(line), line)
        except BadLedger:
            raise
        except (ValueError, KeyError, TypeError, IndexError):
            raise BadLedger(f"invalid ledger line: {line[:QUOTED_CHARACTERS_MAX]!r}") from None
        if record is not None:
            records.append(record)
    return sorted(records, key=lambda record: record.at)


def _parse(values: Mapping[str, Any], line: str) -> LedgerRecord | None:
    """The record of a line's values, or None if the line belongs to no quota."""
    if values["what"] == "full" or values.get("v", VERSION) > VERSION:
        quoted = line[:QUOTED_CHARACTERS_MAX]
        raise BadLedger(f"ledger of {values['by']} is incomplete or has an unsupported version: {quoted!r}")
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
        leases = {server: HeldLease(lease[0], lease[2]) for server, lease in values["parts"].items()}
        return UsageRecord(at, quota, process, leases, values["spent"], values["refused"])
    return LedgerRecord(at, quota, process)
