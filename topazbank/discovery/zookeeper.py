"""Endpoint source that reads and watches the znodes of a ZooKeeper ensemble; registration_view.py interprets them.

Each read sets its watch in the same request, so no change between the two is missed.  A change that is reported before
the answer to a read is processed asks for another read, since the answer may be older than the change.  The first read
after a connection is preceded by `sync`, which waits until the member has caught up with a quorum.  Without it, a
partitioned member could return an empty list.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any

from topazbank.core.endpoint_source import EndpointList, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery.registration_view import Connectivity, RegistrationView, ViewChange
from topazbank.discovery.zkclient import (
    ConnectionLossError,
    EnsembleConfig,
    Session,
    SessionState,
    ZooKeeperError,
)
from topazbank.discovery.zkwire import ErrorCode, WatchEvent

log = logging.getLogger(__name__)

_RETRY_S = 0.5  # delay after a failed listing
_CONCURRENT_READS_MAX = 64  # node data reads in flight; a recovering ensemble serves all sidecars at once


class ZooKeeperSource:
    """Watches the child znodes of `path`; passes lists to `on_update`, or None if no quorum is connected."""

    def __init__(
        self,
        ensemble: EnsembleConfig,
        path: str,
        on_update: Callable[[EndpointList | None], None],
        seed: int | None = None,
    ) -> None:
        """`seed` initializes the session's random generator."""
        self.view = RegistrationView()
        self.session = Session(ensemble, self._session_changed, self._watch_event_received, seed)
        self._path = path
        self._on_update = on_update
        self._started = False
        self._read_queue: dict[str, None] = {}  # ordered set of node names
        self._reads_in_flight: set[str] = set()  # node names; bounded by _CONCURRENT_READS_MAX
        self._list_in_flight = False
        self._list_requested = False  # a listing was requested during another one
        self._sync_requested = False  # that listing is preceded by `sync`
        self._tasks: set[asyncio.Task[None]] = set()  # one per read in flight
        self._release_timer: asyncio.TimerHandle | None = None

    # -- EndpointSource --------------------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        """See EndpointSource; once started, the session lasts until `stop`."""
        if wanted and not self._started:
            self._started = True
            self.session.start()

    def fetch(self) -> None:
        """Publish a snapshot once a quorum has confirmed it, or None immediately if no quorum is connected."""
        if self.session.state is not SessionState.CONNECTED:
            self._on_update(None)
            return
        self.view.request_snapshot()
        self._spawn(self._list_nodes(sync=True))

    def move(self, address: Address) -> None:
        """See EndpointSource; the ensemble does not use the registry's address."""

    def stop(self) -> None:
        """Stop the session without closing it at the ensemble, and cancel all reads."""
        self.session.stop()
        for task in list(self._tasks):
            task.cancel()
        if self._release_timer is not None:
            self._release_timer.cancel()

    def status(self) -> tuple[SourceStatus, ...]:
        """See EndpointSource."""
        connected = self.view.connectivity is Connectivity.CONNECTED
        last_contact_at = self._now() if connected else self.view.last_contact_at
        return (SourceStatus("zookeeper", connected, last_contact_at),)

    def source_of(self, name: str) -> str:
        """See EndpointSource."""
        return "zookeeper"

    # -- Session and watches ---------------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _session_changed(self, state: SessionState) -> None:
        log.info("zookeeper: session state changed to %s", state.name.lower())
        if state is SessionState.CONNECTED:
            self._spawn(self._list_nodes(sync=True))
        elif state is not SessionState.CLOSED:
            self.view.quorum_lost(self._now())
            if state is SessionState.EXPIRED:
                self.view.watches_lost()

    def _watch_event_received(self, event: WatchEvent, path: str) -> None:
        if path == self._path:
            if event is not WatchEvent.DATA_CHANGED:
                self._spawn(self._list_nodes(sync=False))
            return
        name = path.rpartition("/")[2]
        if event is WatchEvent.DELETED:
            self._apply(self.view.node_removed(name))
        elif event is WatchEvent.DATA_CHANGED:
            self._apply(self.view.node_changed(name))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- Reads -----------------------------------------------------------------------------------------

    async def _list_nodes(self, sync: bool) -> None:
        """List the node names and set a watch; requests during a listing are coalesced into one more afterwards."""
        if self._list_in_flight:
            self._list_requested = True
            self._sync_requested |= sync
            return
        self._list_in_flight = True
        try:
            await self._read_names(sync)
        except ConnectionLossError:
            pass  # the next connection starts with a listing
        except ZooKeeperError as error:
            self._handle_list_error(error)
        finally:
            self._list_in_flight = False
        if self._list_requested:
            sync, self._list_requested, self._sync_requested = self._sync_requested, False, False
            self._spawn(self._list_nodes(sync))

    async def _read_names(self, sync: bool) -> None:
        if sync:
            await self.session.sync(self._path)
        names, stat = await self.session.get_children(self._path, watch=True)
        previous_names = set(self.view.nodes)
        change = self.view.names_listed(self._now(), names, stat.pzxid)
        if sync:  # the restored watches report changes of nodes that were read before
            still_listed = previous_names & self.view.nodes.keys()
            change.nodes_to_read += sorted(name for name in still_listed if self._needs_read(name))
        self._apply(change)

    def _needs_read(self, name: str) -> bool:
        return self.view.is_unread(name) and name not in self._reads_in_flight

    def _handle_list_error(self, error: ZooKeeperError) -> None:
        """Schedule a retry; a missing path means that no node has ever registered and counts as an empty list."""
        change = ViewChange()
        if error.code == ErrorCode.NO_NODE:
            change = self.view.names_listed(self._now(), (), max(self.session.zxid, 0))
        else:
            log.warning("zookeeper: failed to list %s: %s", self._path, error)
        self._apply(change)
        asyncio.get_running_loop().call_later(_RETRY_S, self._retry_list_nodes)

    def _retry_list_nodes(self) -> None:
        if self.session.state is SessionState.CONNECTED:
            self._spawn(self._list_nodes(sync=False))

    async def _read_node(self, name: str) -> None:
        try:
            data, stat = await self.session.get(f"{self._path}/{name}", watch=True)
        except ConnectionLossError:
            change = ViewChange()  # read again after the next listing
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                log.warning("zookeeper: failed to read node %s: %s", name, error)
            change = self.view.node_removed(name)
        else:
            now_ms = time.time_ns() // 1_000_000
            change = self.view.node_read(self._now(), name, data, stat.czxid, stat.mzxid, now_ms)
        finally:
            self._reads_in_flight.discard(name)
        if name in self._read_queue:
            self.view.node_changed(name)  # reported since this read was sent
        self._apply(change)

    def _start_reads(self) -> None:
        """Start queued reads of node data, up to the concurrency limit; a node in flight waits for its answer."""
        waiting: list[str] = []
        while (
            self._read_queue
            and len(self._reads_in_flight) < _CONCURRENT_READS_MAX
            and self.session.state is SessionState.CONNECTED
        ):
            name = next(iter(self._read_queue))
            del self._read_queue[name]
            if name in self._reads_in_flight:
                waiting.append(name)
            elif name in self.view.nodes:
                self._reads_in_flight.add(name)
                self._spawn(self._read_node(name))
        self._read_queue.update(dict.fromkeys(waiting))

    # -- Updates ---------------------------------------------------------------------------------------

    def _apply(self, change: ViewChange) -> None:
        self._read_queue.update(dict.fromkeys(change.nodes_to_read))
        self._start_reads()
        if change.is_snapshot or change.updates:
            self._on_update(EndpointList(self.view.version, change.is_snapshot, change.updates))
        self._schedule_release()

    def _schedule_release(self) -> None:
        release_at = self.view.next_release_at()
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None
        if release_at is not None:
            self._release_timer = asyncio.get_running_loop().call_at(release_at, self._release_held)

    def _release_held(self) -> None:
        self._release_timer = None
        self._apply(self.view.release_held(self._now()))
