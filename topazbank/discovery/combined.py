"""Several endpoint sources as one: merge.py decides, this module runs them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

from topazbank.core.endpoint_list import PendingUpdates
from topazbank.core.endpoint_source import EndpointList, EndpointSource, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery.merge import SourceMerger

# Of a source that has failed while others answer.  Two retries fit into the 6 s after which its changes must have been
# received once it is reachable again.
_RETRY_S = 1.5
_FIRST_SNAPSHOT_WAIT_S = 2.0  # for all sources; until then the list from before the start stays in force

UpdateCallback = Callable[[EndpointList | None], None]
SourceFactory = Callable[[UpdateCallback], EndpointSource]


class CombinedSource:
    """Sources by name, the highest precedence first; `on_update` receives None where every source has failed."""

    def __init__(self, factories: Mapping[str, SourceFactory], on_update: UpdateCallback) -> None:
        self._merger = SourceMerger(list(factories))
        self._on_update = on_update
        self._pending = {name: PendingUpdates() for name in factories}
        self._snapshot_pending = dict.fromkeys(factories, False)  # whether `_pending` has part of a snapshot
        self._step_scheduled: set[str] = set()
        self._failed: set[str] = set()  # since all sources last failed together
        self._sources = {name: make(partial(self._source_updated, name)) for name, make in factories.items()}
        self._first_snapshot_timer: asyncio.TimerHandle | None = None
        self._retry_timers: dict[str, asyncio.TimerHandle] = {}  # of sources whose last call failed

    # -- EndpointSource --------------------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        """See EndpointSource."""
        if wanted and self._first_snapshot_timer is None:
            loop = asyncio.get_running_loop()
            self._first_snapshot_timer = loop.call_later(_FIRST_SNAPSHOT_WAIT_S, self._end_first_wait)
        for source in self._sources.values():
            source.watch(wanted)

    def fetch(self) -> None:
        """See EndpointSource."""
        for source in self._sources.values():
            source.fetch()

    def move(self, address: Address) -> None:
        """See EndpointSource."""
        for source in self._sources.values():
            source.move(address)

    def stop(self) -> None:
        """Stop all sources."""
        if self._first_snapshot_timer is not None:
            self._first_snapshot_timer.cancel()
        for name, source in self._sources.items():
            self._cancel_retry(name)
            source.stop()

    def status(self) -> tuple[SourceStatus, ...]:
        """The status of each source, in their precedence."""
        return tuple(status for source in self._sources.values() for status in source.status())

    def source_of(self, name: str) -> str:
        """See EndpointSource; "-" where no source lists the node."""
        return self._merger.source_of(name) or "-"

    # -- Updates of a source ---------------------------------------------------------------------------

    def _source_updated(self, name: str, update: EndpointList | None) -> None:
        if update is None:
            self._source_failed(name)
            return
        self._failed.discard(name)
        self._cancel_retry(name)
        self._pending[name].receive(asyncio.get_running_loop().time(), update)
        self._snapshot_pending[name] |= update.complete
        self._step(name)

    def _source_failed(self, name: str) -> None:
        self._failed.add(name)
        self._publish(self._merger.source_unavailable(name))
        if len(self._failed) == len(self._sources):
            self._failed.clear()
            self._on_update(None)
        if name not in self._retry_timers:
            self._schedule_retry(name)

    def _step(self, name: str) -> None:
        """Merge one step of a source's pending updates, and the rest in later turns of the event loop."""
        pending = self._pending[name]
        updates = pending.take_batch()
        if updates:
            self._publish(self._merger.update(name, EndpointList(pending.version, False, updates)))
        if pending.has_pending():
            if name not in self._step_scheduled:
                self._step_scheduled.add(name)
                asyncio.get_running_loop().call_soon(self._next_step, name)
        elif self._snapshot_pending[name]:
            self._snapshot_pending[name] = False
            self._publish(self._merger.snapshot_complete(name))

    def _next_step(self, name: str) -> None:
        self._step_scheduled.discard(name)
        self._step(name)

    def _publish(self, merged: EndpointList | None) -> None:
        if merged is not None:
            self._on_update(merged)

    def _end_first_wait(self) -> None:
        for name in self._sources:
            self._publish(self._merger.source_unavailable(name))

    # -- Retries ---------------------------------------------------------------------------------------

    def _schedule_retry(self, name: str) -> None:
        """The receiver retries only when every source has failed: one that fails alone is retried from here."""
        loop = asyncio.get_running_loop()
        self._retry_timers[name] = loop.call_later(_RETRY_S, self._retry, name)

    def _retry(self, name: str) -> None:
        self._sources[name].watch(True)
        self._schedule_retry(name)

    def _cancel_retry(self, name: str) -> None:
        timer = self._retry_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
