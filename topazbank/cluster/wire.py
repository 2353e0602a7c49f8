"""The datagrams between members: encoding and decoding, versioned and checksummed; no I/O.

    header    magic, version, kind, 0; sender (ident, generation, incarnation, sequence); probe, target, digest, size
    sections  type (1 byte), length (2 bytes), content; a reader skips unknown types
    checksum  4 bytes of BLAKE2b over everything before it, keyed if the operator configures a key

The records section states the length of a record, so a later version can extend records: a reader ignores fields that
it doesn't know.  All numbers are big-endian.  A datagram that is truncated, corrupted or of another version is rejected
as a whole.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from topazbank.cluster.member import INCARNATION_MAX, MemberRecord, MemberState
from topazbank.core.checksum import CHECKSUM_BYTES, with_checksum, without_checksum
from topazbank.core.net import Address

MAGIC = 0xD7  # differs from the first byte of load gossip, which arrives on the same socket
VERSION = 1
DATAGRAM_BYTES_MIN = 128  # a message with one digest section still fits
DIGEST_FANOUT = 16  # child digests of each node of the digest tree
PREFIX_DEPTH_MAX = 12  # an ident has 12 groups of four bits
_IDENT_BYTES = 6
_GENERATION_BYTES = 6
_HEADER = struct.Struct("!BBBB6s6sHIIQIH")
_SECTION = struct.Struct("!BH")
_RECORD = struct.Struct("!6s6sHB4sHH")
_DIGEST_PART = struct.Struct("!BQ16I")
_REQUESTED_PREFIX = struct.Struct("!BQ")
_RECORDS_SECTION, _DIGEST_SECTION, _REQUEST_SECTION = 1, 2, 3


class InvalidMessage(ValueError):
    """The datagram is truncated, corrupted, of another version or key, or not a membership message."""


class MessageKind(IntEnum):
    """The action that a message asks of its receiver."""

    PING = 1  # reply with an ack
    ACK = 2  # `target` has answered the probe `probe_id`
    PING_REQ = 3  # probe `target` for the sender
    NACK = 4  # `target` has not answered the sender's indirect probe yet
    GOSSIP = 5  # read the sections; no reply is expected


class IdentPrefix(NamedTuple):
    """The first bits of an ident."""

    depth: int  # number of groups of four bits, at most PREFIX_DEPTH_MAX
    bits: int


WHOLE_TABLE = IdentPrefix(0, 0)


@dataclass(frozen=True, slots=True)
class DigestPart:
    """Digests of the members whose ident begins with a prefix, one for each value of the next four bits."""

    prefix: IdentPrefix
    digests: tuple[int, ...]  # DIGEST_FANOUT entries


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram."""

    kind: MessageKind
    sender: int
    generation: int
    incarnation: int
    sequence: int  # number of this message within the sender's generation
    probe_id: int = 0
    target: int = 0  # ident; 0: the receiver, whichever member it is
    digest: int = 0  # over the live members that the sender knows
    cluster_size: int = 1  # live members known to the sender, itself included
    records: tuple[MemberRecord, ...] = ()
    digest_part: DigestPart | None = None
    requested_prefix: IdentPrefix | None = None  # the sender requests the records with this prefix


