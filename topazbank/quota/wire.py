"""Encodes the messages between lease clients and lease servers as versioned datagrams with a checksum; no I/O.

    magic, version, kind, 0; sender (ident, generation); quota id; number, held number;
    amount, burst, wanted; lease (ms); checksum (4 bytes)

Numbers are big-endian.  Cluster messages arrive at the same address and differ in the first byte.  Bytes between the
known fields and the checksum are ignored, so that a later version can add fields there.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from topazbank.core.checksum import CHECKSUM_BYTES, with_checksum, without_checksum
from topazbank.quota.lease import ClientId, LeaseGrant, LeaseRequest
from topazbank.quota.rules import NO_ALLOCATION, Allocation, Quota

MAGIC = 0xD9  # differs from the first bytes of the cluster's and the load gossip's datagrams
VERSION = 1
DATAGRAM_BYTES_MAX = 256  # limit set by the platform
_BODY = struct.Struct("!BBBB6s6sIIIQIQI")  # packs _Fields
_IDENT_BYTES = 6
_AMOUNT_MAX = (1 << 63) - 1
_BURST_MAX = (1 << 32) - 1


class _Fields(NamedTuple):
    """The fields that precede the checksum, in datagram order."""

    magic: int
    version: int
    kind: int
    reserved: int
    sender: bytes
    generation: bytes
    quota_id: int
    number: int
    held_number: int
    amount: int
    burst: int
    wanted: int
    lease_ms: int


class BadMessage(ValueError):
    """A datagram that is not a valid quota message: truncated, modified, or of another version or key."""


class MessageKind(IntEnum):
    """The kind of a message; the values are those on the wire."""

    REQUEST = 1
    GRANT = 2
    RELEASE = 3


@dataclass(frozen=True, slots=True)
class Message:
    """One message; `request` is set for a request or release, `grant` for a grant."""

    kind: MessageKind
    sender: int  # the member's ident
    generation: int  # the lease client's, also in a grant: clients reject grants for earlier generations
    quota_id: int
    request: LeaseRequest | None = None
    grant: LeaseGrant | None = None

    @property
    def client(self) -> ClientId:
        """The client that sent a request or release."""
        return ClientId(self.sender, self.generation)


def quota_id_of(quota: Quota) -> int:
    """The 32-bit id of a quota, a hash of its kind and name."""
    data = f"{quota.kind}\0{quota.name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "big")


def is_quota_message(data: bytes) -> bool:
    """Whether a datagram is a quota message, judged by its first byte."""
    return data[:1] == bytes([MAGIC])


def encode(message: Message, key: bytes = b"") -> bytes:
    """Encode a message as a datagram; `key`: the checksum's key."""
    number = held_number = wanted = lease_ms = 0
    allocation = NO_ALLOCATION
    if message.request is not None:
        request = message.request
        number, held_number = request.number, request.held_number
        allocation, wanted = request.held, request.wanted
    elif message.grant is not None:
        number, allocation = message.grant.number, message.grant.allocation
        lease_ms = message.grant.lease_us // 1000
    fields = _Fields(
        magic=MAGIC,
        version=VERSION,
        kind=message.kind,
        reserved=0,
        sender=message.sender.to_bytes(_IDENT_BYTES, "big"),
        generation=message.generation.to_bytes(_IDENT_BYTES, "big"),
        quota_id=message.quota_id,
        number=number,
        held_number=held_number,
        amount=min(allocation.amount, _AMOUNT_MAX),
        burst=min(allocation.burst, _BURST_MAX),
        wanted=min(wanted, _AMOUNT_MAX),
        lease_ms=lease_ms,
    )
    return with_checksum(_BODY.pack(*fields), key)


def decode(data: bytes, key: bytes = b"") -> Message:
    """Decode a datagram; raises BadMessage."""
    if not _BODY.size + CHECKSUM_BYTES <= len(data) <= DATAGRAM_BYTES_MAX:
        raise BadMessage(f"unexpected length of {len(data)} bytes")
    if data[0] != MAGIC or data[1] != VERSION:
        raise BadMessage("unknown magic byte or version")
    body = without_checksum(data, key)
    if body is None:
        raise BadMessage("checksum mismatch")
    fields = _Fields(*_BODY.unpack_from(body))
    try:
        kind = MessageKind(fields.kind)
    except ValueError:
        raise BadMessage(f"unknown message kind {fields.kind}") from None
    allocation = Allocation(fields.amount, fields.burst)
    request = grant = None
    if kind is MessageKind.GRANT:
        grant = LeaseGrant(fields.number, allocation, fields.lease_ms * 1000)
    else:
        request = LeaseRequest(fields.number, fields.held_number, allocation, fields.wanted)
    sender, generation = int.from_bytes(fields.sender, "big"), int.from_bytes(fields.generation, "big")
    return Message(kind, sender, generation, fields.quota_id, request, grant)
