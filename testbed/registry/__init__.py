"""The registry: whole lists and watches over HTTP, as the platform's discovery answers them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from testbed.wire import Asked, Listening, Reply, read_http

_CHANGES_MOST = 1000  # kept for watches; an older one gets the whole list


class Registry(Listening):
    """Holds entries by name; `put` and `remove` are told to every watch."""

    def __init__(self) -> None:
        self.index = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.calls = 0
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._news = asyncio.Event()

    def put(self, *entries: dict[str, Any]) -> None:
        for entry in entries:
            self.entries[entry["name"]] = entry
            self._changed(entry)

    def remove(self, name: str) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            self._changed(entry | {"status": "left"})

    def _changed(self, entry: dict[str, Any]) -> None:
        self.index += 1
        self._changes = [*self._changes, (self.index, entry)][-_CHANGES_MOST:]
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                asked = await read_http(reader)
                self.calls += 1
                told = await self._answer(asked)
                writer.write(Reply(200, json.dumps(told).encode()).http())
                if asked.headers.get("connection") == "close":
                    await writer.drain()
                    break
        writer.close()

    async def _answer(self, asked: Asked) -> dict[str, Any]:
        query = parse_qs(urlsplit(asked.path).query)
        if "after" not in query:
            return self.whole()
        after, wait_s = int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]) / 1000
        if after >= self.index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), min(wait_s, 60.0))
        since = self._changes[0][0] if self._changes else self.index + 1
        if after + 1 < since and after < self.index:
            return self.whole()
        changed = [entry for index, entry in self._changes if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}
