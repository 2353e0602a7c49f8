"""The tree of nodes that every member keeps: operations checked, transactions applied; no I/O.

The leader checks an operation against its tree and makes a transaction of it; every member applies transactions in
their order (zxid), which gives all the same tree and each its own watch events.
"""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass, field

from testbed.zookeeper import jute
from testbed.zookeeper.jute import Acl, Stat


class Refused(Exception):
    """An operation that is not done, with KeeperException's code."""

    def __init__(self, code: int) -> None:
        super().__init__(str(code))
        self.code = code


@dataclass(slots=True)
class Znode:
    data: bytes
    acl: tuple[Acl, ...]
    stat: Stat
    children: set[str] = field(default_factory=set)


# What transactions are made of: each is checked already, and applying it can't fail.


@dataclass(frozen=True, slots=True)
class Made:
    path: str
    data: bytes
    acl: tuple[Acl, ...]
    owner: int
    counted: bool = False  # whether its name took the parent's next number


@dataclass(frozen=True, slots=True)
class Removed:
    path: str


@dataclass(frozen=True, slots=True)
class DataSet:
    path: str
    data: bytes


@dataclass(frozen=True, slots=True)
class AclSet:
    path: str
    acl: tuple[Acl, ...]


@dataclass(frozen=True, slots=True)
class Checked:
    path: str


Change = Made | Removed | DataSet | AclSet | Checked


@dataclass(frozen=True, slots=True)
class Txn:
    """One transaction: all of its changes under one zxid."""

    zxid: int
    time_ms: int
    changes: tuple[Change, ...]
    closes: int = 0  # the session that ends with it


@dataclass(frozen=True, slots=True)
class Event:
    kind: int
    path: str


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


def digest(user_and_password: str) -> str:
    """A digest identity: user:base64(sha1(user:password))."""
    hashed = hashlib.sha1(user_and_password.encode()).digest()
    return f"{user_and_password.partition(':')[0]}:{base64.b64encode(hashed).decode()}"


class Tree:
    """One member's copy."""

    def __init__(self) -> None:
        self.nodes: dict[str, Znode] = {"/": Znode(b"", jute.OPEN, Stat())}
        self.ephemerals: dict[int, set[str]] = {}  # by session
        self.zxid = 0

    # -- Reads -----------------------------------------------------------------------------------------

    def node(self, path: str) -> Znode:
        try:
            return self.nodes[path]
        except KeyError:
            raise Refused(jute.NO_NODE) from None

    def stat(self, path: str) -> Stat:
        node = self.node(path)
        node.stat.length, node.stat.children = len(node.data), len(node.children)
        return node.stat

    def allow(self, path: str, perms: int, identities: set[tuple[str, str]]) -> None:
        """Raise Refused unless one of a client's identities has this permission at a node."""
        for acl in self.node(path).acl:
            if acl.perms & perms and ((acl.scheme, acl.ident) in identities or acl.scheme == "world"):
                return
        raise Refused(jute.NO_AUTH)

    # -- Transactions ----------------------------------------------------------------------------------

    def apply(self, txn: Txn) -> list[Event]:
        """Apply one; give the events that it causes, in order."""
        events: list[Event] = []
        for change in txn.changes:
            if isinstance(change, Made):
                events += self._make(txn, change)
            elif isinstance(change, Removed):
                events += self._remove(txn, change.path)
            elif isinstance(change, DataSet):
                node = self.nodes[change.path]
                node.data = change.data
                node.stat.version += 1
                node.stat.mzxid, node.stat.mtime = txn.zxid, txn.time_ms
                events.append(Event(jute.CHANGED, change.path))
            elif isinstance(change, AclSet):
                node = self.nodes[change.path]
                node.acl = change.acl
                node.stat.aversion += 1
        if txn.closes:
            for path in sorted(self.ephemerals.pop(txn.closes, ())):
                events += self._remove(txn, path)
        self.zxid = txn.zxid
        return events

    def _make(self, txn: Txn, made: Made) -> list[Event]:
        stat = Stat(txn.zxid, txn.zxid, txn.time_ms, txn.time_ms, owner=made.owner, pzxid=txn.zxid)
        self.nodes[made.path] = Znode(made.data, made.acl, stat)
        if made.owner:
            self.ephemerals.setdefault(made.owner, set()).add(made.path)
        parent = parent_of(made.path)
        self.nodes[parent].children.add(made.path.rpartition("/")[2])
        self._touch(parent, txn)
        return [Event(jute.CREATED, made.path), Event(jute.CHILDREN, parent)]

    def _remove(self, txn: Txn, path: str) -> list[Event]:
        node = self.nodes.pop(path)
        if node.stat.owner:
            self.ephemerals.get(node.stat.owner, set()).discard(path)
        parent = parent_of(path)
        self.nodes[parent].children.discard(path.rpartition("/")[2])
        self._touch(parent, txn)
        return [Event(jute.DELETED, path), Event(jute.CHILDREN, parent)]

    def _touch(self, parent: str, txn: Txn) -> None:
        stat = self.nodes[parent].stat
        stat.cversion += 1
        stat.pzxid = txn.zxid


@dataclass(frozen=True, slots=True)
class Asker:
    """Who asks for a change."""

    session: int
    identities: frozenset[tuple[str, str]]


