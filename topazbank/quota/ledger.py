"""What one process held and kept of each budget, and spent, as lines of JSON: what `audit` adds up.

Times are the machine's monotonic clock, which all its processes share.  A line is written where something changed, at
most LINES_MOST a second; a file ends at BYTES_MOST, and says so by its last line.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from topazbank.quota.lease_client import Holder
from topazbank.quota.lease_server import Keeper
from topazbank.quota.rules import Quota

BYTES_MOST = 64 * 1024 * 1024
VERSION = 1


class Ledger:
    """One process's file."""

    def __init__(self, folder: str, name: str, life: int) -> None:
        path = Path(folder) / f"budgets-{name.replace('/', '_')}-{life}-{os.getpid()}.jsonl"
        self._file = open(path, "a", encoding="utf-8")
        self._room = BYTES_MOST
        self._last: dict[str, Any] = {}
        self._name, self._life = name, life

    def begins(self, now: int, budget: Quota) -> None:
        """This process may spend its floor from now on."""
        whole = {
            "whole": budget.amount,
            "burst": budget.burst,
            "kind": budget.kind,
            "members": budget.members,
        }
        self._write(
            {"v": VERSION, "at": now, "what": "begins", "budget": budget.name, "floor": budget.floor, **whole}
        )

    def holds(self, now: int, holder: Holder) -> None:
        """What is held by now of each keeper, and what was spent so far."""
        parts = {
            keeper: [*each.holding(now), each.until]
            for keeper, each in holder.leases.items()
            if each.holding(now)
        }
        purse = holder.purse
        self._once(f"h{holder.budget.name}", (parts, purse.spent), {
            "at": now, "what": "holds", "budget": holder.budget.name, "parts": parts,
            "spent": purse.spent, "refused": purse.refused,
        })  # fmt: skip

    def keeps(self, now: int, keeper: Keeper) -> None:
        """What a keeper counts as given."""
        self._once(f"k{keeper.budget.name}", (keeper.counted,), {
            "at": now, "what": "keeps", "budget": keeper.budget.name,
            "slice": list(keeper.slice), "given": list(keeper.counted),
        })  # fmt: skip

    def _once(self, key: str, state: Any, line: dict[str, Any]) -> None:
        if self._last.get(key) != state:
            self._last[key] = state
            self._write(line)

    def _write(self, line: dict[str, Any]) -> None:
        if self._room <= 0:
            return
        text = json.dumps({"by": self._name, "life": self._life} | line, separators=(",", ":")) + "\n"
        self._room -= len(text)
        if self._room <= 0:
            text = json.dumps({"by": self._name, "at": line["at"], "what": "full"}) + "\n"
        self._file.write(text)
        self._file.flush()

    def close(self) -> None:
        self._file.close()
