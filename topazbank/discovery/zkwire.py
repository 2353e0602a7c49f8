"""ZooKeeper's wire protocol, the client's side: requests encoded, replies decoded; no I/O.

It follows `zookeeper.jute` and `ZooDefs.java` of the published source and has only the operations that service
discovery and leader election use.  Decoding raises MalformedRecordError and nothing else.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import NamedTuple

_INT = struct.Struct("!i")
_REPLY_HEADER = struct.Struct("!iqi")
_CONNECT_RESPONSE = struct.Struct("!iiq")
_STAT = struct.Struct("!qqqqiiiqiiq")

RECORD_BYTES_MAX = 4 * 1024 * 1024  # of a reply: the children of one znode, some 40,000 names
SET_WATCHES_BYTES_MAX = 128 * 1024  # of paths in one SetWatches request; servers accept 1 MiB
# Transaction ids of replies that answer no queued request.
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8
ANY_VERSION = -1
EPHEMERAL, SEQUENTIAL = 1, 2  # bits of create's flags


@unique
class OpCode(IntEnum):
    """Request types."""

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
class ErrorCode(IntEnum):
    """KeeperException's codes, as far as they have a name here."""

    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NODE_EXISTS = -110
    SESSION_EXPIRED = -112
    AUTH_FAILED = -115
    SESSION_MOVED = -118


@unique
class WatchEvent(IntEnum):
    """What a watch reports."""

    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4


class MalformedRecordError(Exception):
    """Bytes of a server that do not follow the protocol."""


@dataclass(frozen=True, slots=True)
class Stat:
    """A znode's metadata; times in milliseconds of Unix time, by the leader's clock."""

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    ephemeral_owner: int  # session id; 0: not an ephemeral znode
    data_length: int
    child_count: int
    pzxid: int


@dataclass(frozen=True, slots=True)
class Acl:
    """One entry of an access control list."""

    permissions: int
    scheme: str
    identity: str


class ReplyHeader(NamedTuple):
    """What every reply begins with."""

    xid: int
    zxid: int  # the server's newest transaction
    error: int  # an ErrorCode; 0: success


class ConnectResponse(NamedTuple):
    """The server's side of the handshake."""

    timeout_ms: int  # 0: the session has expired
    session_id: int
    password: bytes


ALL_PERMISSIONS, READ_PERMISSION = 31, 1
OPEN_ACL = (Acl(ALL_PERMISSIONS, "world", "anyone"),)
CREATOR_ACL = (Acl(ALL_PERMISSIONS, "auth", ""), Acl(READ_PERMISSION, "world", "anyone"))


def encode_frame(data: bytes) -> bytes:
    """A record with the length that precedes it on the wire."""
    return _INT.pack(len(data)) + data


def encode_buffer(value: bytes) -> bytes:
    """A byte string with its length."""
    return _INT.pack(len(value)) + value


def encode_string(value: str) -> bytes:
    """A string as UTF-8 with its length."""
    return encode_buffer(value.encode())


def encode_strings(values: list[str]) -> bytes:
    """A list of strings with its count."""
    return _INT.pack(len(values)) + b"".join(map(encode_string, values))


def encode_bool(value: bool) -> bytes:
    """One byte, 0 or 1."""
    return b"\1" if value else b"\0"


def encode_connect_request(last_zxid: int, timeout_ms: int, session_id: int, password: bytes) -> bytes:
    """The handshake's first frame; a new session has id 0 and a password of zeros."""
    fixed = struct.pack("!iqiq", 0, last_zxid, timeout_ms, session_id)
    return encode_frame(fixed + encode_buffer(password) + encode_bool(False))


def encode_request(xid: int, op: int, body: bytes = b"") -> bytes:
    """A request's frame."""
    return encode_frame(struct.pack("!ii", xid, op) + body)


