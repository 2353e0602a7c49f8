"""The leader's validation, without I/O: turns a client's operations into one transaction or raises RequestError."""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass

from testbed.zookeeper import jute
from testbed.zookeeper.jute import ANY_VERSION, Acl
from testbed.zookeeper.tree import (
    AclReplaced,
    Change,
    DataReplaced,
    Identity,
    NodeCreated,
    NodeDeleted,
    RequestError,
    Transaction,
    Tree,
    parent_of,
)


@dataclass(frozen=True, slots=True)
class Requester:
    """The session that requests a change, and its authenticated identities."""

    session_id: int
    identities: frozenset[Identity]


@dataclass(frozen=True, slots=True)
class OperationResult:
    """The result of one operation; for a sequential create, the path includes the sequence number."""

    operation: int
    path: str


def digest_identity(user_and_password: str) -> str:
    """Return the id of the digest scheme: user:base64(sha1(user:password))."""
    hashed = hashlib.sha1(user_and_password.encode()).digest()
    return f"{user_and_password.partition(':')[0]}:{base64.b64encode(hashed).decode()}"


def check_path(path: str) -> str:
    """Return the path if it is valid; otherwise raise RequestError."""
    parts = path.split("/")
    valid = path == "/" or (path.startswith("/") and all(part not in ("", ".", "..") for part in parts[1:]))
    if not valid or "\0" in path:
        raise RequestError(jute.BAD_ARGUMENTS)
    return path


def resolve_acl(acl: tuple[Acl, ...], requester: Requester) -> tuple[Acl, ...]:
    """Expand entries of scheme `auth` to all authenticated identities of the requester."""
    resolved: list[Acl] = []
    for entry in acl:
        if entry.scheme == "auth":
            authenticated = sorted(identity for identity in requester.identities if identity[0] != "world")
            resolved += [Acl(entry.permissions, *identity) for identity in authenticated]
        elif entry.scheme in ("world", "digest", "ip"):
            resolved.append(entry)
        else:
            raise RequestError(jute.INVALID_ACL)
    if not resolved:
        raise RequestError(jute.INVALID_ACL)
    return tuple(resolved)


class TransactionBuilder:
    """Validates operations in order; each sees the changes of earlier operations in the transaction."""

    def __init__(self, tree: Tree, zxid: int, time_ms: int, requester: Requester) -> None:
        self._tree = tree
        self._requester = requester
        self._zxid = zxid
        self._time_ms = time_ms
        self.changes: list[Change] = []
        self.results: list[OperationResult] = []
        # Uncommitted changes of this transaction, by path.
        self._nodes: dict[str, NodeCreated | None] = {}  # None: deleted
        self._child_count_changes: dict[str, int] = {}
        self._next_sequences: dict[str, int] = {}  # numbers for sequential children
        self._version_changes: dict[str, int] = {}  # number of data replacements

    # -- Operations ------------------------------------------------------------------------------------

    def create(self, path: str, data: bytes, acl: tuple[Acl, ...], flags: int) -> None:
        """Create a znode; the parent's next sequence number is appended to the path of a sequential znode."""
        if path == "/":
            raise RequestError(jute.NODE_EXISTS)
        parent = parent_of(check_path(path + "0" if flags & jute.SEQUENTIAL else path))
        self._check_exists(parent)
        self._check_permission(parent, jute.CREATE_PERMISSION)
        if self._owner(parent):
            raise RequestError(jute.NO_CHILDREN_FOR_EPHEMERALS)
        if flags & jute.SEQUENTIAL:
            path = f"{path}{self._next_sequence(parent):010d}"
        if self._exists(path):
            raise RequestError(jute.NODE_EXISTS)
        owner = self._requester.session_id if flags & jute.EPHEMERAL else 0
        created = NodeCreated(path, data, resolve_acl(acl, self._requester), owner)
        self._nodes[path] = created
        self._children_changed(parent, 1)
        self.changes.append(created)
        self.results.append(OperationResult(jute.CREATE, path))

    def delete(self, path: str, version: int) -> None:
        """Delete a znode without children."""
        self._check_exists(check_path(path))
        parent = parent_of(path)
        self._check_permission(parent, jute.DELETE_PERMISSION)
        self._check_version(version, self._version(path))
        if self._child_count(path):
            raise RequestError(jute.NOT_EMPTY)
        self._nodes[path] = None
        self._children_changed(parent, -1)
        self.changes.append(NodeDeleted(path))
        self.results.append(OperationResult(jute.DELETE, path))

    def set_data(self, path: str, data: bytes, version: int) -> None:
        """Replace a znode's data."""
        self._check_node(path, version, jute.WRITE_PERMISSION)
        self._version_changes[path] = self._version_changes.get(path, 0) + 1
        self.changes.append(DataReplaced(path, data))
        self.results.append(OperationResult(jute.SET_DATA, path))

    def set_acl(self, path: str, acl: tuple[Acl, ...], version: int) -> None:
        """Replace a znode's access control list."""
        self._check_exists(check_path(path))
        self._check_permission(path, jute.ADMIN_PERMISSION)
        self._check_version(version, self._tree.node(path).stat.aversion)
        self.changes.append(AclReplaced(path, resolve_acl(acl, self._requester)))
        self.results.append(OperationResult(jute.SET_ACL, path))

    def check(self, path: str, version: int) -> None:
        """Reject the transaction unless a znode exists at this version."""
        self._check_node(path, version, jute.READ_PERMISSION)
        self.results.append(OperationResult(jute.CHECK, path))

    def finish(self, closed_session: int = 0) -> Transaction:
        """Return the transaction with all operations so far."""
        return Transaction(self._zxid, self._time_ms, tuple(self.changes), closed_session)

    # -- Checks ----------------------------------------------------------------------------------------

    def _check_node(self, path: str, version: int, permission: int) -> None:
        self._check_exists(check_path(path))
        self._check_permission(path, permission)
        self._check_version(version, self._version(path))

    def _check_exists(self, path: str) -> None:
        if not self._exists(path):
            raise RequestError(jute.NO_NODE)

    def _check_permission(self, path: str, permission: int) -> None:
        if path not in self._nodes:  # the requester has all permissions on znodes that it creates here
            self._tree.check_permission(path, permission, set(self._requester.identities))

    @staticmethod
    def _check_version(requested: int, version: int) -> None:
        if requested not in (ANY_VERSION, version):
            raise RequestError(jute.BAD_VERSION)

    # -- State after the operations so far -------------------------------------------------------------

    def _exists(self, path: str) -> bool:
        if path in self._nodes:
            return self._nodes[path] is not None
        return path in self._tree.nodes

    def _owner(self, path: str) -> int:
        created = self._nodes.get(path)
        return created.owner if created is not None else self._tree.node(path).stat.ephemeral_owner

    def _version(self, path: str) -> int:
        committed = self._tree.nodes[path].stat.version if path not in self._nodes else 0
        return committed + self._version_changes.get(path, 0)

    def _child_count(self, path: str) -> int:
        node = self._tree.nodes.get(path)
        committed = len(node.children) if node is not None and path not in self._nodes else 0
        return committed + self._child_count_changes.get(path, 0)

    def _children_changed(self, parent: str, count: int) -> None:
        self._next_sequences[parent] = self._next_sequence(parent) + 1
        self._child_count_changes[parent] = self._child_count_changes.get(parent, 0) + count

    def _next_sequence(self, parent: str) -> int:
        """Return the number of the next sequential child, which is the parent's cversion."""
        node = self._tree.nodes.get(parent)
        return self._next_sequences.get(parent, node.stat.cversion if node is not None else 0)
