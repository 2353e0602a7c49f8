"""A keeper's store beside the event loop: one thread, one write at a time, all that has come meanwhile in the next.

An answer leaves once it is on the disk.  While the disk is slow or fails, answers wait, then are lost as any datagram
may be: holders ask again, and their parts run out where that lasts.  Nothing of the request path waits for it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from topazbank.quota.store import MARK_S, BadStore, Remembered, Row, Store

log = logging.getLogger(__name__)

T = TypeVar("T")
AGAIN_S = 5.0  # between two tries to open a store
WAITING_MOST = 4096  # answers; one beyond is lost, and asked for again


class Memory:
    """What one process remembers of what it gave."""

    def __init__(self, store: Store, now: Callable[[], int]) -> None:
        self._store = store
        self._now = now
        self._thread = ThreadPoolExecutor(1, "budgets")
        self._waiting: list[tuple[Row, Callable[[], None]]] = []  # WAITING_MOST
        self._writing = False
        self._marking: asyncio.TimerHandle | None = None
        self.is_over = False
        self.lost = 0  # answers that did not come to the disk

    def begin(self, known: Callable[[Mapping[int, Remembered] | None], None]) -> None:
        """Open the store, again and again until it can be; `known` is told what it remembers, or None."""
        asyncio.get_running_loop().create_task(self._begin(known))

    async def _begin(self, known: Callable[[Mapping[int, Remembered] | None], None]) -> None:
        try:
            found = await self._in_thread(lambda: self._store.open(self._now()))
        except BadStore as fault:
            log.error("budgets: nothing is kept here: %s", fault)
            return
        except OSError as fault:
            log.error("budgets: nothing is kept here for now: %s", fault)
            if not self.is_over:
                self._marking = asyncio.get_running_loop().call_later(AGAIN_S, self.begin, known)
            return
        if not self.is_over:
            known(found)
            self._mark()

    async def _in_thread(self, do: Callable[[], T]) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._thread, do)

    def _mark(self) -> None:
        """Say on the disk, a few times a second, that this keeper is there and all is in the store."""
        self._flush(always=True)
        self._marking = asyncio.get_running_loop().call_later(MARK_S, self._mark)

    def remember(self, row: Row, leave: Callable[[], None]) -> None:
        """Have this on the disk, then let it leave."""
        if len(self._waiting) >= WAITING_MOST:
            self.lost += 1
            return
        self._waiting.append((row, leave))
        self._flush()

    def _flush(self, always: bool = False) -> None:
        if not self._writing and not self.is_over and (self._waiting or always):
            self._writing = True
            asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        batch, self._waiting = self._waiting, []
        try:
            await self._in_thread(lambda: self._store.write(self._now(), [row for row, _ in batch]))
        except OSError as fault:
            self.lost += len(batch)
            log.warning("budgets: %d answers do not leave: %s", len(batch), fault)
        else:
            for _, leave in batch:
                leave()
        self._writing = False
        self._flush()

    def end(self, then: Callable[[], None]) -> None:
        """Close the store behind what is being written, then do this, all in the store's thread."""
        if self._marking is not None:
            self._marking.cancel()
        if self.is_over:
            return
        self.is_over = True

        def close() -> None:
            self._store.close()
            then()

        self._thread.submit(close)
        self._thread.shutdown(wait=False)
