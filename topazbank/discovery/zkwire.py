"""ZooKeeper's wire protocol, the client's side: records written and read; no I/O.

By zookeeper.jute and ZooDefs.java of the published source; the operations that membership needs, and no others.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum, unique

_INT = struct.Struct("!i")
_HEADER = struct.Struct("!iqi")
_STAT = struct.Struct("!qqqqiiiqiiq")

MESSAGE_MOST = 4 * 1024 * 1024  # bytes of a reply: the children of one node, some 40,000 names
WATCHES_MOST = 128 * 1024  # bytes of paths in one record that sets watches anew; servers take 1 MiB
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8
ANY_VERSION = -1
EPHEMERAL, SEQUENTIAL = 1, 2  # bits of create's flags


@unique
class Op(IntEnum):
    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    AUTH = 100
    SET_WATCHES = 101
    CLOSE = -11


@unique
class Code(IntEnum):
    """KeeperException's codes, those that are told apart here."""

    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NODE_EXISTS = -110
    SESSION_EXPIRED = -112
    AUTH_FAILED = -115
    SESSION_MOVED = -118


@unique
class Happened(IntEnum):
    """What a watch tells."""

    CREATED = 1
    DELETED = 2
    CHANGED = 3
    CHILDREN = 4


class BadRecord(Exception):
    """Bytes of a server that are no record."""


@dataclass(frozen=True, slots=True)
class Stat:
    """A node's versions; times in milliseconds of Unix time, by the leader's clock."""

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    owner: int
    length: int
    children: int
    pzxid: int


@dataclass(frozen=True, slots=True)
class Acl:
    perms: int
    scheme: str
    ident: str


ALL_PERMS, READ_PERM = 31, 1
OPEN_ACL = (Acl(ALL_PERMS, "world", "anyone"),)
CREATOR_ACL = (Acl(ALL_PERMS, "auth", ""), Acl(READ_PERM, "world", "anyone"))


def framed(data: bytes) -> bytes:
    return _INT.pack(len(data)) + data


def buffer(value: bytes) -> bytes:
    return _INT.pack(len(value)) + value


def text(value: str) -> bytes:
    return buffer(value.encode())


def texts(values: list[str]) -> bytes:
    return _INT.pack(len(values)) + b"".join(map(text, values))


def flag(value: bool) -> bytes:
    return b"\1" if value else b"\0"


def connect_request(seen_zxid: int, timeout_ms: int, session: int, password: bytes) -> bytes:
    return framed(struct.pack("!iqiq", 0, seen_zxid, timeout_ms, session) + buffer(password) + flag(False))


def request(xid: int, op: int, body: bytes = b"") -> bytes:
    return framed(struct.pack("!ii", xid, op) + body)


def create(path: str, data: bytes, acl: tuple[Acl, ...], flags: int) -> bytes:
    acls = b"".join(_INT.pack(each.perms) + text(each.scheme) + text(each.ident) for each in acl)
    return text(path) + buffer(data) + _INT.pack(len(acl)) + acls + _INT.pack(flags)


def with_version(path: str, version: int) -> bytes:
    return text(path) + _INT.pack(version)


def set_data(path: str, data: bytes, version: int) -> bytes:
    return text(path) + buffer(data) + _INT.pack(version)


def auth(secret: str) -> bytes:
    return _INT.pack(0) + text("digest") + buffer(secret.encode())


def set_watches(seen_zxid: int, data: list[str], exists: list[str], children: list[str]) -> bytes:
    return struct.pack("!q", seen_zxid) + texts(data) + texts(exists) + texts(children)


class Record:
    """Reads one record from the front."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def _unpack(self, form: struct.Struct) -> tuple[int, ...]:
        try:
            values: tuple[int, ...] = form.unpack_from(self._data, self._at)
        except struct.error:
            raise BadRecord("a record ends early") from None
        self._at += form.size
        return values

    def header(self) -> tuple[int, int, int]:
        """Transaction id of the request, the server's last zxid, error."""
        xid, zxid, error = self._unpack(_HEADER)
        return xid, zxid, error

    def number(self) -> int:
        return self._unpack(_INT)[0]

    def buffer(self) -> bytes:
        size = self.number()
        if size < -1 or self._at + size > len(self._data):
            raise BadRecord("a record ends early")
        self._at += max(size, 0)
        return self._data[self._at - max(size, 0) : self._at]

    def text(self) -> str:
        try:
            return self.buffer().decode()
        except UnicodeDecodeError:
            raise BadRecord("a text is not UTF-8") from None

    def texts(self, count: int) -> list[str]:
        """The next texts of a list, whose count was read before."""
        found = []
        data, at = self._data, self._at
        try:
            for _ in range(count):  # in one loop: a list of names can hold thousands
                end = at + 4 + max(_INT.unpack_from(data, at)[0], 0)
                if end > len(data):
                    raise BadRecord("a record ends early")
                found.append(data[at + 4 : end].decode())
                at = end
        except struct.error:
            raise BadRecord("a record ends early") from None
        except UnicodeDecodeError:
            raise BadRecord("a text is not UTF-8") from None
        self._at = at
        return found

    def stat(self) -> Stat:
        return Stat(*self._unpack(_STAT))

    def connected(self) -> tuple[int, int, bytes]:
        """Of the handshake: time-out in milliseconds (0: the session is over), session, password."""
        _, timeout_ms, session = self._unpack(struct.Struct("!iiq"))
        return timeout_ms, session, self.buffer()


class Splitter:
    """Splits what a server sends into records."""

    def __init__(self) -> None:
        self._held = bytearray()  # less than a record; bounded by MESSAGE_MOST

    def feed(self, data: bytes) -> list[bytes]:
        self._held += data
        records = []
        at = 0
        while len(self._held) - at >= 4:
            size = _INT.unpack_from(self._held, at)[0]
            if not 0 <= size <= MESSAGE_MOST:
                raise BadRecord(f"a record of {size} bytes")
            if len(self._held) - at - 4 < size:
                break
            records.append(bytes(self._held[at + 4 : at + 4 + size]))
            at += 4 + size
        del self._held[:at]
        return records
