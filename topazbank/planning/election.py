"""Leader election among planners with a ZooKeeper ensemble: the lowest ephemeral sequential node leads.

The epoch derives from the sequence number of the planner's node.  The next leader always registered later, so epochs
only grow.  A planner that registers again after its session expired gets a higher epoch.  A leader that loses its
session stops leading at once, as the ensemble may have elected another.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress

from topazbank.discovery import zkwire
from topazbank.discovery.zkclient import (
    ConnectionLossError,
    EnsembleConfig,
    Session,
    SessionState,
    ZooKeeperError,
)
from topazbank.discovery.zkwire import ErrorCode, WatchEvent

log = logging.getLogger(__name__)

_NODE_PREFIX = "planner-"
_NODE_FLAGS = zkwire.EPHEMERAL | zkwire.SEQUENTIAL
_RETRY_DELAY_S = 0.3


class Election:
    """The candidacy of one planner."""

    def __init__(
        self,
        ensemble: EnsembleConfig,
        path: str,
        name: str,
        on_epoch: Callable[[int | None], None],
        seed: int | None = None,
    ) -> None:
        """`on_epoch` receives the epoch when this planner becomes leader, and None when it stops leading."""
        self.epoch: int | None = None  # None: not the leader
        self._acl = zkwire.CREATOR_ACL if ensemble.secret else zkwire.OPEN_ACL
        self._path, self._name = path, name
        self._on_epoch = on_epoch
        self._node: str | None = None  # name of this planner's node; None: not registered in this session
        self._check_needed = asyncio.Event()
        self._session = Session(ensemble, self._on_session_state, self._on_watch, seed)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the session and join the election."""
        self._session.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop without closing the session: another planner can lead once it has expired."""
        if self._task is not None:
            self._task.cancel()
        self._session.stop()

    async def close(self) -> None:
        """Step down and close the session: another planner can lead at once."""
        if self._task is not None:
            self._task.cancel()
        await self._session.close()

    def _on_session_state(self, state: SessionState) -> None:
        if state is SessionState.CONNECTED:
            self._check_needed.set()
            return
        self._set_epoch(None)
        if state is SessionState.EXPIRED:
            self._node = None

    def _on_watch(self, event: WatchEvent, path: str) -> None:
        self._check_needed.set()

    def _set_epoch(self, epoch: int | None) -> None:
        if epoch != self.epoch:
            self.epoch = epoch
            log.info(
                "%s %s",
                self._name,
                "is not the leader" if epoch is None else f"is the leader with epoch {epoch}",
            )
            self._on_epoch(epoch)

    async def _run(self) -> None:
        while True:
            await self._check_needed.wait()
            self._check_needed.clear()
            with suppress(ConnectionLossError):  # reconnecting sets the event again
                try:
                    await self._check()
                except ZooKeeperError as error:
                    log.warning("election failed; retrying: %s", error)
                    await asyncio.sleep(_RETRY_DELAY_S)
                    self._check_needed.set()

    async def _check(self) -> None:
        """Register if needed; lead if this planner's node is the lowest, else watch its predecessor."""
        await self._session.sync(self._path)
        if self._node is None:
            await self._register()
        assert self._node is not None
        nodes = sorted(await self._candidates(), key=_sequence_number)
        if self._node not in nodes:
            self._node = None  # its session expired, or the node was deleted
            self._set_epoch(None)
            self._check_needed.set()
            return
        position = nodes.index(self._node)
        if position == 0:
            await self._lead(self._node)
        else:
            self._set_epoch(None)
            await self._watch(nodes[position - 1])

    async def _lead(self, node: str) -> None:
        with suppress(ZooKeeperError):
            await self._session.get(f"{self._path}/{node}", watch=True)
        self._set_epoch(_sequence_number(node) + 1)

    async def _watch(self, predecessor: str) -> None:
        try:
            await self._session.get(f"{self._path}/{predecessor}", watch=True)
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            self._check_needed.set()  # deleted between the two reads

    async def _register(self) -> None:
        """Create this planner's node unless it exists, as the response to an earlier creation may have been lost."""
        data = self._name.encode()
        for node in await self._candidates():
            with suppress(ZooKeeperError):
                node_data, stat = await self._session.get(f"{self._path}/{node}")
                if node_data == data and stat.ephemeral_owner == self._session.session_id:
                    self._node = node
                    return
        path = await self._session.create(f"{self._path}/{_NODE_PREFIX}", data, self._acl, _NODE_FLAGS)
        self._node = path.rpartition("/")[2]

    async def _candidates(self) -> list[str]:
        try:
            names, _ = await self._session.get_children(self._path)
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            await self._session.ensure_path(self._path, self._acl)
            return []
        return [name for name in names if name.startswith(_NODE_PREFIX)]


def _sequence_number(node: str) -> int:
    return int(node.removeprefix(_NODE_PREFIX))
