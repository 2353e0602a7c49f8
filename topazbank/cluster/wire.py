"""What members of a tier write to one another: one datagram a message, versioned and checked; no I/O.

    head     magic, version, kind, 0; sender (ident, life, incarnation, messages so far); probe, target, digest, size
    sections type (1 byte), length (2), content; a reader skips types that it does not know
    check    4 bytes: BLAKE2b of all before them, keyed where the operator gives a key

Records carry their own length, so that a later version may add to them: a reader takes what it knows from each.  All
numbers are big-endian.  Nothing that is cut, changed or of another major version is read in part.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from topazbank.cluster.member import INCARNATION_MAX, MemberRecord, MemberState
from topazbank.core.checksum import CHECKSUM_BYTES, with_checksum, without_checksum
from topazbank.core.net import Address

MAGIC = 0xD7  # apart from the first byte of what `sight.hearsay` writes, which comes to the same address
VERSION = 1
LEAST, MOST = 128, 1200  # bytes of a datagram that an operator may allow: one part of a digest still fits
FANOUT = 16  # parts of a digest
_HEAD = struct.Struct("!BBBB6s6sHIIQIH")
_SECTION = struct.Struct("!BH")
_RECORD = struct.Struct("!6s6sHB4sHH")
_PARTS = struct.Struct("!BQ16I")
_WANT = struct.Struct("!BQ")
_NEWS_SECTION, _PARTS_SECTION, _WANT_SECTION = 1, 2, 3
KEY_MOST = 64  # bytes, by BLAKE2b


class BadMessage(ValueError):
    """Cut, changed, of another version, or none of ours."""


class Kind(IntEnum):
    PING = 1  # answer me
    ACK = 2  # `target` answered `probe`
    ASK = 3  # probe `target` for me
    NACK = 4  # I did, and it has not answered me yet
    TELL = 5  # no answer wanted


@dataclass(frozen=True, slots=True)
class Parts:
    """Sums over the members whose ident begins with `prefix`, by its next four bits."""

    depth: int  # how many groups of four bits the prefix has
    prefix: int
    sums: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram."""

    kind: Kind
    sender: int
    life: int
    incarnation: int
    count: int  # of the sender's messages in this life: an older one is no new word
    probe: int = 0
    target: int = 0  # 0: whoever gets it
    digest: int = 0
    size: int = 1  # members that the sender counts, itself included
    news: tuple[MemberRecord, ...] = ()
    parts: Parts | None = None
    want: tuple[int, int] | None = None  # depth and prefix of the records that the sender lacks


def records_in(datagram: int, parts: bool = False, want: bool = False) -> int:
    """How many records a datagram of this many bytes has room for, beside the sections named."""
    left = datagram - _HEAD.size - CHECKSUM_BYTES - _SECTION.size - 1
    left -= (_SECTION.size + _PARTS.size) * parts + (_SECTION.size + _WANT.size) * want
    return max(left // _RECORD.size, 0)


def encode(message: Message, key: bytes = b"") -> bytes:
    """The bytes of a message."""
    data = _HEAD.pack(
        MAGIC,
        VERSION,
        message.kind,
        0,
        message.sender.to_bytes(6, "big"),
        message.life.to_bytes(6, "big"),
        message.incarnation,
        message.count & 0xFFFFFFFF,
        message.probe,
        message.target,
        message.digest,
        min(message.size, 0xFFFF),
    )
    if message.news:
        data += _section(
            _NEWS_SECTION, bytes([_RECORD.size]) + b"".join(_record(each) for each in message.news)
        )
    if message.parts is not None:
        packed = _PARTS.pack(message.parts.depth, message.parts.prefix, *message.parts.sums)
        data += _section(_PARTS_SECTION, packed)
    if message.want is not None:
        data += _section(_WANT_SECTION, _WANT.pack(*message.want))
    return with_checksum(data, key)


def decode(data: bytes, key: bytes = b"") -> Message:
    """Read a message; raise BadMessage where it is not whole and of this major version."""
    if len(data) < _HEAD.size + CHECKSUM_BYTES or data[0] != MAGIC:
        raise BadMessage("no message of a tier")
    if data[1] != VERSION:
        raise BadMessage(f"version {data[1]}, not {VERSION}")
    body = without_checksum(data, key)
    if body is None:
        raise BadMessage("damaged, or of another key")
    _, _, kind, _, sender, life, incarnation, count, probe, target, digest, size = _HEAD.unpack_from(body)
    try:
        known = Kind(kind)
    except ValueError:
        known = Kind.TELL  # of a later version: its news is of use all the same
    news, parts, want = _sections(body)
    who, since = int.from_bytes(sender, "big"), int.from_bytes(life, "big")
    return Message(known, who, since, incarnation, count, probe, target, digest, size, news, parts, want)


def _section(kind: int, content: bytes) -> bytes:
    return _SECTION.pack(kind, len(content)) + content


def _sections(body: bytes) -> tuple[tuple[MemberRecord, ...], Parts | None, tuple[int, int] | None]:
    news: tuple[MemberRecord, ...] = ()
    parts: Parts | None = None
    want: tuple[int, int] | None = None
    at = _HEAD.size
    while at < len(body):
        if at + _SECTION.size > len(body):
            raise BadMessage("a section is cut")
        kind, length = _SECTION.unpack_from(body, at)
        at += _SECTION.size
        content = body[at : at + length]
        if len(content) < length:
            raise BadMessage("a section is cut")
        at += length
        try:
            if kind == _NEWS_SECTION:
                news = _news(content)
            elif kind == _PARTS_SECTION:
                depth, prefix, *sums = _PARTS.unpack_from(content)
                parts = Parts(depth, prefix, tuple(sums))
            elif kind == _WANT_SECTION:
                want = _WANT.unpack_from(content)
        except struct.error:
            raise BadMessage("a section is short") from None
    if (parts is not None and parts.depth >= 12) or (want is not None and want[0] > 12):
        raise BadMessage("a part that no digest has")
    return news, parts, want


def _news(content: bytes) -> tuple[MemberRecord, ...]:
    if not content or content[0] < _RECORD.size or (len(content) - 1) % content[0]:
        raise BadMessage("records of another length")
    found: Sequence[MemberRecord | None] = [_read(content, at) for at in range(1, len(content), content[0])]
    return tuple(each for each in found if each is not None)


def _record(record: MemberRecord) -> bytes:
    host, port = record.address or ("0.0.0.0", 0)
    try:
        packed = socket.inet_aton(host)
    except OSError:
        packed, port = bytes(4), 0  # not IPv4: who hears of it waits for its own word
    return _RECORD.pack(
        record.ident.to_bytes(6, "big"),
        record.life.to_bytes(6, "big"),
        min(record.incarnation, INCARNATION_MAX),
        record.state,
        packed,
        port,
        min(record.about, 0xFFFF),
    )


def _read(content: bytes, at: int) -> MemberRecord | None:
    ident, life, incarnation, state, host, port, about = _RECORD.unpack_from(content, at)
    address: Address | None = (socket.inet_ntoa(host), port) if port else None
    try:
        known = MemberState(state)
    except ValueError:
        return None  # a state of a later version
    who, since = int.from_bytes(ident, "big"), int.from_bytes(life, "big")
    return MemberRecord(who, since, incarnation, known, address, about)
