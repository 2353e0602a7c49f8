"""ZooKeeper's wire records (zookeeper.jute, ZooDefs.java): reading and writing; no I/O.

Integers are big-endian; buffers, texts and vectors begin with an int for their length, -1 for none.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

_INT, _LONG = struct.Struct("!i"), struct.Struct("!q")

# Operation codes (ZooDefs.OpCode).
CREATE, DELETE, EXISTS, GET_DATA, SET_DATA = 1, 2, 3, 4, 5
GET_ACL, SET_ACL, GET_CHILDREN, SYNC, PING, GET_CHILDREN2 = 6, 7, 8, 9, 11, 12
CHECK, MULTI, CREATE2, AUTH, SET_WATCHES, CLOSE, ERROR = 13, 14, 15, 100, 101, -11, -1

# Reserved transaction ids of headers.
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8

# Errors (KeeperException.Code).
OK, RUNTIME_INCONSISTENCY, MARSHALLING, UNIMPLEMENTED, BAD_ARGUMENTS = 0, -2, -5, -6, -8
NO_NODE, NO_AUTH, BAD_VERSION, NO_CHILDREN_FOR_EPHEMERALS = -101, -102, -103, -108
NODE_EXISTS, NOT_EMPTY, SESSION_EXPIRED, INVALID_ACL, AUTH_FAILED = -110, -111, -112, -114, -115
SESSION_MOVED, NOT_READ_ONLY = -118, -119

# Watch events (Watcher.Event) and the state that all of them tell.
CREATED, DELETED, CHANGED, CHILDREN = 1, 2, 3, 4
SYNC_CONNECTED = 3

# Permissions (ZooDefs.Perms).
READ, WRITE, MAY_CREATE, MAY_DELETE, ADMIN, ALL = 1, 2, 4, 8, 16, 31

EPHEMERAL, SEQUENTIAL = 1, 2  # bits of create's flags

MESSAGE_MOST = 1024 * 1024 + 1024  # bytes of a request: jute.maxbuffer's default, and a header


class Malformed(Exception):
    """Bytes that are no record."""


@dataclass(frozen=True, slots=True)
class Acl:
    perms: int
    scheme: str
    ident: str


OPEN = (Acl(ALL, "world", "anyone"),)


@dataclass(slots=True)
class Stat:
    """A node's versions and times, as every read tells them."""

    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0  # ms
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    owner: int = 0  # the session of an ephemeral node
    length: int = 0
    children: int = 0
    pzxid: int = 0

    def write(self) -> bytes:
        return struct.pack(
            "!qqqqiiiqiiq",
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            self.aversion,
            self.owner,
            self.length,
            self.children,
            self.pzxid,
        )


class Reading:
    """Reads one record; raise Malformed where it ends early or holds nonsense."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def _take(self, size: int) -> bytes:
        if size < 0 or self._at + size > len(self._data):
            raise Malformed("a record ends early")
        self._at += size
        return self._data[self._at - size : self._at]

    def i32(self) -> int:
        return int(_INT.unpack(self._take(4))[0])

    def i64(self) -> int:
        return int(_LONG.unpack(self._take(8))[0])

    def flag(self) -> bool:
        return self._take(1) != b"\0"

    def buffer(self) -> bytes | None:
        size = self.i32()
        return None if size == -1 else self._take(size)

    def text(self) -> str:
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise Malformed("a text is not UTF-8") from None

    def texts(self) -> list[str]:
        return [self.text() for _ in range(self._count())]

    def acls(self) -> tuple[Acl, ...]:
        return tuple(Acl(self.i32(), self.text(), self.text()) for _ in range(self._count()))

    def _count(self) -> int:
        count = self.i32()
        if count > len(self._data):
            raise Malformed("a vector is longer than its record")
        return max(count, 0)

    def is_done(self) -> bool:
        return self._at == len(self._data)


@dataclass(slots=True)
class Writing:
    """Writes one record."""

    parts: list[bytes] = field(default_factory=list)

    def i32(self, *values: int) -> Writing:
        self.parts += [_INT.pack(each) for each in values]
        return self

    def i64(self, *values: int) -> Writing:
        self.parts += [_LONG.pack(each) for each in values]
        return self

    def flag(self, value: bool) -> Writing:
        self.parts.append(b"\1" if value else b"\0")
        return self

    def buffer(self, value: bytes | None) -> Writing:
        return self.i32(-1) if value is None else self.i32(len(value)).raw(value)

    def raw(self, value: bytes) -> Writing:
        self.parts.append(value)
        return self

    def text(self, value: str) -> Writing:
        return self.buffer(value.encode())

    def texts(self, values: list[str]) -> Writing:
        self.i32(len(values))
        for each in values:
            self.text(each)
        return self

    def acls(self, values: tuple[Acl, ...]) -> Writing:
        self.i32(len(values))
        for each in values:
            self.i32(each.perms).text(each.scheme).text(each.ident)
        return self

    def done(self) -> bytes:
        return b"".join(self.parts)


def framed(data: bytes) -> bytes:
    """A record as it goes over the wire: its length before it."""
    return _INT.pack(len(data)) + data


def reply(xid: int, zxid: int, error: int, body: bytes = b"") -> bytes:
    return framed(struct.pack("!iqi", xid, zxid, error) + body)


def watch_event(kind: int, path: str) -> bytes:
    return reply(WATCH_XID, -1, OK, Writing().i32(kind, SYNC_CONNECTED).text(path).done())
