"""A ZooKeeper ensemble as an endpoint source: its reads and watches.  registration_view.py decides what they mean.

A read and its watch are one request, so that no change between the two is missed.  The first read after a connection
waits (`sync`) until the member has caught up with a quorum: the empty list of a member without one means nothing.
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

_RETRY_S = 0.5  # after a list of names that the ensemble refused
_CONCURRENT_READS_MAX = 64  # of node data: an ensemble that recovers serves all sidecars at once


class ZooKeeperSource:
    """Follows the znodes below `path`; passes lists to `on_update`, and None where no quorum is connected."""

    def __init__(
        self,
        ensemble: EnsembleConfig,
        path: str,
        on_update: Callable[[EndpointList | None], None],
        seed: int | None = None,
    ) -> None:
        """`seed`: of the session's random choices."""
        self.view = RegistrationView()
        self.session = Session(ensemble, self._session_changed, self._watch_event_received, seed)
        self._path = path
        self._on_update = on_update
        self._started = False
        self._read_queue: dict[str, None] = {}  # an ordered set of names; at most one a node
        self._reading: set[str] = set()  # bounded by _CONCURRENT_READS_MAX
        self._listing = False
        self._list_requested = False  # while a list is being read
        self._tasks: set[asyncio.Task[None]] = set()  # one for each read without a reply yet
        self._release_timer: asyncio.TimerHandle | None = None

    # -- EndpointSource --------------------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        """See EndpointSource; once started, the session lasts until `stop`."""
        if wanted and not self._started:
            self._started = True
            self.session.start()

    def fetch(self) -> None:
        """Publish a snapshot once a quorum has confirmed it, or at once that no quorum is connected."""
        if self.session.state is not SessionState.CONNECTED:
            self._on_update(None)
            return
        self.view.request_snapshot()
        self._spawn(self._list(sync=True))

    def move(self, address: Address) -> None:
        """See EndpointSource; the registry's address does not matter here."""

    def stop(self) -> None:
        """End the session without closing it, and all reads."""
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
        log.info("zookeeper: the session is %s", state.name.lower())
        if state is SessionState.CONNECTED:
            self._spawn(self._list(sync=True))
        elif state is not SessionState.CLOSED:
            self.view.quorum_lost(self._now())
            if state is SessionState.EXPIRED:
                self.view.watches_lost()

    def _watch_event_received(self, event: WatchEvent, path: str) -> None:
        if path == self._path:
            if event is not WatchEvent.DATA_CHANGED:
                self._spawn(self._list(sync=False))
            return
        name = path.rpartition("/")[2]
        if event is WatchEvent.DELETED:
            self._apply(self.view.node_removed(name))
        elif event is WatchEvent.DATA_CHANGED:
            self._apply(self.view.node_changed(name))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- Reads -----------------------------------------------------------------------------------------

    async def _list(self, sync: bool) -> None:
        """Read the names, with a watch; a request meanwhile is served by one more read afterwards."""
        if self._listing:
            self._list_requested = True
            return
        self._listing = True
        try:
            await self._read_names(sync)
        except ConnectionLossError:
            pass  # the next connection begins with a list
        except ZooKeeperError as error:
            self._list_refused(error)
        finally:
            self._listing = False
        if self._list_requested:
            self._list_requested = False
            self._spawn(self._list(sync=False))

    async def _read_names(self, sync: bool) -> None:
        if sync:
            await self.session.sync(self._path)
        names, stat = await self.session.get_children(self._path, watch=True)
        former = set(self.view.nodes)
        change = self.view.names_listed(self._now(), names, stat.pzxid)
        if sync:  # nodes that stay and are not unread have their watches set again, which report any change
            staying = former & self.view.nodes.keys()
            change.nodes_to_read += sorted(name for name in staying if self._needs_read(name))
        self._apply(change)

    def _needs_read(self, name: str) -> bool:
        return self.view.is_unread(name) and name not in self._reading

    def _list_refused(self, error: ZooKeeperError) -> None:
        """The list is retried; a path that does not exist means that no node has ever registered."""
        change = ViewChange()
        if error.code == ErrorCode.NO_NODE:
            change = self.view.names_listed(self._now(), (), max(self.session.zxid, 0))
        else:
            log.warning("zookeeper: %s can't be listed: %s", self._path, error)
        self._apply(change)
        asyncio.get_running_loop().call_later(_RETRY_S, self._retry_list)

    def _retry_list(self) -> None:
        if self.session.state is SessionState.CONNECTED:
            self._spawn(self._list(sync=False))

    async def _read_node(self, name: str) -> None:
        try:
            data, stat = await self.session.get(f"{self._path}/{name}", watch=True)
        except ConnectionLossError:
            return  # it is read again with the next list
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                log.warning("zookeeper: node %s can't be read: %s", name, error)
            self._apply(self.view.node_removed(name))
            return
        finally:
            self._reading.discard(name)
            self._start_reads()
        now_ms = time.time_ns() // 1_000_000
        self._apply(self.view.node_read(self._now(), name, data, stat.czxid, stat.mzxid, now_ms))

    def _start_reads(self) -> None:
        """Begin queued reads of node data, up to the limit."""
        while (
            self._read_queue
            and len(self._reading) < _CONCURRENT_READS_MAX
            and self.session.state is SessionState.CONNECTED
        ):
            name = next(iter(self._read_queue))
            del self._read_queue[name]
            if name not in self._reading and name in self.view.nodes:
                self._reading.add(name)
                self._spawn(self._read_node(name))

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
            self._release_timer = asyncio.get_running_loop().call_at(release_at, self._release_due)

    def _release_due(self) -> None:
        self._release_timer = None
        self._apply(self.view.release_held(self._now()))
