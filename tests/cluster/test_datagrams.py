"""The tier's datagrams: what is whole is read whole, and nothing else at all."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.cluster.member import MemberRecord, MemberState, ident_of
from topazbank.cluster.wire import (
    LEAST,
    MAGIC,
    BadMessage,
    Kind,
    Message,
    Parts,
    decode,
    encode,
    records_in,
)
from topazbank.core.checksum import CHECKSUM_BYTES, with_checksum
from topazbank.estimation.load_gossip import MESSAGE_VERSION as HEARSAY

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
parts = st.none() | st.builds(
    Parts,
    st.integers(0, 11),
    idents,
    st.lists(st.integers(0, 2**32 - 1), min_size=16, max_size=16).map(tuple),
)
messages = st.builds(
    Message,
    st.sampled_from(Kind),
    idents,
    idents,
    st.integers(0, 65535),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    idents,
    st.integers(0, 2**32 - 1),
    st.integers(0, 65535),
    st.lists(records, max_size=9).map(tuple),
    parts,
    st.none() | st.tuples(st.integers(0, 12), idents),
)


@given(messages, st.binary(max_size=64))
def test_a_message_crosses_whole(message: Message, key: bytes) -> None:
    assert decode(encode(message, key), key) == message


def test_a_full_message_fits_the_platforms_datagram() -> None:
    record = MemberRecord(1, 2, 3, MemberState.SUSPECTED, ("127.0.0.1", 9), 4)
    sums = Parts(3, 7, tuple(range(16)))
    for size in (LEAST, 256, 1200):
        for with_parts in (None, sums):
            for want in (None, (3, 7)):
                room = records_in(size, with_parts is not None, want is not None)
                made = Message(Kind.PING, 1, 2, 3, 4, news=(record,) * room, parts=with_parts, want=want)
                if size > LEAST:
                    assert len(encode(made)) <= size
    assert records_in(256) >= 8


@given(messages, st.data())
def test_what_is_cut_or_changed_or_of_another_key_is_refused(message: Message, data: st.DataObject) -> None:
    whole = encode(message, b"key")
    with pytest.raises(BadMessage):
        decode(whole, b"another")
    with pytest.raises(BadMessage):
        decode(whole[: data.draw(st.integers(0, len(whole) - 1))], b"key")
    place = data.draw(st.integers(0, len(whole) - 1))
    spoilt = whole[:place] + bytes([whole[place] ^ data.draw(st.integers(1, 255))]) + whole[place + 1 :]
    with pytest.raises(BadMessage):
        decode(spoilt, b"key")


@given(st.binary(max_size=300))
def test_noise_is_refused(noise: bytes) -> None:
    with pytest.raises(BadMessage):
        decode(bytes([MAGIC]) + noise)


def test_a_later_versions_sections_record_lengths_states_and_kinds_are_skipped() -> None:
    record = MemberRecord(5, 6, 7, MemberState.HERE, ("127.0.0.1", 9), 0)
    body = encode(Message(Kind.PING, 1, 2, 3, 4, news=(record,)))[:-CHECKSUM_BYTES]
    later = body + struct.pack("!BH", 99, 3) + b"abc"
    assert decode(with_checksum(later)).news == (record,)
    head, packed = body[:40], body[44:]
    longer = head + struct.pack("!BH", 1, 1 + len(packed) + 2) + bytes([len(packed) + 2]) + packed + b"xy"
    assert decode(with_checksum(longer)).news == (record,)
    strange = bytearray(body)
    strange[44 + 14] = 77  # a state
    assert decode(with_checksum(bytes(strange))).news == ()
    strange = bytearray(body)
    strange[2] = 77  # a kind
    assert decode(with_checksum(bytes(strange))).kind is Kind.TELL
    strange = bytearray(body)
    strange[1] = 2
    with pytest.raises(BadMessage, match="version 2"):
        decode(with_checksum(bytes(strange)))


def test_hearsay_and_the_tier_are_told_apart_by_their_first_byte() -> None:
    assert MAGIC != HEARSAY


def test_names_of_a_large_tier_have_idents_of_their_own() -> None:
    names = {f"sidecar-{number}" for number in range(5000)} | {
        f"{random.Random(n).random()}" for n in range(5000)
    }
    assert len({ident_of(each) for each in names}) == len(names)
