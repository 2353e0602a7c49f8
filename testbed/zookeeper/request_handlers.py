"""Request handlers of a member: reads use its own tree, changes go through the leader.

A handler returns the body of the reply.  It raises RequestError with the error code to reply, UnavailableError if the
connection must be closed, or MalformedRecordError.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from testbed.zookeeper import jute
from testbed.zookeeper.ensemble import UnavailableError
from testbed.zookeeper.jute import RecordReader, RecordWriter
from testbed.zookeeper.transactions import Requester, TransactionBuilder, check_path, digest_identity
from testbed.zookeeper.tree import RequestError, WatchEvent

if TYPE_CHECKING:
    from testbed.zookeeper.connection import Connection
    from testbed.zookeeper.member import WatchTable

Handler = Callable[["Connection", RecordReader], Awaitable[bytes]]
Operation = Callable[[TransactionBuilder], None]


def _set_watch(connection: Connection, table: WatchTable, path: str) -> None:
    table.setdefault(path, set()).add(connection)


# -- Reads -------------------------------------------------------------------------------------------


async def _ping(connection: Connection, request: RecordReader) -> bytes:
    return b""


async def _exists(connection: Connection, request: RecordReader) -> bytes:
    path, watch = check_path(request.read_string()), request.read_bool()
    if watch:
        _set_watch(connection, connection.member.data_watches, path)
    return connection.member.tree.stat(path).encode()


async def _get_data(connection: Connection, request: RecordReader) -> bytes:
    path, watch = check_path(request.read_string()), request.read_bool()
    tree = connection.member.tree
    tree.check_permission(path, jute.READ_PERMISSION, connection.identities)
    if watch:
        _set_watch(connection, connection.member.data_watches, path)
    reply = RecordWriter().write_buffer(tree.node(path).data)
    return reply.write_encoded(tree.stat(path).encode()).finish()


async def _get_acl(connection: Connection, request: RecordReader) -> bytes:
    path = check_path(request.read_string())
    tree = connection.member.tree
    reply = RecordWriter().write_acl(tree.node(path).acl)
    return reply.write_encoded(tree.stat(path).encode()).finish()


def _read_children(connection: Connection, request: RecordReader) -> tuple[str, RecordWriter]:
    path, watch = check_path(request.read_string()), request.read_bool()
    tree = connection.member.tree
    tree.check_permission(path, jute.READ_PERMISSION, connection.identities)
    if watch:
        _set_watch(connection, connection.member.child_watches, path)
    return path, RecordWriter().write_strings(sorted(tree.node(path).children))


async def _get_children(connection: Connection, request: RecordReader) -> bytes:
    _, reply = _read_children(connection, request)
    return reply.finish()


async def _get_children2(connection: Connection, request: RecordReader) -> bytes:
    path, reply = _read_children(connection, request)
    return reply.write_encoded(connection.member.tree.stat(path).encode()).finish()


async def _sync(connection: Connection, request: RecordReader) -> bytes:
    """Wait until this member has applied all transactions that the leader has committed."""
    path = request.read_string()
    ensemble, member = connection.ensemble, connection.member
    if not ensemble.may_write(member):
        raise UnavailableError
    assert ensemble.leader is not None
    await member.wait_applied(ensemble.leader.tree.zxid)
    return RecordWriter().write_string(path).finish()


async def _set_watches(connection: Connection, request: RecordReader) -> bytes:
    """Restore watches after a reconnect; changes since the client's last zxid are reported immediately."""
    last_zxid, member = request.read_long(), connection.member
    for path in request.read_strings():  # data watches
        node = member.tree.nodes.get(path)
        if node is None:
            connection.send_watch_event(WatchEvent(jute.DELETED, path))
        elif node.stat.mzxid > last_zxid:
            connection.send_watch_event(WatchEvent(jute.DATA_CHANGED, path))
        else:
            _set_watch(connection, member.data_watches, path)
    for path in request.read_strings():  # watches on znodes that did not exist
        if path in member.tree.nodes:
            connection.send_watch_event(WatchEvent(jute.CREATED, path))
        else:
            _set_watch(connection, member.data_watches, path)
    for path in request.read_strings():  # child watches
        node = member.tree.nodes.get(path)
        if node is None:
            connection.send_watch_event(WatchEvent(jute.DELETED, path))
        elif node.stat.pzxid > last_zxid:
            connection.send_watch_event(WatchEvent(jute.CHILDREN_CHANGED, path))
        else:
            _set_watch(connection, member.child_watches, path)
    return b""


async def _auth(connection: Connection, request: RecordReader) -> bytes:
    request.read_int()
    scheme, secret = request.read_string(), request.read_buffer() or b""
    if scheme != "digest" or b":" not in secret:
        raise RequestError(jute.AUTH_FAILED)
    connection.identities.add(("digest", digest_identity(secret.decode())))
    return b""


# -- Changes -----------------------------------------------------------------------------------------


