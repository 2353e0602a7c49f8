"""Writes what one process was allocated, used and granted of each quota, as lines of JSON: the input of `audit`.

Times are microseconds of the machine's monotonic clock, which all its processes share.  A line is written only when
something has changed.  A file ends at FILE_BYTES_MAX, and its last line says so.  The keys and values of the lines are
those of the file format, version 1 (`ledger_records.py` reads them).
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
    """One process's file."""

    def __init__(self, folder: str, name: str, generation: int) -> None:
        """Open the file; raises OSError.  `name`: of this process's member."""
        file_name = f"budgets-{name.replace('/', '_')}-{generation}-{os.getpid()}.jsonl"
        self._file = open(Path(folder) / file_name, "a", encoding="utf-8")
        self._remaining_bytes = FILE_BYTES_MAX
        self._last_states: dict[str, Any] = {}
        self._name = name
        self._generation = generation

    def record_start(self, now: int, quota: Quota) -> None:
        """Record that this process may use its floor from now on."""
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
        """Record what the client holds of each lease server and has used so far, if that has changed."""
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
        # A rejection alone writes no line.
        self._write_if_changed(f"client {client.quota.name}", (held, limiter.acquired), line)

    def record_server(self, now: int, server: LeaseServer) -> None:
        """Record what a lease server counts as granted, if that has changed."""
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