def check_path(path: str) -> str:
    """A path as it may stand, or Refused."""
    parts = path.split("/")
    good = path == "/" or (path.startswith("/") and all(part not in ("", ".", "..") for part in parts[1:]))
    if not good or "\0" in path:
        raise Refused(jute.BAD_ARGUMENTS)
    return path


def resolve_acl(given: tuple[Acl, ...], asker: Asker) -> tuple[Acl, ...]:
    """What an ACL means for who sets it: `auth` stands for all that it has shown."""
    made: list[Acl] = []
    for acl in given:
        if acl.scheme == "auth":
            made += [
                Acl(acl.perms, *identity) for identity in sorted(asker.identities) if identity[0] != "world"
            ]
        elif acl.scheme in ("world", "digest", "ip"):
            made.append(acl)
        else:
            raise Refused(jute.INVALID_ACL)
    if not made:
        raise Refused(jute.INVALID_ACL)
    return tuple(made)


class Draft:
    """Checks operations one after another, each seeing what those before it in its transaction did."""

    def __init__(self, tree: Tree, zxid: int, time_ms: int, asker: Asker) -> None:
        self._tree = tree
        self._asker = asker
        self._zxid = zxid
        self._time_ms = time_ms
        self.changes: list[Change] = []
        self.results: list[tuple[int, str]] = []  # operation and path of each
        self._made: dict[str, Made | None] = {}  # of this draft; None: removed by it
        self._children: dict[str, int] = {}  # how many more (or fewer) a parent has
        self._counters: dict[str, int] = {}
        self._versions: dict[str, int] = {}  # how often data was set

    def _exists(self, path: str) -> bool:
        if path in self._made:
            return self._made[path] is not None
        return path in self._tree.nodes

    def _need(self, path: str) -> None:
        if not self._exists(path):
            raise Refused(jute.NO_NODE)

    def _allow(self, path: str, perms: int) -> None:
        if path not in self._made:  # what this draft made is its own
            self._tree.allow(path, perms, set(self._asker.identities))

    def _owner(self, path: str) -> int:
        made = self._made.get(path)
        return made.owner if made is not None else self._tree.node(path).stat.owner

    def _version(self, path: str) -> int:
        before = self._tree.nodes[path].stat.version if path not in self._made else 0
        return before + self._versions.get(path, 0)

    def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int) -> None:
        if path == "/":
            raise Refused(jute.NODE_EXISTS)
        parent = parent_of(check_path(path + "0" if flags & jute.SEQUENTIAL else path))
        self._need(parent)
        self._allow(parent, jute.MAY_CREATE)
        if self._owner(parent):
            raise Refused(jute.NO_CHILDREN_FOR_EPHEMERALS)
        if flags & jute.SEQUENTIAL:
            number = self._counters.setdefault(parent, self._counter(parent))
            path = f"{path}{number:010d}"
        if self._exists(path):
            raise Refused(jute.NODE_EXISTS)
        owner = self._asker.session if flags & jute.EPHEMERAL else 0
        made = Made(path, data, resolve_acl(acl, self._asker), owner)
        self._made[path] = made
        self._counters[parent] = self._counters.get(parent, self._counter(parent)) + 1
        self._children[parent] = self._children.get(parent, 0) + 1
        self.changes.append(made)
        self.results.append((jute.CREATE, path))

    def _counter(self, parent: str) -> int:
        """The next number of a sequential child: the parent's cversion, as the server counts it."""
        node = self._tree.nodes.get(parent)
        return node.stat.cversion if node is not None else 0

    def delete(self, path: str, version: int) -> None:
        self._need(check_path(path))
        parent = parent_of(path)
        self._allow(parent, jute.MAY_DELETE)
        if version not in (-1, self._version(path)):
            raise Refused(jute.BAD_VERSION)
        here = self._tree.nodes.get(path)
        count = (
            len(here.children) if here is not None and path not in self._made else 0
        ) + self._children.get(path, 0)
        if count:
            raise Refused(jute.NOT_EMPTY)
        self._made[path] = None
        self._children[parent] = self._children.get(parent, 0) - 1
        self._counters[parent] = self._counters.get(parent, self._counter(parent)) + 1
        self.changes.append(Removed(path))
        self.results.append((jute.DELETE, path))

    def set_data(self, path: str, data: bytes, version: int) -> None:
        self.check(path, version, jute.WRITE)
        self._versions[path] = self._versions.get(path, 0) + 1
        self.changes.append(DataSet(path, data))
        self.results[-1] = (jute.SET_DATA, path)

    def set_acl(self, path: str, acl: tuple[Acl, ...], version: int) -> None:
        self._need(check_path(path))
        self._allow(path, jute.ADMIN)
        if version not in (-1, self._tree.node(path).stat.aversion):
            raise Refused(jute.BAD_VERSION)
        self.changes.append(AclSet(path, resolve_acl(acl, self._asker)))
        self.results.append((jute.SET_ACL, path))

    def check(self, path: str, version: int, perms: int = jute.READ) -> None:
        self._need(check_path(path))
        self._allow(path, perms)
        if version not in (-1, self._version(path)):
            raise Refused(jute.BAD_VERSION)
        self.results.append((jute.CHECK, path))

    def txn(self, closes: int = 0) -> Txn:
        return Txn(self._zxid, self._time_ms, tuple(self.changes), closes)
