"""The endpoint list built from a ZooKeeper ensemble's registrations.

There is no I/O here, and time is an argument (seconds, monotonic).

Four situations are distinguished (the state table is in docs/design/discovery.md).  A node is *removed* when a quorum
no longer lists it, *draining* when its own record says so, and *unknown* while no quorum is connected.  The list is
*empty* when a quorum lists no node.  Losing the quorum changes no endpoint: the last list stays in use, and its age
grows.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from topazbank.balancing.events import ServerDescription, ServerState
from topazbank.core.endpoint_source import DiscoveredServer, as_removed
from topazbank.discovery.address_claims import AddressClaims
from topazbank.discovery.flap_damper import FLAP_HOLD_S, FlapDamper
from topazbank.discovery.registration import (
    NAME_CHARS_MAX,
    Registration,
    RegistrationError,
    decode_registration,
)

log = logging.getLogger(__name__)

REMOVED_NAMES_MAX = 10_000  # limit of the removed nodes remembered to detect their return
_NEVER_LISTED_ZXID = -1


@unique
class Connectivity(Enum):
    """Whether the ensemble's state can be read."""

    UNKNOWN = "unknown"  # no quorum is connected: the last list stays in use
    CONNECTED = "connected"


@dataclass(slots=True)
class RegisteredNode:
    """One registered node."""

    name: str
    czxid: int = 0  # creation zxid of the znode: a new value is a new registration
    mzxid: int = 0  # zxid of the last change of the znode's data
    registration: Registration | None = None  # None: not yet read, or invalid
    updated_at: float = 0.0


@dataclass(slots=True)
class ViewChange:
    """The effects of one event on the endpoint list."""

    updates: list[DiscoveredServer] = field(default_factory=list)
    is_snapshot: bool = False  # whether `updates` is the complete list: a missing node is removed
    nodes_to_read: list[str] = field(default_factory=list)  # nodes whose data must be read, with a watch


