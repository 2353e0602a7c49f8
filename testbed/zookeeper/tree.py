"""A member's znode tree, without I/O: reads, and the application of committed transactions.

The leader validates operations and builds a transaction from them (transactions.py).  Every member applies transactions
in zxid order, so all members have the same tree and the same watch events.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from testbed.zookeeper import jute
from testbed.zookeeper.jute import Acl, Stat

Identity = tuple[str, str]  # scheme and id


class RequestError(Exception):
    """A refused operation, with an error code of KeeperException."""

    def __init__(self, code: int) -> None:
        super().__init__(str(code))
        self.code = code


@dataclass(slots=True)
class Znode:
    """One znode in a member's tree."""

    data: bytes
    acl: tuple[Acl, ...]
    stat: Stat
    children: set[str] = field(default_factory=set)  # names


# The changes of a transaction.  The leader has validated them, so applying them can't fail.


@dataclass(frozen=True, slots=True)
class NodeCreated:
    """A znode is created; `owner` is the session id for an ephemeral znode, otherwise 0."""

    path: str
    data: bytes
    acl: tuple[Acl, ...]
    owner: int


@dataclass(frozen=True, slots=True)
class NodeDeleted:
    """A znode without children is deleted."""

    path: str


@dataclass(frozen=True, slots=True)
class DataReplaced:
    """The data of a znode is replaced."""

    path: str
    data: bytes


@dataclass(frozen=True, slots=True)
class AclReplaced:
    """The access control list of a znode is replaced."""

    path: str
    acl: tuple[Acl, ...]


Change = NodeCreated | NodeDeleted | DataReplaced | AclReplaced


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied atomically."""

    zxid: int
    time_ms: int
    changes: tuple[Change, ...]
    closed_session: int = 0  # session whose ephemeral znodes are deleted after the changes; 0: none


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """The event that watches on a path report; `event_type` is a constant of jute."""

    event_type: int
    path: str


def parent_of(path: str) -> str:
    """Return the path of a znode's parent."""
    return path.rpartition("/")[0] or "/"


class Tree:
    """One member's copy of the znode tree."""

    def __init__(self) -> None:
        self.nodes: dict[str, Znode] = {"/": Znode(b"", jute.OPEN_ACL, Stat())}
        self.ephemerals: dict[int, set[str]] = {}  # paths by session
        self.zxid = 0  # of the newest transaction applied

    # -- Reads -----------------------------------------------------------------------------------------

    def node(self, path: str) -> Znode:
        """Return a znode; raise RequestError if it does not exist."""
        try:
            return self.nodes[path]
        except KeyError:
            raise RequestError(jute.NO_NODE) from None

    def stat(self, path: str) -> Stat:
        """Return a znode's metadata; raise RequestError if it does not exist."""
        node = self.node(path)
        node.stat.data_length, node.stat.child_count = len(node.data), len(node.children)
        return node.stat

    def check_permission(self, path: str, permission: int, identities: set[Identity]) -> None:
        """Raise RequestError unless one of the client's identities has this permission on a znode."""
        for entry in self.node(path).acl:
            applies_to_client = entry.scheme == "world" or (entry.scheme, entry.identity) in identities
            if entry.permissions & permission and applies_to_client:
                return
        raise RequestError(jute.NO_AUTH)

    # -- Transactions ----------------------------------------------------------------------------------

    def apply(self, transaction: Transaction) -> list[WatchEvent]:
        """Apply a transaction; return its watch events in order."""
        events: list[WatchEvent] = []
        for change in transaction.changes:
            events += self._apply_change(transaction, change)
        if transaction.closed_session:
            for path in sorted(self.ephemerals.pop(transaction.closed_session, ())):
                events += self._delete(transaction, path)
        self.zxid = transaction.zxid
        return events

    def _apply_change(self, transaction: Transaction, change: Change) -> list[WatchEvent]:
        if isinstance(change, NodeCreated):
            return self._create(transaction, change)
        if isinstance(change, NodeDeleted):
            return self._delete(transaction, change.path)
        node = self.nodes[change.path]
        if isinstance(change, AclReplaced):
            node.acl = change.acl
            node.stat.aversion += 1
            return []
        node.data = change.data
        node.stat.version += 1
        node.stat.mzxid, node.stat.mtime = transaction.zxid, transaction.time_ms
        return [WatchEvent(jute.DATA_CHANGED, change.path)]

    def _create(self, transaction: Transaction, created: NodeCreated) -> list[WatchEvent]:
        zxid, time_ms = transaction.zxid, transaction.time_ms
        stat = Stat(zxid, zxid, time_ms, time_ms, ephemeral_owner=created.owner, pzxid=zxid)
        self.nodes[created.path] = Znode(created.data, created.acl, stat)
        if created.owner:
            self.ephemerals.setdefault(created.owner, set()).add(created.path)
        parent = parent_of(created.path)
        self.nodes[parent].children.add(created.path.rpartition("/")[2])
        self._children_changed(parent, transaction)
        return [WatchEvent(jute.CREATED, created.path), WatchEvent(jute.CHILDREN_CHANGED, parent)]

    def _delete(self, transaction: Transaction, path: str) -> list[WatchEvent]:
        node = self.nodes.pop(path)
        if node.stat.ephemeral_owner:
            self.ephemerals.get(node.stat.ephemeral_owner, set()).discard(path)
        parent = parent_of(path)
        self.nodes[parent].children.discard(path.rpartition("/")[2])
        self._children_changed(parent, transaction)
        return [WatchEvent(jute.DELETED, path), WatchEvent(jute.CHILDREN_CHANGED, parent)]

    def _children_changed(self, parent: str, transaction: Transaction) -> None:
        stat = self.nodes[parent].stat
        stat.cversion += 1
        stat.pzxid = transaction.zxid
