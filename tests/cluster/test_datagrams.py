"""Membership datagrams: intact ones are decoded completely, all others are rejected as a whole."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.cluster.member import MemberRecord, MemberState, ident_of
from topazbank.cluster.wire import (
    DATAGRAM_BYTES_MIN,
    MAGIC,
    DigestPart,
    IdentPrefix,
    InvalidMessage,
    Message,
    MessageKind,
    decode,
    encode,
    record_capacity,
)
from topazbank.core.checksum import CHECKSUM_BYTES, with_checksum
from topazbank.estimation.load_gossip import MESSAGE_VERSION as LOAD_GOSSIP_VERSION

HEADER_BYTES, SECTION_HEADER_BYTES, STATE_OFFSET = 40, 3, 14
idents = st.integers(0, 2**48 - 1)
addresses = st.none() | st.tuples(st.just("127.0.0.1"), st.integers(1, 65535))
records = st.builds(
    MemberRecord,
    idents,
    idents,
    st.integers(0, 65535),
    st.sampled_from(MemberState),
    addresses,
    st.integers(0, 65535),
)
digest_parts = st.none() | st.builds(
    DigestPart,
    st.builds(IdentPrefix, st.integers(0, 11), idents),
    st.lists(st.integers(0, 2**32 - 1), min_size=16, max_size=16).map(tuple),
)
messages = st.builds(
    Message,
    st.sampled_from(MessageKind),
    idents,
    idents,
    st.integers(0, 65535),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    idents,
    st.integers(0, 2**32 - 1),
    st.integers(0, 65535),
    st.lists(records, max_size=9).map(tuple),
    digest_parts,
    st.none() | st.builds(IdentPrefix, st.integers(0, 12), idents),
)


@given(messages, st.binary(max_size=64))
def test_a_decoded_message_equals_the_encoded_one(message: Message, key: bytes) -> None:
    assert decode(encode(message, key), key) == message


@pytest.mark.parametrize(
    ("message", "hexadecimal"),
    [
        (
            Message(MessageKind.PING, 1, 2, 3, 4, 5, 6, 7, 8),
            "d7010100000000000001000000000002000300000004000000050000000000000006000000070008cb04397f",
        ),
        (
            Message(
                MessageKind.GOSSIP,
                0xA1B2C3D4E5F6,
                1_800_000_000_000,
                9,
                10,
                records=(MemberRecord(11, 12, 13, MemberState.SUSPECT, ("127.0.0.1", 7946), 14),),
                digest_part=DigestPart(IdentPrefix(1, 5), tuple(range(16))),
                requested_prefix=IdentPrefix(2, 0x5A),
            ),
            "d7010500a1b2c3d4e5f601a3185c500000090000000a00000000000000000000000000000000000101001817"
            "00000000000b00000000000c000d017f0000011f0a000e020049010000000000000005000000000000000100"
            "000002000000030000000400000005000000060000000700000008000000090000000a0000000b0000000c00"
            "00000d0000000e0000000f03000902000000000000005aced742dc",
        ),
    ],
    ids=["ping", "all sections"],
)
def test_the_wire_format_is_unchanged(message: Message, hexadecimal: str) -> None:
    assert encode(message).hex() == hexadecimal


def test_a_full_message_fits_into_the_datagram_limit() -> None:
    record = MemberRecord(1, 2, 3, MemberState.SUSPECT, ("127.0.0.1", 9), 4)
    part = DigestPart(IdentPrefix(3, 7), tuple(range(16)))
    for size in (DATAGRAM_BYTES_MIN, 256, 1200):
        for digest_part in (None, part):
            for request in (None, IdentPrefix(3, 7)):
                capacity = record_capacity(
                    size, with_digest_part=digest_part is not None, with_request=request is not None
                )
                message = Message(
                    MessageKind.PING,
                    1,
                    2,
                    3,
                    4,
                    records=(record,) * capacity,
                    digest_part=digest_part,
                    requested_prefix=request,
                )
                if size > DATAGRAM_BYTES_MIN:
                    assert len(encode(message)) <= size
    assert record_capacity(256) >= 8


@given(messages, st.data())
def test_truncated_and_corrupted_messages_and_those_of_another_key_are_rejected(
    message: Message, data: st.DataObject
) -> None:
    intact = encode(message, b"key")
    with pytest.raises(InvalidMessage):
        decode(intact, b"another")
    with pytest.raises(InvalidMessage):
        decode(intact[: data.draw(st.integers(0, len(intact) - 1))], b"key")
    position = data.draw(st.integers(0, len(intact) - 1))
    changed = intact[position] ^ data.draw(st.integers(1, 255))
    with pytest.raises(InvalidMessage):
        decode(intact[:position] + bytes([changed]) + intact[position + 1 :], b"key")


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected(random_bytes: bytes) -> None:
    with pytest.raises(InvalidMessage):
        decode(bytes([MAGIC]) + random_bytes)


def test_unknown_sections_record_fields_states_and_kinds_of_a_later_version_are_tolerated() -> None:
    record = MemberRecord(5, 6, 7, MemberState.ALIVE, ("127.0.0.1", 9), 0)
    body = encode(Message(MessageKind.PING, 1, 2, 3, 4, records=(record,)))[:-CHECKSUM_BYTES]
    unknown_section = body + struct.pack("!BH", 99, 3) + b"abc"
    assert decode(with_checksum(unknown_section)).records == (record,)
    records_at = HEADER_BYTES + SECTION_HEADER_BYTES + 1
    header, packed = body[:HEADER_BYTES], body[records_at:]
    section_header = struct.pack("!BH", 1, 1 + len(packed) + 2) + bytes([len(packed) + 2])
    longer_record = header + section_header + packed + b"xy"
    assert decode(with_checksum(longer_record)).records == (record,)
    unknown_state = bytearray(body)
    unknown_state[records_at + STATE_OFFSET] = 77
    assert decode(with_checksum(bytes(unknown_state))).records == ()
    unknown_kind = bytearray(body)
    unknown_kind[2] = 77
    assert decode(with_checksum(bytes(unknown_kind))).kind is MessageKind.GOSSIP
    later_version = bytearray(body)
    later_version[1] = 2
    with pytest.raises(InvalidMessage, match="version 2"):
        decode(with_checksum(bytes(later_version)))


def test_load_gossip_and_membership_differ_in_their_first_byte() -> None:
    assert MAGIC != LOAD_GOSSIP_VERSION


def test_names_of_a_large_cluster_have_distinct_idents() -> None:
    numbered = {f"sidecar-{number}" for number in range(5000)}
    names = numbered | {f"{random.Random(number).random()}" for number in range(5000)}
    assert len({ident_of(name) for name in names}) == len(names)