async def commit(connection: Connection, build: Operation, closed_session: int = 0) -> TransactionBuilder:
    """Submit a client's change and wait for its commit; see Ensemble.submit."""
    requester = Requester(connection.session_id, frozenset(connection.identities))
    return await connection.ensemble.submit(connection.member, requester, build, closed_session)


def _read_operation(operation: int, request: RecordReader) -> Operation:
    path = request.read_string()
    if operation in (jute.CREATE, jute.CREATE2):
        data, acl, flags = request.read_buffer() or b"", request.read_acl(), request.read_int()
        return lambda builder: builder.create(path, data, acl, flags)
    if operation == jute.SET_DATA:
        data, version = request.read_buffer() or b"", request.read_int()
        return lambda builder: builder.set_data(path, data, version)
    if operation == jute.SET_ACL:
        acl, version = request.read_acl(), request.read_int()
        return lambda builder: builder.set_acl(path, acl, version)
    version = request.read_int()
    if operation == jute.DELETE:
        return lambda builder: builder.delete(path, version)
    return lambda builder: builder.check(path, version)


async def _commit_operation(connection: Connection, operation: int, request: RecordReader) -> str:
    """Commit a transaction of one operation; return its path."""
    builder = await commit(connection, _read_operation(operation, request))
    return builder.results[0].path


async def _create(connection: Connection, request: RecordReader) -> bytes:
    path = await _commit_operation(connection, jute.CREATE, request)
    return RecordWriter().write_string(path).finish()


async def _create2(connection: Connection, request: RecordReader) -> bytes:
    path = await _commit_operation(connection, jute.CREATE2, request)
    stat = connection.member.tree.stat(path)
    return RecordWriter().write_string(path).write_encoded(stat.encode()).finish()


async def _delete(connection: Connection, request: RecordReader) -> bytes:
    await _commit_operation(connection, jute.DELETE, request)
    return b""


async def _set_data(connection: Connection, request: RecordReader) -> bytes:
    path = await _commit_operation(connection, jute.SET_DATA, request)
    return connection.member.tree.stat(path).encode()


async def _set_acl(connection: Connection, request: RecordReader) -> bytes:
    path = await _commit_operation(connection, jute.SET_ACL, request)
    return connection.member.tree.stat(path).encode()


@dataclass(frozen=True, slots=True)
class _MultiOperation:
    operation: int
    build: Operation


def _read_multi(request: RecordReader) -> list[_MultiOperation]:
    operations: list[_MultiOperation] = []
    while True:
        operation, is_last, _ = request.read_int(), request.read_bool(), request.read_int()
        if is_last:
            return operations
        operations.append(_MultiOperation(operation, _read_operation(operation, request)))


async def _multi(connection: Connection, request: RecordReader) -> bytes:
    """Commit all operations or none; an error reply includes the code of the operation that failed."""
    operations = _read_multi(request)
    current = -1

    def build(builder: TransactionBuilder) -> None:
        nonlocal current
        for index, operation in enumerate(operations):
            current = index
            operation.build(builder)

    reply = RecordWriter()
    try:
        builder = await commit(connection, build)
    except RequestError as error:
        _write_multi_errors(reply, len(operations), current, error.code)
    else:
        _write_multi_results(reply, connection, operations, builder)
    return reply.write_int(jute.ERROR).write_bool(True).write_int(-1).finish()


def _write_multi_errors(reply: RecordWriter, count: int, failed: int, code: int) -> None:
    for index in range(count):
        result = jute.OK if index < failed else code if index == failed else jute.RUNTIME_INCONSISTENCY
        reply.write_int(jute.ERROR).write_bool(False).write_int(result).write_int(result)


def _write_multi_results(
    reply: RecordWriter,
    connection: Connection,
    operations: list[_MultiOperation],
    builder: TransactionBuilder,
) -> None:
    for requested, result in zip(operations, builder.results, strict=True):
        reply.write_int(requested.operation).write_bool(False).write_int(jute.OK)
        if requested.operation in (jute.CREATE, jute.CREATE2):
            reply.write_string(result.path)
        if requested.operation in (jute.SET_DATA, jute.CREATE2):
            reply.write_encoded(connection.member.tree.stat(result.path).encode())


HANDLERS: dict[int, Handler] = {
    jute.PING: _ping,
    jute.EXISTS: _exists,
    jute.GET_DATA: _get_data,
    jute.GET_ACL: _get_acl,
    jute.GET_CHILDREN: _get_children,
    jute.GET_CHILDREN2: _get_children2,
    jute.SYNC: _sync,
    jute.SET_WATCHES: _set_watches,
    jute.AUTH: _auth,
    jute.CREATE: _create,
    jute.CREATE2: _create2,
    jute.DELETE: _delete,
    jute.SET_DATA: _set_data,
    jute.SET_ACL: _set_acl,
    jute.MULTI: _multi,
}
