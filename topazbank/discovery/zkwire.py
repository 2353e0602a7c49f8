"""Client side of ZooKeeper's wire protocol: encodes requests and decodes replies; no I/O.

It follows `zookeeper.jute` and `ZooDefs.java` of the ZooKeeper source and has only the operations that service
discovery and leader election use.  Decoding raises no error but MalformedRecordError.
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

RECORD_BYTES_MAX = 4 * 1024 * 1024  # enough for a list of about 40,000 children
SET_WATCHES_BYTES_MAX = 128 * 1024  # paths in one SetWatches request; servers accept 1 MiB
# Reserved transaction ids, whose replies belong to no queued request.
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8
ANY_VERSION = -1
EPHEMERAL, SEQUENTIAL = 1, 2  # flag bits of a create request


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
    """The subset of KeeperException codes that is used here."""

    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NODE_EXISTS = -110
    SESSION_EXPIRED = -112
    AUTH_FAILED = -115
    SESSION_MOVED = -118


@unique
class WatchEvent(IntEnum):
    """Event types of a watch."""

    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4


class MalformedRecordError(Exception):
    """Received bytes violate the protocol."""


@dataclass(frozen=True, slots=True)
class Stat:
    """A znode's metadata; times are Unix time in milliseconds, by the leader's clock."""

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    ephemeral_owner: int  # session id; 0 if the znode is not ephemeral
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
    """Header of every reply."""

    xid: int
    zxid: int  # the server's newest transaction id
    error: int  # ErrorCode; 0 on success


class ConnectResponse(NamedTuple):
    """The server's handshake response."""

    timeout_ms: int  # 0 if the session has expired
    session_id: int
    password: bytes


ALL_PERMISSIONS, READ_PERMISSION = 31, 1
OPEN_ACL = (Acl(ALL_PERMISSIONS, "world", "anyone"),)
CREATOR_ACL = (Acl(ALL_PERMISSIONS, "auth", ""), Acl(READ_PERMISSION, "world", "anyone"))


def encode_frame(data: bytes) -> bytes:
    """Prefix a record with its length."""
    return _INT.pack(len(data)) + data


def encode_buffer(value: bytes) -> bytes:
    """Encode a byte string with a length prefix."""
    return _INT.pack(len(value)) + value


def encode_string(value: str) -> bytes:
    """Encode a string as UTF-8 with a length prefix."""
    return encode_buffer(value.encode())


def encode_strings(values: list[str]) -> bytes:
    """Encode a list of strings with a count prefix."""
    return _INT.pack(len(values)) + b"".join(map(encode_string, values))


def encode_bool(value: bool) -> bytes:
    """Encode a boolean as one byte, 0 or 1."""
    return b"\1" if value else b"\0"


def encode_connect_request(last_zxid: int, timeout_ms: int, session_id: int, password: bytes) -> bytes:
    """Encode the frame that starts the handshake; a new session has id 0 and an all-zero password."""
    fixed_fields = struct.pack("!iqiq", 0, last_zxid, timeout_ms, session_id)
    return encode_frame(fixed_fields + encode_buffer(password) + encode_bool(False))


def encode_request(xid: int, op: int, body: bytes = b"") -> bytes:
    """Encode a request frame."""
    return encode_frame(struct.pack("!ii", xid, op) + body)


def encode_create(path: str, data: bytes, acl: tuple[Acl, ...], flags: int) -> bytes:
    """Encode the body of a create request."""
    entries = [
        _INT.pack(entry.permissions) + encode_string(entry.scheme) + encode_string(entry.identity)
        for entry in acl
    ]
    encoded_acl = _INT.pack(len(acl)) + b"".join(entries)
    return encode_string(path) + encode_buffer(data) + encoded_acl + _INT.pack(flags)


def encode_path_with_version(path: str, version: int) -> bytes:
    """Encode the body of a delete request."""
    return encode_string(path) + _INT.pack(version)


def encode_set_data(path: str, data: bytes, version: int) -> bytes:
    """Encode the body of a setData request."""
    return encode_string(path) + encode_buffer(data) + _INT.pack(version)


def encode_auth(secret: str) -> bytes:
    """Encode the body of a digest authentication request; `secret` is user:password."""
    return _INT.pack(0) + encode_string("digest") + encode_buffer(secret.encode())


def encode_set_watches(last_zxid: int, data: list[str], exists: list[str], children: list[str]) -> bytes:
    """Encode the body of a SetWatches request; the paths are grouped by kind of watch."""
    return (
        struct.pack("!q", last_zxid)
        + encode_strings(data)
        + encode_strings(exists)
        + encode_strings(children)
    )


class RecordReader:
    """Decodes the fields of one record in order; every method may raise MalformedRecordError."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def _unpack(self, layout: struct.Struct) -> tuple[int, ...]:
        try:
            values: tuple[int, ...] = layout.unpack_from(self._data, self._offset)
        except struct.error:
            raise MalformedRecordError("truncated record") from None
        self._offset += layout.size
        return values

    def read_header(self) -> ReplyHeader:
        """Read a reply header."""
        return ReplyHeader(*self._unpack(_REPLY_HEADER))

    def read_int(self) -> int:
        """Read a signed 32-bit integer."""
        return self._unpack(_INT)[0]

    def read_buffer(self) -> bytes:
        """Read a byte string; a null becomes an empty byte string."""
        size = self.read_int()
        if size < -1 or self._offset + size > len(self._data):
            raise MalformedRecordError("truncated record")
        start = self._offset
        self._offset += max(size, 0)
        return self._data[start : self._offset]

    def read_string(self) -> str:
        """Read a UTF-8 string."""
        try:
            return self.read_buffer().decode()
        except UnicodeDecodeError:
            raise MalformedRecordError("invalid UTF-8 in a string") from None

    def read_strings(self, count: int) -> list[str]:
        """Read `count` strings of a list whose count prefix has been read."""
        strings = []
        data, offset = self._data, self._offset
        try:
            for _ in range(count):  # inlined read_string, as a list can hold thousands of names
                end = offset + 4 + max(_INT.unpack_from(data, offset)[0], 0)
                if end > len(data):
                    raise MalformedRecordError("truncated record")
                strings.append(data[offset + 4 : end].decode())
                offset = end
        except struct.error:
            raise MalformedRecordError("truncated record") from None
        except UnicodeDecodeError:
            raise MalformedRecordError("invalid UTF-8 in a string") from None
        self._offset = offset
        return strings

    def read_stat(self) -> Stat:
        """Read a znode's metadata."""
        return Stat(*self._unpack(_STAT))

    def read_connect_response(self) -> ConnectResponse:
        """Read the handshake response."""
        _, timeout_ms, session_id = self._unpack(_CONNECT_RESPONSE)
        return ConnectResponse(timeout_ms, session_id, self.read_buffer())


class RecordSplitter:
    """Splits a server's byte stream into records."""

    def __init__(self) -> None:
        self._buffered = bytearray()  # incomplete record; bounded by RECORD_BYTES_MAX

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the completed records; raise MalformedRecordError for an invalid length."""
        self._buffered += data
        records = []
        offset = 0
        while len(self._buffered) - offset >= _INT.size:
            size = _INT.unpack_from(self._buffered, offset)[0]
            if not 0 <= size <= RECORD_BYTES_MAX:
                raise MalformedRecordError(f"invalid record length: {size} bytes")
            start = offset + _INT.size
            if len(self._buffered) - start < size:
                break
            records.append(bytes(self._buffered[start : start + size]))
            offset = start + size
        del self._buffered[:offset]
        return records
