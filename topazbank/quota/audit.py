"""Whether the parts of a budget ever added up to more than the whole, by the ledgers of all its processes; no I/O.

Two sums are held against the whole.  What was *held*: at each instant the parts of all processes that had not ended by
then.  What was *spent*: in each span between two lines the spending that surely fell into it, so that the rounding of
the ledgers' steps accuses nobody wrongly.
"""

from __future__ import annotations

import heapq
import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from topazbank.quota.ledger import VERSION
from topazbank.quota.rules import RATE, THOUSANDTHS

BREACHES_KEPT = 20
STEP_S = 0.25  # two steps of a ledger, and a little: what is spent in between is noted at their end
Process = tuple[str, int]  # a member's name and its life


class BadLedger(ValueError):
    """A line that is none of a ledger's."""


@dataclass(slots=True)
class Account:
    """What the ledgers say of one budget."""

    kind: str = RATE
    whole: int = 0  # thousandths a second, or units
    burst: int = 0
    floor: int = 0
    shared: int = 0  # of the whole, beside the floors of all who may exist
    processes: set[Process] = field(default_factory=set)
    most_held: int = 0  # of what is shared
    spent: int = 0
    refused: int = 0
    most_spent: float = 0.0  # of the burst: how much the spending ran ahead of the whole's rate at the most
    breaches: list[str] = field(default_factory=list)  # BREACHES_KEPT
    times: list[tuple[int, int]] = field(default_factory=list)  # instants, and what was held of leases


def read(lines: Iterable[str]) -> list[dict[str, Any]]:
    """The lines of all ledgers in the order of time; a last one that was cut is left out."""
    found: list[tuple[int, int, dict[str, Any]]] = []
    for line in lines:
        if not line.endswith("\n"):
            continue
        try:
            record = json.loads(line)
            if record["what"] == "full" or record.get("v", VERSION) > VERSION:
                raise BadLedger(f"of {record['by']} not all is known: {line[:80]!r}")
            found.append((int(record["at"]), len(found), record))
        except BadLedger:
            raise
        except (ValueError, KeyError, TypeError):
            raise BadLedger(f"no line of a ledger: {line[:80]!r}") from None
    return [record for _, _, record in sorted(found, key=lambda each: each[:2])]


def audit(records: Iterable[Mapping[str, Any]]) -> dict[str, Account]:
    """Add all up, by budget."""
    by_budget: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for record in records:
        if "budget" in record:
            by_budget[record["budget"]].append(record)
    return {name: _account(found) for name, found in by_budget.items()}


def _account(records: list[Mapping[str, Any]]) -> Account:
    account = Account()
    for each in records:
        if each["what"] == "begins":
            account.kind, account.floor = each["kind"], each["floor"]
            # Of two versions of the operator file the larger holds: a change passes through no more than that.
            account.whole, account.burst = (
                max(account.whole, each["whole"]),
                max(account.burst, each["burst"]),
            )
            account.shared = max(account.shared, each["whole"] - each["floor"] * each["members"])
            account.processes.add((each["by"], each["life"]))
    _held(account, [each for each in records if each["what"] == "holds"])
    _spent(account, [each for each in records if each["what"] == "holds"])
    return account


def _held(account: Account, lines: list[Mapping[str, Any]]) -> None:
    """Follow what all hold: each line sets its process's parts, and each part ends by itself."""
    parts: dict[tuple[Process, str], tuple[int, int]] = {}  # amount and end
    ends: list[tuple[int, Process, str]] = []
    held = 0
    for each in lines:
        at, process = each["at"], (each["by"], each["life"])
        while ends and ends[0][0] <= at:
            end, whose, keeper = heapq.heappop(ends)
            amount, until = parts.get((whose, keeper), (0, 0))
            if until == end:
                held -= amount
                del parts[whose, keeper]
                account.times.append((end, held))
        now = {keeper: (part[0], part[2]) for keeper, part in each["parts"].items()}
        for keeper in {k for p, k in parts if p == process} | now.keys():
            before, after = parts.pop((process, keeper), (0, 0)), now.get(keeper, (0, 0))
            held += after[0] - before[0]
            if after[0]:
                parts[process, keeper] = after
                heapq.heappush(ends, (after[1], process, keeper))
        account.times.append((at, held))
        if held > account.most_held:
            account.most_held = held
        if held > account.shared:
            shares = ", ".join(f"{p[0]} {a} by {k}" for (p, k), (a, _) in parts.items())
            _breach(account, f"at {at / 1e6:.3f} s {held} were held of {account.shared}: {shares}")


def _spent(account: Account, lines: list[Mapping[str, Any]]) -> None:
    """Hold the spending against a bucket of the burst that the whole's rate fills.

    What a process spent between two of its lines is noted with the second of them, so up to STEP_S late.
    """
    last: dict[Process, int] = {}
    refused: dict[Process, int] = {}
    allowed = account.burst + account.whole * STEP_S / THOUSANDTHS
    level, at = 0.0, 0
    for each in lines:
        process = (each["by"], each["life"])
        spent = each["spent"] - last.get(process, 0)
        last[process], refused[process] = each["spent"], each["refused"]
        if account.kind == RATE:
            level = max(level - account.whole * (each["at"] - at) / 1e6 / THOUSANDTHS, 0.0) if at else 0.0
            level, at = level + spent, each["at"]
            account.most_spent = max(account.most_spent, level)
            if level > allowed:
                _breach(account, f"by {at / 1e6:.3f} s {level:.1f} were spent ahead, {account.burst} allowed")
    account.spent, account.refused = sum(last.values()), sum(refused.values())


def _breach(account: Account, text: str) -> None:
    if len(account.breaches) < BREACHES_KEPT:
        account.breaches.append(text)
