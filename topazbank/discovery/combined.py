"""An endpoint source that combines several sources: merge.py merges their lists, this module runs the sources."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

from topazbank.core.endpoint_list import PendingUpdates
from topazbank.core.endpoint_source import EndpointList, EndpointSource, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery.merge import SourceMerger

# Retry interval of a source that has failed while others respond.  Once the source is reachable again, its changes must
# be received within 6 s; this allows two retries in that time.
_RETRY_S = 1.5
_FIRST_SNAPSHOT_WAIT_S = 2.0  # for all sources; until then the list known at startup stays in use

UpdateCallback = Callable[[EndpointList | None], None]
SourceFactory = Callable[[UpdateCallback], EndpointSource]


class CombinedSource:
    """Combines sources by name, highest precedence first; `on_update` receives None when every source has failed."""

    def __init__(self, factories: Mapping[str, SourceFactory], on_update: UpdateCallback) -> None:
        self._merger = SourceMerger(list(factories))
        self._on_update = on_update
        self._pending = {name: PendingUpdates() for name in factories}
        # By source, whether `_pending` contains part of a snapshot.
        self._snapshot_pending = dict.fromkeys(factories, False)
        self._batch_scheduled: set[str] = set()
        self._failed: set[str] = set()  # sources that failed since all sources last failed together
        self._sources = {
            name: create_source(partial(self._source_updated, name))
            for name, create_source in factories.items()
        }
        self._first_snapshot_timer: asyncio.TimerHandle | None = None
        # By source; only for sources whose last call failed.
        self._retry_timers: dict[str, asyncio.TimerHandle] = {}

    # -- EndpointSource --------------------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        """See EndpointSource."""
        if wanted and self._first_snapshot_timer is None:
            loop = asyncio.get_running_loop()
            self._first_snapshot_timer = loop.call_later(
                _FIRST_SNAPSHOT_WAIT_S, self._first_snapshot_wait_ended
            )
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
        """The status of each source, highest precedence first."""
        return tuple(status for source in self._sources.values() for status in source.status())

    def source_of(self, name: str) -> str:
        """See EndpointSource; "-" if no source lists the node."""
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
        self._merge_batch(name)

    def _source_failed(self, name: str) -> None:
        self._failed.add(name)
        self._publish(self._merger.source_unavailable(name))
        if len(self._failed) == len(self._sources):
            self._failed.clear()
            self._on_update(None)
        if name not in self._retry_timers:
            self._schedule_retry(name)

    def _merge_batch(self, name: str) -> None:
        """Merge one batch of a source's pending updates; the others follow in later iterations of the event loop."""
        pending = self._pending[name]
        updates = pending.take_batch()
        if updates:
            self._publish(self._merger.update(name, EndpointList(pending.version, False, updates)))
        if pending.has_pending():
            if name not in self._batch_scheduled:
                self._batch_scheduled.add(name)
                asyncio.get_running_loop().call_soon(self._merge_next_batch, name)
        elif self._snapshot_pending[name]:
            self._snapshot_pending[name] = False
            self._publish(self._merger.snapshot_complete(name))

    def _merge_next_batch(self, name: str) -> None:
        self._batch_scheduled.discard(name)
        self._merge_batch(name)

    def _publish(self, merged: EndpointList | None) -> None:
        if merged is not None:
            self._on_update(merged)

    def _first_snapshot_wait_ended(self) -> None:
        for name in self._sources:
            self._publish(self._merger.source_unavailable(name))

    # -- Retries ---------------------------------------------------------------------------------------

    def _schedule_retry(self, name: str) -> None:
        """Schedule a retry of a failed source: the receiver retries only when every source has failed."""
        loop = asyncio.get_running_loop()
        self._retry_timers[name] = loop.call_later(_RETRY_S, self._retry, name)

    def _retry(self, name: str) -> None:
        self._sources[name].watch(True)
        self._schedule_retry(name)

    def _cancel_retry(self, name: str) -> None:
        timer = self._retry_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
