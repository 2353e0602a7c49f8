"""The platform's registry over HTTP: snapshots, polls for changes and watches."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from testbed.wire import Message, Reply, TcpServer, read_http

_CHANGES_MAX = 1000  # retained changes; a client further behind receives a snapshot
_WATCH_MAX_S = 60.0

Entry = dict[str, Any]  # an endpoint in the platform's JSON form


@dataclass(frozen=True, slots=True)
class _Change:
    index: int
    entry: Entry


class Registry(TcpServer):
    """An HTTP registry of entries by name; `put` and `remove` complete all pending watches."""

    def __init__(self) -> None:
        self.index = 0  # of the newest change
        self.entries: dict[str, Entry] = {}
        self.calls = 0
        self._changes: list[_Change] = []
        self._next_change = asyncio.Event()  # replaced with each change

    def put(self, *entries: Entry) -> None:
        """Add or replace entries; each entry is a separate change."""
        for entry in entries:
            self.entries[entry["name"]] = entry
            self._add_change(entry)

    def remove(self, name: str) -> None:
        """Remove an entry if it exists."""
        entry = self.entries.pop(name, None)
        if entry is not None:
            self._add_change(entry | {"status": "left"})

    def _add_change(self, entry: Entry) -> None:
        self.index += 1
        self._changes = [*self._changes, _Change(self.index, entry)][-_CHANGES_MAX:]
        self._next_change.set()
        self._next_change = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Return the complete list, the response to a call without `after`."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_http(reader)
                self.calls += 1
                document = await self._answer(request)
                writer.write(Reply(200, json.dumps(document).encode()).http())
                if request.headers.get("connection") == "close":
                    await writer.drain()
                    break
        writer.close()

    async def _answer(self, request: Message) -> dict[str, Any]:
        query = parse_qs(urlsplit(request.path).query)
        if "after" not in query:
            return self.snapshot()
        after, wait_s = int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        if after >= self.index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._next_change.wait(), min(wait_s, _WATCH_MAX_S))
        oldest_kept = self._changes[0].index if self._changes else self.index + 1
        if after + 1 < oldest_kept and after < self.index:
            return self.snapshot()
        changed = [change.entry for change in self._changes if change.index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}
