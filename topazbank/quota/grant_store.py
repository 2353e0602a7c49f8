"""Writes a lease server's grants to its store in batches on one thread, so that the event loop never blocks.

A grant is sent after it is on disk.  While the disk is slow, grants are queued.  When a write fails or the queue is
full, grants are dropped, which clients see as lost datagrams: they repeat their requests, and their leases expire if
the failure lasts.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, TypeVar

from topazbank.quota.store import (
    HEARTBEAT_PERIOD_S,
    GrantRecord,
    IncompatibleStore,
    Store,
    StoredGrants,
)

log = logging.getLogger(__name__)

_Result = TypeVar("_Result")
REOPEN_DELAY_S = 5.0  # delay between attempts to open a store
PENDING_GRANTS_MAX = 4096  # further grants are dropped


class _PendingGrant(NamedTuple):
    record: GrantRecord
    send: Callable[[], None]


class GrantStore:
    """Asynchronous access to the store of one process's lease servers."""

    def __init__(self, store: Store, now: Callable[[], int]) -> None:
        """`now`: the machine's monotonic clock in microseconds."""
        self._store = store
        self._now = now
        self._executor = ThreadPoolExecutor(1, "quota-store")
        self._pending: list[_PendingGrant] = []  # at most PENDING_GRANTS_MAX
        self._is_writing = False
        self._timer: asyncio.TimerHandle | None = None
        self.is_closed = False
        self.dropped = 0  # grants not written and therefore not sent

    def open(self, on_open: Callable[[StoredGrants | None], None]) -> None:
        """Open the store, with retries while the disk fails; `on_open` receives its grants, or None if not trusted."""
        asyncio.get_running_loop().create_task(self._open(on_open))

    async def _open(self, on_open: Callable[[StoredGrants | None], None]) -> None:
        try:
            grants = await self._run_in_executor(lambda: self._store.open(self._now()))
        except IncompatibleStore as error:
            log.error("quota: lease servers disabled: %s", error)
            return
        except OSError as error:
            log.error("quota: lease servers not started until the store can be opened: %s", error)
            if not self.is_closed:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(REOPEN_DELAY_S, self.open, on_open)
            return
        if not self.is_closed:
            on_open(grants)
            self._heartbeat()

    async def _run_in_executor(self, function: Callable[[], _Result]) -> _Result:
        return await asyncio.get_running_loop().run_in_executor(self._executor, function)

    def _heartbeat(self) -> None:
        """Write a heartbeat periodically, so that the store is trusted after a quick restart."""
        self._flush(is_heartbeat=True)
        self._timer = asyncio.get_running_loop().call_later(HEARTBEAT_PERIOD_S, self._heartbeat)

    def save(self, record: GrantRecord, send: Callable[[], None]) -> None:
        """Queue a grant; `send` is called after the grant is on disk."""
        if len(self._pending) >= PENDING_GRANTS_MAX:
            self.dropped += 1
            return
        self._pending.append(_PendingGrant(record, send))
        self._flush()

    def _flush(self, is_heartbeat: bool = False) -> None:
        if not self._is_writing and not self.is_closed and (self._pending or is_heartbeat):
            self._is_writing = True
            asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        batch, self._pending = self._pending, []
        records = [grant.record for grant in batch]
        try:
            await self._run_in_executor(lambda: self._store.write(self._now(), records))
        except OSError as error:
            self.dropped += len(batch)
            log.warning(
                "quota: dropped %d grants that could not be written to the store: %s", len(batch), error
            )
        else:
            for grant in batch:
                grant.send()
        self._is_writing = False
        self._flush()

    def close(self, on_closed: Callable[[], None]) -> None:
        """Close the store after the write in progress, then call `on_closed` on the store's thread."""
        if self._timer is not None:
            self._timer.cancel()
        if self.is_closed:
            return
        self.is_closed = True

        def close_store() -> None:
            self._store.close()
            on_closed()

        self._executor.submit(close_store)
        self._executor.shutdown(wait=False)
