"""Server-side codec of ZooKeeper's wire records (zookeeper.jute, ZooDefs.java), without I/O.

Integers are big-endian.  Buffers, strings and vectors start with their length as an int; -1 is null.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

_INT, _LONG = struct.Struct("!i"), struct.Struct("!q")
_NULL_LENGTH = -1

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

# Watch events (Watcher.Event) and the session state included in each event.
CREATED, DELETED, DATA_CHANGED, CHILDREN_CHANGED = 1, 2, 3, 4
SYNC_CONNECTED = 3

# Permissions (ZooDefs.Perms).
READ_PERMISSION, WRITE_PERMISSION, CREATE_PERMISSION, DELETE_PERMISSION, ADMIN_PERMISSION = 1, 2, 4, 8, 16
ALL_PERMISSIONS = 31

ANY_VERSION = -1
EPHEMERAL, SEQUENTIAL = 1, 2  # bits of create's flags

REQUEST_BYTES_MAX = 1024 * 1024 + 1024  # default of jute.maxbuffer plus a header


class MalformedRecordError(Exception):
    """A client sent bytes that violate the protocol."""


@dataclass(frozen=True, slots=True)
class Acl:
    """One entry of an access control list."""

    permissions: int
    scheme: str
    identity: str


OPEN_ACL = (Acl(ALL_PERMISSIONS, "world", "anyone"),)


@dataclass(slots=True)
class Stat:
    """A znode's metadata, as every read returns it; times in milliseconds."""

    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    ephemeral_owner: int = 0  # session id; 0: persistent znode
    data_length: int = 0
    child_count: int = 0
    pzxid: int = 0

    def encode(self) -> bytes:
        """Encode the record for the wire."""
        return struct.pack(
            "!qqqqiiiqiiq",
            self.czxid,
            self.mzxid,
            self.ctime,
            self.mtime,
            self.version,
            self.cversion,
            self.aversion,
            self.ephemeral_owner,
            self.data_length,
            self.child_count,
            self.pzxid,
        )


class RecordReader:
    """Reads one record sequentially; the read methods raise MalformedRecordError."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def _read_bytes(self, size: int) -> bytes:
        if size < 0 or self._offset + size > len(self._data):
            raise MalformedRecordError("truncated record")
        self._offset += size
        return self._data[self._offset - size : self._offset]

    def read_int(self) -> int:
        """Read a 32-bit integer."""
        return int(_INT.unpack(self._read_bytes(_INT.size))[0])

    def read_long(self) -> int:
        """Read a 64-bit integer."""
        return int(_LONG.unpack(self._read_bytes(_LONG.size))[0])

    def read_bool(self) -> bool:
        """Read a one-byte boolean."""
        return self._read_bytes(1) != b"\0"

    def read_buffer(self) -> bytes | None:
        """Read a byte string; None for null."""
        size = self.read_int()
        return None if size == _NULL_LENGTH else self._read_bytes(size)

    def read_string(self) -> str:
        """Read a UTF-8 string; empty for null."""
        try:
            return (self.read_buffer() or b"").decode()
        except UnicodeDecodeError:
            raise MalformedRecordError("string is not valid UTF-8") from None

    def read_strings(self) -> list[str]:
        """Read a vector of strings."""
        return [self.read_string() for _ in range(self._read_count())]

    def read_acl(self) -> tuple[Acl, ...]:
        """Read an access control list."""
        count = self._read_count()
        return tuple(Acl(self.read_int(), self.read_string(), self.read_string()) for _ in range(count))

    def _read_count(self) -> int:
        count = self.read_int()
        if count > len(self._data):
            raise MalformedRecordError("vector is longer than its record")
        return max(count, 0)

    def is_at_end(self) -> bool:
        """Return whether the record has been read completely."""
        return self._offset == len(self._data)


@dataclass(slots=True)
class RecordWriter:
    """Writes one record; each method returns the writer."""

    parts: list[bytes] = field(default_factory=list)

    def write_int(self, *values: int) -> RecordWriter:
        """Write 32-bit integers."""
        self.parts += [_INT.pack(value) for value in values]
        return self

    def write_long(self, *values: int) -> RecordWriter:
        """Write 64-bit integers."""
        self.parts += [_LONG.pack(value) for value in values]
        return self

    def write_bool(self, value: bool) -> RecordWriter:
        """Write a one-byte boolean."""
        return self.write_encoded(b"\1" if value else b"\0")

    def write_buffer(self, value: bytes | None) -> RecordWriter:
        """Write a byte string; None is encoded as null."""
        if value is None:
            return self.write_int(_NULL_LENGTH)
        return self.write_int(len(value)).write_encoded(value)

    def write_encoded(self, value: bytes) -> RecordWriter:
        """Write bytes that are already encoded."""
        self.parts.append(value)
        return self

    def write_string(self, value: str) -> RecordWriter:
        """Write a string as UTF-8."""
        return self.write_buffer(value.encode())

    def write_strings(self, values: list[str]) -> RecordWriter:
        """Write a vector of strings."""
        self.write_int(len(values))
        for value in values:
            self.write_string(value)
        return self

    def write_acl(self, acl: tuple[Acl, ...]) -> RecordWriter:
        """Write an access control list."""
        self.write_int(len(acl))
        for entry in acl:
            self.write_int(entry.permissions).write_string(entry.scheme).write_string(entry.identity)
        return self

    def finish(self) -> bytes:
        """Return the encoded record."""
        return b"".join(self.parts)


def encode_frame(data: bytes) -> bytes:
    """Prefix a record with its length."""
    return _INT.pack(len(data)) + data


def encode_reply(xid: int, zxid: int, error: int, body: bytes = b"") -> bytes:
    """Encode the frame of a reply."""
    return encode_frame(struct.pack("!iqi", xid, zxid, error) + body)


def encode_watch_event(event_type: int, path: str) -> bytes:
    """Encode the frame of a watch event."""
    record = RecordWriter().write_int(event_type, SYNC_CONNECTED).write_string(path)
    return encode_reply(WATCH_XID, -1, OK, record.finish())