def record_capacity(
    datagram_bytes: int, *, with_digest_part: bool = False, with_request: bool = False
) -> int:
    """Return how many records fit into a datagram beside the given sections."""
    free_bytes = datagram_bytes - _HEADER.size - CHECKSUM_BYTES - _SECTION.size - 1
    if with_digest_part:
        free_bytes -= _SECTION.size + _DIGEST_PART.size
    if with_request:
        free_bytes -= _SECTION.size + _REQUESTED_PREFIX.size
    return max(free_bytes // _RECORD.size, 0)


def encode(message: Message, key: bytes = b"") -> bytes:
    """Return the encoded message, with its checksum."""
    data = _encode_header(message)
    if message.records:
        packed = b"".join(_encode_record(record) for record in message.records)
        data += _encode_section(_RECORDS_SECTION, bytes([_RECORD.size]) + packed)
    if message.digest_part is not None:
        part = message.digest_part
        packed = _DIGEST_PART.pack(part.prefix.depth, part.prefix.bits, *part.digests)
        data += _encode_section(_DIGEST_SECTION, packed)
    if message.requested_prefix is not None:
        data += _encode_section(_REQUEST_SECTION, _REQUESTED_PREFIX.pack(*message.requested_prefix))
    return with_checksum(data, key)


def _encode_header(message: Message) -> bytes:
    return _HEADER.pack(
        MAGIC,
        VERSION,
        message.kind,
        0,
        message.sender.to_bytes(_IDENT_BYTES, "big"),
        message.generation.to_bytes(_GENERATION_BYTES, "big"),
        message.incarnation,
        message.sequence & 0xFFFFFFFF,
        message.probe_id,
        message.target,
        message.digest,
        min(message.cluster_size, 0xFFFF),
    )


def _encode_section(section_type: int, content: bytes) -> bytes:
    return _SECTION.pack(section_type, len(content)) + content


def _encode_record(record: MemberRecord) -> bytes:
    host, port = record.address or ("0.0.0.0", 0)
    try:
        packed_host = socket.inet_aton(host)
    except OSError:
        packed_host, port = bytes(4), 0  # not IPv4; receivers take the address of the member's own messages
    return _RECORD.pack(
        record.ident.to_bytes(_IDENT_BYTES, "big"),
        record.generation.to_bytes(_GENERATION_BYTES, "big"),
        min(record.incarnation, INCARNATION_MAX),
        record.state,
        packed_host,
        port,
        min(record.detail, 0xFFFF),
    )


def decode(data: bytes, key: bytes = b"") -> Message:
    """Return the decoded message; raise InvalidMessage if it is corrupted or of another version."""
    if len(data) < _HEADER.size + CHECKSUM_BYTES or data[0] != MAGIC:
        raise InvalidMessage("not a membership message")
    if data[1] != VERSION:
        raise InvalidMessage(f"unsupported version {data[1]}, expected {VERSION}")
    body = without_checksum(data, key)
    if body is None:
        raise InvalidMessage("checksum mismatch")
    _, _, kind, _, sender, generation, incarnation, sequence, probe_id, target, digest, cluster_size = (
        _HEADER.unpack_from(body)
    )
    sections = _decode_sections(body)
    return Message(
        _decode_kind(kind),
        int.from_bytes(sender, "big"),
        int.from_bytes(generation, "big"),
        incarnation,
        sequence,
        probe_id,
        target,
        digest,
        cluster_size,
        sections.records,
        sections.digest_part,
        sections.requested_prefix,
    )


def _decode_kind(kind: int) -> MessageKind:
    try:
        return MessageKind(kind)
    except ValueError:
        return MessageKind.GOSSIP  # a kind of a later version; its records are still usable


@dataclass(slots=True)
class _Sections:
    records: tuple[MemberRecord, ...] = ()
    digest_part: DigestPart | None = None
    requested_prefix: IdentPrefix | None = None


def _decode_sections(body: bytes) -> _Sections:
    sections = _Sections()
    position = _HEADER.size
    while position < len(body):
        if position + _SECTION.size > len(body):
            raise InvalidMessage("section is truncated")
        section_type, length = _SECTION.unpack_from(body, position)
        position += _SECTION.size
        content = body[position : position + length]
        if len(content) < length:
            raise InvalidMessage("section is truncated")
        position += length
        try:
            _decode_section(sections, section_type, content)
        except struct.error:
            raise InvalidMessage("section is shorter than its fixed fields") from None
    return sections


def _decode_section(sections: _Sections, section_type: int, content: bytes) -> None:
    if section_type == _RECORDS_SECTION:
        sections.records = _decode_records(content)
    elif section_type == _DIGEST_SECTION:
        depth, bits, *digests = _DIGEST_PART.unpack_from(content)
        if depth >= PREFIX_DEPTH_MAX:
            raise InvalidMessage(f"digest prefix depth {depth} is not below {PREFIX_DEPTH_MAX}")
        sections.digest_part = DigestPart(IdentPrefix(depth, bits), tuple(digests))
    elif section_type == _REQUEST_SECTION:
        prefix = IdentPrefix(*_REQUESTED_PREFIX.unpack_from(content))
        if prefix.depth > PREFIX_DEPTH_MAX:
            raise InvalidMessage(f"requested prefix depth {prefix.depth} exceeds {PREFIX_DEPTH_MAX}")
        sections.requested_prefix = prefix


def _decode_records(content: bytes) -> tuple[MemberRecord, ...]:
    if not content or content[0] < _RECORD.size or (len(content) - 1) % content[0]:
        raise InvalidMessage("invalid record length")
    record_bytes = content[0]
    records = [_decode_record(content, position) for position in range(1, len(content), record_bytes)]
    return tuple(record for record in records if record is not None)


def _decode_record(content: bytes, position: int) -> MemberRecord | None:
    ident, generation, incarnation, state_number, host, port, detail = _RECORD.unpack_from(content, position)
    address: Address | None = (socket.inet_ntoa(host), port) if port else None
    try:
        state = MemberState(state_number)
    except ValueError:
        return None  # a state that only a later version knows
    return MemberRecord(
        int.from_bytes(ident, "big"),
        int.from_bytes(generation, "big"),
        incarnation,
        state,
        address,
        detail,
    )
