"""Runs the lease servers of one process, guarded by a lock that only one process per member can hold.

Without the lock, two processes of one member could grant the same slice: during an upgrade, or when a paused process
(SIGSTOP) continues.  `audit` would then report more held than the limit.  The kernel holds the lock for a process,
paused or not, until the process ends or releases it.  The second process therefore starts its lease servers only after
the first has ended or stopped its own.  Assumption: all processes of a member run on one machine and use the same
`lock_folder`.
"""

from __future__ import annotations

import fcntl
import logging
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import BinaryIO

from topazbank.quota.grant_store import GrantStore
from topazbank.quota.lease import LeaseGrant
from topazbank.quota.lease_server import LeaseServer
from topazbank.quota.rules import Quota
from topazbank.quota.store import GrantRecord, Store, StoredGrants, slices_key
from topazbank.quota.wire import Message

log = logging.getLogger(__name__)


class LeaseServerHost:
    """The lease servers of all quotas for which this member is a lease server."""

    def __init__(
        self,
        name: str,
        quotas: Mapping[int, Quota],
        now: Callable[[], int],
        lock_folder: str | None,
        store_folder: str,
    ) -> None:
        """`name`: the member; `quotas`: all, by id; `now`: monotonic microseconds; `store_folder`: "" for none."""
        self.servers: dict[int, LeaseServer] = {}  # by quota id; empty unless this process holds the lock
        self._name = name
        self._quotas = {quota_id: quota for quota_id, quota in quotas.items() if name in quota.lease_servers}
        self._now = now
        self._lock_folder = lock_folder
        self._store_folder = store_folder
        self._lock: BinaryIO | None = None
        self._grant_store: GrantStore | None = None  # set only while the lock is held
        if self._quotas and lock_folder is None:
            log.warning(
                "quota: lease servers disabled: TMPDIR is not set, so a second process of this member can't be detected"
            )

    def start_if_unlocked(self) -> None:
        """Start the lease servers unless they are running or another process of this member holds the lock."""
        if not self._quotas or self._lock is not None or self._lock_folder is None:
            return
        file_name = f"topazbank-keeps-{self._name.replace('/', '_')}"
        lock = open(Path(self._lock_folder) / file_name, "ab")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            return
        self._lock = lock
        if not self._store_folder:
            self._start_servers(None)
            return
        slices = {quota_id: quota.slice_of(self._name) for quota_id, quota in self._quotas.items()}
        store = Store(Path(self._store_folder) / f"{file_name}.sqlite", slices_key(slices))
        self._grant_store = GrantStore(store, self._now)
        self._grant_store.open(self._start_servers)

    def _start_servers(self, stored: StoredGrants | None) -> None:
        """Start the lease servers with the stored grants; None: earlier grants are unknown."""
        now = self._now()
        for quota_id, quota in self._quotas.items():
            grants = None if stored is None else stored.get(quota_id, [])
            self.servers[quota_id] = LeaseServer(quota, quota.slice_of(self._name), now, grants)
        start_mode = "with a grace period" if stored is None else "with the stored grants"
        log.info("quota: started lease servers of %d slices %s", len(self._quotas), start_mode)

    def stop(self) -> None:
        """Stop the lease servers; the lock is released after the store is closed."""
        self.servers.clear()
        lock, self._lock = self._lock, None
        grant_store, self._grant_store = self._grant_store, None
        if grant_store is not None and lock is not None:
            grant_store.close(lock.close)
        elif lock is not None:
            lock.close()

    def send_when_stored(self, message: Message, grant: LeaseGrant, send: Callable[[], None]) -> None:
        """Call `send` after the grant for this request is on disk, or immediately if there is no store."""
        if self._grant_store is None or not grant.allocation:
            send()
            return
        assert message.request is not None
        expires_at = self._now() + self._quotas[message.quota_id].server_lease_us(grant.lease_us)
        record = GrantRecord(
            message.quota_id,
            message.client,
            grant.number,
            grant.allocation,
            expires_at,
            message.request.held_number,
        )
        self._grant_store.save(record, send)
