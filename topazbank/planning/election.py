"""Who leads among planners, by an ensemble: the lowest of ephemeral sequential nodes, as ZooKeeper's recipe has it.

The epoch is the sequence number of a planner's own node: whoever leads next registered later, so epochs only grow, and
one that registers again after its session was lost gets a higher number.  A leader whose session is not live stops to
lead at once: the ensemble may have given its place away.
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

_PREFIX = "planner-"
_FLAGS = zkwire.EPHEMERAL | zkwire.SEQUENTIAL
_AGAIN_S = 0.3  # before an election that failed is tried again


class Election:
    """One planner's candidacy; `changed` hears its epoch when it leads, and None when it does not."""

    def __init__(
        self,
        ensemble: EnsembleConfig,
        path: str,
        name: str,
        changed: Callable[[int | None], None],
        seed: int | None = None,
    ) -> None:
        self.epoch: int | None = None
        self._acl = zkwire.CREATOR_ACL if ensemble.secret else zkwire.OPEN_ACL
        self._path, self._name = path, name
        self._changed_epoch = changed
        self._node: str | None = None  # the own node's name, while the session that made it lives
        self._wanted = asyncio.Event()
        self._session = Session(ensemble, self._changed, self._watched, seed)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._session.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End without a word: another leads when the session has expired."""
        if self._task is not None:
            self._task.cancel()
        self._session.stop()

    async def close(self) -> None:
        """Step down: another leads at once."""
        if self._task is not None:
            self._task.cancel()
        await self._session.close()

    def _changed(self, state: SessionState) -> None:
        if state is SessionState.CONNECTED:
            self._wanted.set()
            return
        self._lead(None)
        if state is SessionState.EXPIRED:
            self._node = None

    def _watched(self, happened: WatchEvent, path: str) -> None:
        self._wanted.set()

    def _lead(self, epoch: int | None) -> None:
        if epoch != self.epoch:
            self.epoch = epoch
            log.info("%s %s", self._name, "does not lead" if epoch is None else f"leads by epoch {epoch}")
            self._changed_epoch(epoch)

    async def _run(self) -> None:
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            with suppress(ConnectionLossError):  # it is wanted again when the session is back
                try:
                    await self._stand()
                except ZooKeeperError as error:
                    log.warning("the election goes on: %s", error)
                    await asyncio.sleep(_AGAIN_S)
                    self._wanted.set()

    async def _stand(self) -> None:
        """Be there, and lead if nobody was there before; else watch the one just before."""
        await self._session.sync(self._path)
        if self._node is None:
            await self._register()
        assert self._node is not None
        names = sorted(await self._candidates(), key=_number)
        if self._node not in names:
            self._node = None  # its session went with it, or someone deleted it
            self._lead(None)
            self._wanted.set()
            return
        place = names.index(self._node)
        if place == 0:
            with suppress(ZooKeeperError):
                await self._session.get(f"{self._path}/{self._node}", watch=True)
            self._lead(_number(self._node) + 1)
            return
        self._lead(None)
        try:
            await self._session.get(f"{self._path}/{names[place - 1]}", watch=True)
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            self._wanted.set()  # it went between the two reads

    async def _register(self) -> None:
        mine = self._name.encode()
        for name in await self._candidates():
            # An answer that was lost with its connection: the node may be there already.
            with suppress(ZooKeeperError):
                data, stat = await self._session.get(f"{self._path}/{name}")
                if data == mine and stat.ephemeral_owner == self._session.session_id:
                    self._node = name
                    return
        made = await self._session.create(f"{self._path}/{_PREFIX}", mine, self._acl, _FLAGS)
        self._node = made.rpartition("/")[2]

    async def _candidates(self) -> list[str]:
        try:
            names, _ = await self._session.get_children(self._path)
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            await self._session.ensure_path(self._path, self._acl)
            return []
        return [each for each in names if each.startswith(_PREFIX)]


def _number(name: str) -> int:
    return int(name.removeprefix(_PREFIX))