def encode_create(path: str, data: bytes, acl: tuple[Acl, ...], flags: int) -> bytes:
    """The body of a create request."""
    entries = [
        _INT.pack(entry.permissions) + encode_string(entry.scheme) + encode_string(entry.identity)
        for entry in acl
    ]
    encoded_acl = _INT.pack(len(acl)) + b"".join(entries)
    return encode_string(path) + encode_buffer(data) + encoded_acl + _INT.pack(flags)


def encode_path_with_version(path: str, version: int) -> bytes:
    """The body of a delete request."""
    return encode_string(path) + _INT.pack(version)


def encode_set_data(path: str, data: bytes, version: int) -> bytes:
    """The body of a setData request."""
    return encode_string(path) + encode_buffer(data) + _INT.pack(version)


def encode_auth(secret: str) -> bytes:
    """The body of a digest authentication; `secret` is user:password."""
    return _INT.pack(0) + encode_string("digest") + encode_buffer(secret.encode())


def encode_set_watches(last_zxid: int, data: list[str], exists: list[str], children: list[str]) -> bytes:
    """The body of a SetWatches request, by the kind of watch."""
    return (
        struct.pack("!q", last_zxid)
        + encode_strings(data)
        + encode_strings(exists)
        + encode_strings(children)
    )


class RecordReader:
    """Decodes one record from its start; every method raises MalformedRecordError."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def _unpack(self, layout: struct.Struct) -> tuple[int, ...]:
        try:
            values: tuple[int, ...] = layout.unpack_from(self._data, self._offset)
        except struct.error:
            raise MalformedRecordError("the record is too short") from None
        self._offset += layout.size
        return values

    def read_header(self) -> ReplyHeader:
        """A reply's header."""
        return ReplyHeader(*self._unpack(_REPLY_HEADER))

    def read_int(self) -> int:
        """A 32-bit number."""
        return self._unpack(_INT)[0]

    def read_buffer(self) -> bytes:
        """A byte string; the protocol's null is an empty one."""
        size = self.read_int()
        if size < -1 or self._offset + size > len(self._data):
            raise MalformedRecordError("the record is too short")
        start = self._offset
        self._offset += max(size, 0)
        return self._data[start : self._offset]

    def read_string(self) -> str:
        """A UTF-8 string."""
        try:
            return self.read_buffer().decode()
        except UnicodeDecodeError:
            raise MalformedRecordError("a string is not UTF-8") from None

    def read_strings(self, count: int) -> list[str]:
        """The next `count` strings of a list, whose own count has been read."""
        strings = []
        data, offset = self._data, self._offset
        try:
            for _ in range(count):  # no call per string: a list of names can hold thousands
                end = offset + 4 + max(_INT.unpack_from(data, offset)[0], 0)
                if end > len(data):
                    raise MalformedRecordError("the record is too short")
                strings.append(data[offset + 4 : end].decode())
                offset = end
        except struct.error:
            raise MalformedRecordError("the record is too short") from None
        except UnicodeDecodeError:
            raise MalformedRecordError("a string is not UTF-8") from None
        self._offset = offset
        return strings

    def read_stat(self) -> Stat:
        """A znode's metadata."""
        return Stat(*self._unpack(_STAT))

    def read_connect_response(self) -> ConnectResponse:
        """The handshake's answer."""
        _, timeout_ms, session_id = self._unpack(_CONNECT_RESPONSE)
        return ConnectResponse(timeout_ms, session_id, self.read_buffer())


class RecordSplitter:
    """Splits the byte stream of a server into records."""

    def __init__(self) -> None:
        self._buffered = bytearray()  # less than one record; bounded by RECORD_BYTES_MAX

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the records that they complete; raise MalformedRecordError."""
        self._buffered += data
        records = []
        offset = 0
        while len(self._buffered) - offset >= _INT.size:
            size = _INT.unpack_from(self._buffered, offset)[0]
            if not 0 <= size <= RECORD_BYTES_MAX:
                raise MalformedRecordError(f"a record of {size} bytes")
            start = offset + _INT.size
            if len(self._buffered) - start < size:
                break
            records.append(bytes(self._buffered[start : start + size]))
            offset = start + size
        del self._buffered[:offset]
        return records
