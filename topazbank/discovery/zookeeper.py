"""The ensemble as a membership source: reads and watches; what they mean is roster.py's.

Each read is made with its watch in the same request, so that nothing can happen between the two unseen, and the first
after a connection waits for the member to have caught up with a quorum (`sync`): an empty list of one that has lost it
says nothing.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any

from topazbank.core.endpoint_source import EndpointList, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery.roster import Knowledge, Roster, Step
from topazbank.discovery.zkclient import Disconnected, Ensemble, Session, State, ZkError
from topazbank.discovery.zkwire import Code, Happened

log = logging.getLogger(__name__)

_AGAIN_S = 0.5  # after a read that the ensemble refused, before it is made again
_READS_AT_ONCE = 64  # node reads that are out: an ensemble that is back serves all sidecars at once


class ZooKeeperSource:
    """Follows the nodes below `path`; tells lists to `told`."""

    def __init__(
        self,
        ensemble: Ensemble,
        path: str,
        told: Callable[[EndpointList | None], None],
        seed: int | None = None,
    ) -> None:
        self.roster = Roster()
        self.session = Session(ensemble, self._changed, self._watched, seed)
        self._path = path
        self._told = told
        self._started = False
        self._to_read: dict[str, None] = {}  # names whose data is wanted, in their order; one a node
        self._reading: set[str] = set()  # _READS_AT_ONCE
        self._listing = False
        self._list_again = False
        self._tasks: set[asyncio.Task[None]] = set()  # one for each read that is out
        self._wake: asyncio.TimerHandle | None = None

    # -- What a source must offer ----------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        if wanted and not self._started:
            self._started = True
            self.session.start()

    def fetch(self) -> None:
        """Tell the whole list, once a live quorum has confirmed it; at once that nobody can say, if so."""
        if self.session.state is not State.LIVE:
            self._told(None)
            return
        self.roster.restart()
        self._spawn(self._list(sync=True))

    def move(self, address: Address) -> None:
        """Where the registry is does not matter here."""

    def stop(self) -> None:
        self.session.stop()
        for task in list(self._tasks):
            task.cancel()
        if self._wake is not None:
            self._wake.cancel()

    def status(self) -> tuple[SourceStatus, ...]:
        live = self.roster.knowledge is Knowledge.LIVE
        return (SourceStatus("zookeeper", live, self._now() if live else self.roster.heard_at),)

    def source_of(self, name: str) -> str:
        return "zookeeper"

    # -- Session and watches ---------------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _changed(self, state: State) -> None:
        log.info("the session with the ensemble is %s", state.name.lower())
        if state is State.LIVE:
            self._spawn(self._list(sync=True))
        elif state is not State.CLOSED:
            self.roster.out_of_touch(self._now())
            if state is State.EXPIRED:
                self.roster.unwatched()

    def _watched(self, happened: Happened, path: str) -> None:
        if path == self._path:
            if happened is not Happened.CHANGED:
                self._spawn(self._list(sync=False))
            return
        name = path.rpartition("/")[2]
        if happened is Happened.DELETED:
            self._take(self.roster.node_gone(name))
        elif happened is Happened.CHANGED:
            self._take(self.roster.node_changed(name))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- Reads -----------------------------------------------------------------------------------------

    async def _list(self, sync: bool) -> None:
        """Read the names, with a watch; while that is out another wish for it waits."""
        if self._listing:
            self._list_again = True
            return
        self._listing = True
        try:
            if sync:
                await self.session.sync(self._path)
            names, stat = await self.session.children(self._path, watch=True)
            known = set(self.roster.entries)
            step = self.roster.names_read(self._now(), names, stat.pzxid)
            if sync:  # what changed on nodes that stay is told by their watches, which were set anew
                step.read += sorted(name for name in known & self.roster.entries.keys() if self._unread(name))
            self._take(step)
        except Disconnected:
            pass  # the next connection begins with a list
        except ZkError as error:
            if error.code != Code.NO_NODE:
                log.warning("the ensemble does not list %s: %s", self._path, error)
            self._take(self._absent() if error.code == Code.NO_NODE else Step())
            asyncio.get_running_loop().call_later(_AGAIN_S, self._retry)
        finally:
            self._listing = False
        if self._list_again:
            self._list_again = False
            self._spawn(self._list(sync=False))

    def _unread(self, name: str) -> bool:
        return self.roster.is_unread(name) and name not in self._reading

    def _absent(self) -> Step:
        """The path itself is not there: nothing has ever been registered, by a live quorum's word."""
        return self.roster.names_read(self._now(), (), max(self.session.zxid, 0))

    def _retry(self) -> None:
        if self.session.state is State.LIVE:
            self._spawn(self._list(sync=False))

    async def _read(self, name: str) -> None:
        try:
            data, stat = await self.session.get(f"{self._path}/{name}", watch=True)
        except Disconnected:
            return  # it is read again with the next list
        except ZkError as error:
            if error.code != Code.NO_NODE:
                log.warning("node %s can't be read: %s", name, error)
            self._take(self.roster.node_gone(name))
            return
        finally:
            self._reading.discard(name)
            self._read_more()
        now_ms = time.time_ns() // 1_000_000
        self._take(self.roster.node_read(self._now(), name, data, stat.czxid, stat.mzxid, now_ms))

    def _read_more(self) -> None:
        while self._to_read and len(self._reading) < _READS_AT_ONCE and self.session.state is State.LIVE:
            name = next(iter(self._to_read))
            del self._to_read[name]
            if name not in self._reading and name in self.roster.entries:
                self._reading.add(name)
                self._spawn(self._read(name))

    # -- What is told ----------------------------------------------------------------------------------

    def _take(self, step: Step) -> None:
        self._to_read.update(dict.fromkeys(step.read))
        self._read_more()
        if step.complete or step.lines:
            self._told(EndpointList(self.roster.version, step.complete, step.lines))
        self._set_wake()

    def _set_wake(self) -> None:
        at = self.roster.next_wake()
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        if at is not None:
            self._wake = asyncio.get_running_loop().call_at(at, self._woke)

    def _woke(self) -> None:
        self._wake = None
        self._take(self.roster.woke(self._now()))
