"""Registers a process as a node: an ephemeral znode that exists while its session is alive.

As a library: `Registrar(ensemble, path, name, registration)`, `start()`, `drain()` before stopping, then `stop()`.
As a command, alongside a process that does not use the library: `python -m topazbank.discovery.registrar --help`.

After a session expires, the node is registered in a new session with the same incarnation, so the running process does
not count as warming up.  A znode of a previous session is never overwritten, as the ensemble deletes it, with any new
data, when that session expires.  The registrar waits for the deletion and then creates the znode.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sys
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, unique

from topazbank.discovery import zkwire
from topazbank.discovery.registration import Registration
from topazbank.discovery.zkclient import (
    ConnectionLossError,
    EnsembleConfig,
    Session,
    SessionState,
    ZooKeeperError,
)
from topazbank.discovery.zkwire import ErrorCode, WatchEvent

log = logging.getLogger(__name__)

_BACKOFF_S = 0.2  # delay after a failed registration; doubles each time, with jitter over its upper half
_BACKOFF_MAX_S = 2.0
_DRAIN_POLL_S = 0.01


@unique
class RegistrationState(Enum):
    """State of a node as known to its registrar; the command prints the values."""

    UNREGISTERED = "out"
    REGISTERED = "in"  # the session is connected
    UNKNOWN = "unknown"  # registered when the connection was lost
    DRAINING = "leaving"  # registered as draining


class Registrar:
    """Keeps one node registered; `on_state_change` is called with each new state."""

    def __init__(
        self,
        ensemble: EnsembleConfig,
        path: str,
        name: str,
        registration: Registration,
        on_state_change: Callable[[RegistrationState], None] = lambda state: None,
        seed: int | None = None,
    ) -> None:
        """`path` is the parent znode; `seed` initializes the random generator for backoff jitter."""
        self.state = RegistrationState.UNREGISTERED
        self.registrations = 0  # times the znode was created
        self._registration = registration
        self._parent_path = path
        self._node_path = f"{path}/{name}"
        self._acl = zkwire.CREATOR_ACL if ensemble.secret else zkwire.OPEN_ACL
        self._on_state_change = on_state_change
        self._random = random.Random(seed)
        self._session = Session(ensemble, self._session_changed, self._watch_event_received, seed)
        self._check_needed = asyncio.Event()  # the znode may be missing or outdated
        self._task: asyncio.Task[None] | None = None

    # -- Lifecycle -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Register the node and keep it registered until `stop`."""
        self._session.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def drain(self) -> None:
        """Publish that the node is draining; return once the ensemble has stored it or the connection is lost.

        Afterwards, wait until callers have received the change (0.5 s), finish the requests in flight, and call `stop`.
        """
        self._registration = replace(self._registration, draining=True)
        self._check_needed.set()
        while self.state is RegistrationState.REGISTERED:
            await asyncio.sleep(_DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close the session, which deletes the znode."""
        self._cancel_task()
        await self._session.close()
        self._set_state(RegistrationState.UNREGISTERED)

    def crash(self) -> None:
        """Stop like a killed process: the znode remains until the session expires."""
        self._cancel_task()
        self._session.stop()

    def _cancel_task(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _set_state(self, state: RegistrationState) -> None:
        if state is not self.state:
            self.state = state
            self._on_state_change(state)

    # -- Session and watches ---------------------------------------------------------------------------

    def _session_changed(self, state: SessionState) -> None:
        if state is SessionState.CONNECTED:
            self._check_needed.set()
        elif state is SessionState.EXPIRED:
            log.warning("%s: session expired; registering the node again", self._node_path)
            self._set_state(RegistrationState.UNREGISTERED)
        elif state is SessionState.SUSPENDED and self.state is not RegistrationState.UNREGISTERED:
            self._set_state(RegistrationState.UNKNOWN)

    def _watch_event_received(self, event: WatchEvent, path: str) -> None:
        if path == self._node_path:
            self._check_needed.set()

    # -- Registration ----------------------------------------------------------------------------------

    async def _run(self) -> None:
        backoff_s = _BACKOFF_S
        while True:
            await self._check_needed.wait()
            self._check_needed.clear()
            if self._session.state is not SessionState.CONNECTED:
                continue  # the next connection sets the event
            try:
                registered = await self._register()
                backoff_s = _BACKOFF_S if registered else min(2 * backoff_s, _BACKOFF_MAX_S)
            except ConnectionLossError:
                continue
            except ZooKeeperError as error:
                log.error("failed to register %s: %s", self._node_path, error)
                registered, backoff_s = False, _BACKOFF_MAX_S
            if not registered:
                await asyncio.sleep(backoff_s * (0.5 + 0.5 * self._random.random()))
                self._check_needed.set()

    async def _register(self) -> bool:
        """Create or update the znode; return False if the attempt has to be retried."""
        draining = self._registration.draining
        record = self._registration.encode()
        try:
            stored, stat = await self._session.get(self._node_path, watch=True)
        except ZooKeeperError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            return await self._create(record)
        if stat.ephemeral_owner != self._session.session_id:
            # Owned by a previous session or by another process with this name; the watch reports its deletion.
            log.info("%s is owned by another session", self._node_path)
            self._set_state(RegistrationState.UNREGISTERED)
            return False
        if stored != record:
            await self._session.set(self._node_path, record)
        self._set_state(RegistrationState.DRAINING if draining else RegistrationState.REGISTERED)
        return True

    async def _create(self, record: bytes) -> bool:
        try:
            await self._session.create(self._node_path, record, self._acl, zkwire.EPHEMERAL)
        except ZooKeeperError as error:
            if error.code == ErrorCode.NO_NODE:
                # The parent's access control list determines who may delete its children.
                await self._session.ensure_path(self._parent_path, self._acl)
            elif error.code != ErrorCode.NODE_EXISTS:
                raise
            return False
        self.registrations += 1
        self._check_needed.set()  # reads the znode with a watch that reports its deletion
        return True


if __name__ == "__main__":
    from topazbank.discovery.registrar_command import main

    sys.exit(main())