class RegistrationView:
    """The registered nodes below one path; the cost of one node's change is independent of their number."""

    def __init__(self) -> None:
        self.connectivity = Connectivity.UNKNOWN
        self.last_contact_at: float | None = None  # last contact with a quorum; None: never
        self.nodes: dict[str, RegisteredNode] = {}
        self.version = 0  # version of the published list
        self._children_zxid = _NEVER_LISTED_ZXID  # pzxid of the newest list of children
        self._snapshot_published = False
        self._published: dict[str, DiscoveredServer] = {}
        self._unread: set[str] = set()  # nodes whose data must be read
        self._claims = AddressClaims()
        self._flaps = FlapDamper()
        self._known_names: set[str] = set()  # current and former nodes; pruned at REMOVED_NAMES_MAX
        self._reported_invalid: dict[str, int] = {}  # mzxid of the invalid data last logged, by name
        # By incarnation, for records whose start is in the future.
        self._assumed_started_ms: dict[str, int] = {}

    # -- Session ---------------------------------------------------------------------------------------

    def quorum_connected(self, now: float) -> None:
        """Record that a member of a quorum has responded."""
        self.connectivity, self.last_contact_at = Connectivity.CONNECTED, now

    def quorum_lost(self, now: float) -> None:
        """Record that no quorum is connected; the list stays, only its age grows."""
        if self.connectivity is Connectivity.CONNECTED:
            self.last_contact_at = now
        self.connectivity = Connectivity.UNKNOWN

    def watches_lost(self) -> None:
        """Mark every node as unread: the session has expired, and its watches with it."""
        self._unread.update(self.nodes)

    def is_unread(self, name: str) -> bool:
        """Whether a node's data must be read."""
        return name in self._unread

    # -- Results of reads and watches ------------------------------------------------------------------

    def names_listed(self, now: float, names: Iterable[str], pzxid: int) -> ViewChange:
        """Process a quorum's list of the names below the path; ignore a list older than the newest one."""
        change = ViewChange()
        if pzxid < self._children_zxid:
            return change
        self._children_zxid = pzxid
        self.quorum_connected(now)
        listed = {name for name in names if 0 < len(name) <= NAME_CHARS_MAX}
        removed = sorted(self.nodes.keys() - listed)
        for name in removed:
            self._remove(name, change)
        if removed and not listed:
            log.warning("zookeeper: the ensemble lists no nodes; all %d nodes removed", len(removed))
        for name in sorted(listed - self.nodes.keys()):
            self._add(name, now, change)
        self._publish(change)
        return change

    def node_read(
        self, now: float, name: str, data: bytes, czxid: int, mzxid: int, now_ms: int
    ) -> ViewChange:
        """Process a node's data from a quorum, ignoring data older than the last read; `now_ms` is Unix time."""
        change = ViewChange()
        node = self.nodes.get(name)
        if node is None or mzxid < node.mzxid:
            return change
        self._unread.discard(name)
        if (node.czxid, node.mzxid) == (czxid, mzxid) and node.registration is not None:
            self._publish(change)
            return change
        node.czxid, node.mzxid, node.updated_at = czxid, mzxid, now
        previous = node.registration
        node.registration = self._decode(node, data, now_ms)
        self._update_claim(node, previous, change)
        self._update(name, now, change)
        self._publish(change)
        return change

    def node_removed(self, name: str) -> ViewChange:
        """Process a quorum's response that a node's znode does not exist."""
        change = ViewChange()
        if name in self.nodes:
            self._remove(name, change)
        self._publish(change)
        return change

    def node_changed(self, name: str) -> ViewChange:
        """Process a watch event: a node's data has changed."""
        change = ViewChange()
        if name in self.nodes:
            self._unread.add(name)
            change.nodes_to_read.append(name)
        return change

    def release_held(self, now: float) -> ViewChange:
        """Release flapping nodes that have stayed registered for FLAP_HOLD_S."""
        change = ViewChange()
        for name in self._flaps.release(now):
            self._update(name, now, change)
        self._publish(change)
        return change

    def next_release_at(self) -> float | None:
        """When `release_held` is next due; None: no node is held."""
        return self._flaps.next_release_at()

    # -- Publishing ------------------------------------------------------------------------------------

    def request_snapshot(self) -> None:
        """Publish the next list as a snapshot, since its receiver may hold a different list."""
        self._snapshot_published = False

    def _publish(self, change: ViewChange) -> None:
        """Publish a snapshot once all nodes have been read, then deltas."""
        if self._snapshot_published:
            if change.updates:
                self.version += 1
            return
        change.updates = []
        if self._unread or self._children_zxid == _NEVER_LISTED_ZXID:
            return
        self._snapshot_published = True
        self.version += 1
        change.is_snapshot = True
        change.updates = list(self._published.values())

    def _update(self, name: str, now: float, change: ViewChange) -> None:
        """Add a node's endpoint to the change if it differs from the published endpoint."""
        endpoint = self._endpoint(self.nodes[name], now)
        if endpoint is None or self._published.get(name) == endpoint:
            return
        self._published[name] = endpoint
        change.updates.append(endpoint)

    def _endpoint(self, node: RegisteredNode, now: float) -> DiscoveredServer | None:
        """A node's endpoint at `now`; None if the node has never had a valid record."""
        registration = node.registration
        if registration is None:
            published = self._published.get(node.name)
            return None if published is None else _as_draining(published)
        ready = (
            self._claims.is_owner(registration.address, node.name)
            and not registration.draining
            and not self._flaps.is_held(node.name, now)
        )
        server = ServerDescription(
            node.name,
            registration.zone,
            registration.kind,
            registration.pod,
            ServerState.READY if ready else ServerState.DRAINING,
            registration.weight,
            registration.started_ms * 1000 or None,
        )
        return DiscoveredServer(server, registration.address, registration.protocol)

    # -- Nodes -----------------------------------------------------------------------------------------

    def _add(self, name: str, now: float, change: ViewChange) -> None:
        if name in self._known_names and self._flaps.node_returned(name, now):
            log.warning(
                "zookeeper: node %s is flapping; draining until it has stayed registered for %g s",
                name,
                FLAP_HOLD_S,
            )
        self._remember(name)
        self.nodes[name] = RegisteredNode(name, updated_at=now)
        self._unread.add(name)
        change.nodes_to_read.append(name)

    def _remove(self, name: str, change: ViewChange) -> None:
        registration = self.nodes.pop(name).registration
        self._unread.discard(name)
        self._flaps.node_removed(name)
        published = self._published.pop(name, None)
        if published is not None:
            change.updates.append(as_removed(published))
        if registration is not None:
            self._release_address(name, registration, change)

    def _remember(self, name: str) -> None:
        """Remember a name; at the limit, first forget all nodes that are no longer registered."""
        if len(self._known_names) >= REMOVED_NAMES_MAX:
            known = self._known_names = set(self.nodes)
            self._flaps.prune(known)
            self._reported_invalid = {
                reported: mzxid for reported, mzxid in self._reported_invalid.items() if reported in known
            }
        self._known_names.add(name)

    def _decode(self, node: RegisteredNode, data: bytes, now_ms: int) -> Registration | None:
        """Decode a node's record; None if it is invalid, which is logged once per version of the data."""
        try:
            return self._with_plausible_start(decode_registration(data), now_ms)
        except RegistrationError as error:
            if self._reported_invalid.get(node.name) != node.mzxid:
                self._reported_invalid[node.name] = node.mzxid
                log.warning("zookeeper: node %s has an invalid record: %s", node.name, error)
            return None

    def _with_plausible_start(self, registration: Registration, now_ms: int) -> Registration:
        """Replace a start in the future, caused by a wrong clock, by the time of the incarnation's first read."""
        if registration.started_ms <= now_ms:
            return registration
        if len(self._assumed_started_ms) >= REMOVED_NAMES_MAX:
            self._assumed_started_ms.clear()
        started_ms = self._assumed_started_ms.setdefault(registration.incarnation, now_ms)
        return replace(registration, started_ms=started_ms)

    def _update_claim(self, node: RegisteredNode, previous: Registration | None, change: ViewChange) -> None:
        registration = node.registration
        if previous is not None and (registration is None or previous.address != registration.address):
            self._release_address(node.name, previous, change)
        if registration is None:
            return
        displaced = self._claims.claim(registration.address, node.name, node.czxid)
        if displaced is not None:
            log.warning(
                "zookeeper: nodes %s and %s claim the same address; using the later registration",
                displaced,
                node.name,
            )
            self._update(displaced, node.updated_at, change)

    def _release_address(self, name: str, registration: Registration, change: ViewChange) -> None:
        successor = self._claims.release(registration.address, name)
        if successor is not None:
            self._update(successor, self.nodes[successor].updated_at, change)


def _as_draining(endpoint: DiscoveredServer) -> DiscoveredServer:
    server = endpoint.server
    draining = ServerDescription(
        server.name,
        server.zone,
        server.kind,
        server.cell,
        ServerState.DRAINING,
        server.nominal_capacity,
        server.started_at,
    )
    return DiscoveredServer(draining, endpoint.address, endpoint.protocol)
