"""Records one process's allocations, usage and grants of each quota as JSON lines, the input of `audit`.

Times are microseconds of the machine's monotonic clock, which all its processes share.  A line is written only when
the recorded state has changed.  When a file reaches FILE_BYTES_MAX, a last line marks it as full.  The keys and values
of the lines belong to the file format, version 1 (`ledger_records.py` reads them).
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from topazbank.quota.lease_client import LeaseClient
from topazbank.quota.lease_server import LeaseServer
from topazbank.quota.rules import Quota

FILE_BYTES_MAX = 64 * 1024 * 1024
VERSION = 1


class Ledger:
    """The ledger file of one process."""

    def __init__(self, folder: str, name: str, generation: int) -> None:
        """Open the file; raises OSError.  `name`: this process's member name."""
        file_name = f"budgets-{name.replace('/', '_')}-{generation}-{os.getpid()}.jsonl"
        self._file = open(Path(folder) / file_name, "a", encoding="utf-8")
        self._remaining_bytes = FILE_BYTES_MAX
        self._last_states: dict[str, Any] = {}
        self._name = name
        self._generation = generation

    def record_start(self, now: int, quota: Quota) -> None:
        """Record the quota's definition and that this process may use its floor from now on."""
        line = {
            "v": VERSION,
            "at": now,
            "what": "begins",
            "budget": quota.name,
            "floor": quota.floor,
            "whole": quota.amount,
            "burst": quota.burst,
            "kind": quota.kind,
            "members": quota.members,
        }
        self._write(line)

    def record_client(self, now: int, client: LeaseClient) -> None:
        """Record the client's unexpired leases by lease server and its usage since the start, if they have changed."""
        held = {
            server: [*lease.allocation_at(now), lease.expires_at]
            for server, lease in client.leases.items()
            if lease.allocation_at(now)
        }
        limiter = client.limiter
        line = {
            "at": now,
            "what": "holds",
            "budget": client.quota.name,
            "parts": held,
            "spent": limiter.acquired,
            "refused": limiter.rejected,
        }
        # A change of the rejection count alone writes no line.
        self._write_if_changed(f"client {client.quota.name}", (held, limiter.acquired), line)

    def record_server(self, now: int, server: LeaseServer) -> None:
        """Record a lease server's outstanding grants, if they have changed."""
        line = {
            "at": now,
            "what": "keeps",
            "budget": server.quota.name,
            "slice": list(server.slice),
            "given": list(server.outstanding),
        }
        self._write_if_changed(f"server {server.quota.name}", server.outstanding, line)

    def _write_if_changed(self, key: str, state: object, line: dict[str, Any]) -> None:
        if self._last_states.get(key) != state:
            self._last_states[key] = state
            self._write(line)

    def _write(self, line: dict[str, Any]) -> None:
        if self._remaining_bytes <= 0:
            return
        process = {"by": self._name, "life": self._generation}
        text = json.dumps(process | line, separators=(",", ":")) + "\n"
        self._remaining_bytes -= len(text)
        if self._remaining_bytes <= 0:
            text = json.dumps({"by": self._name, "at": line["at"], "what": "full"}) + "\n"
        self._file.write(text)
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
