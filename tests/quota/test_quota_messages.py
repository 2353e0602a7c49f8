"""The datagram encoding of quota messages: round trips, rejected datagrams and exact bytes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.quota.lease import LeaseGrant, LeaseRequest
from topazbank.quota.rules import Allocation, Quota, QuotaKind
from topazbank.quota.wire import BadMessage, Message, MessageKind, decode, encode, quota_id_of

numbers = st.integers(0, 2**32 - 1)
amounts = st.integers(0, 2**62)
allocations = st.builds(Allocation, amounts, numbers)
requests = st.builds(LeaseRequest, numbers, numbers, allocations, amounts)
grants = st.builds(LeaseGrant, numbers, allocations, st.integers(0, 600_000).map(lambda ms: ms * 1000))
idents = st.integers(0, 2**48 - 1)
request_kinds = st.sampled_from([MessageKind.REQUEST, MessageKind.RELEASE])
messages = st.builds(Message, request_kinds, idents, idents, numbers, requests) | st.builds(
    Message, st.just(MessageKind.GRANT), idents, idents, numbers, st.none(), grants
)

SENDER, GENERATION, QUOTA_ID = 0x0102030405, 0x0A0B0C0D0E0F, 0x11223344
REQUEST = LeaseRequest(7, 5, Allocation(2500, 3), 9000)
GRANT = LeaseGrant(7, Allocation(2500, 3), 5_000_000)
RELEASE = LeaseRequest(8, 8, Allocation(0, 0), 0)
# Encoded by an earlier version of the program, without a key and with the key b"secret".
FORMER_DATAGRAMS = [
    (
        Message(MessageKind.REQUEST, SENDER, GENERATION, QUOTA_ID, request=REQUEST),
        "d90101000001020304050a0b0c0d0e0f11223344000000070000000500000000000009c4"
        "00000003000000000000232800000000a5e0263e",
        "d90101000001020304050a0b0c0d0e0f11223344000000070000000500000000000009c4"
        "000000030000000000002328000000007941afd6",
    ),
    (
        Message(MessageKind.GRANT, SENDER, GENERATION, QUOTA_ID, grant=GRANT),
        "d90102000001020304050a0b0c0d0e0f11223344000000070000000000000000000009c4"
        "0000000300000000000000000000138818ddfda1",
        "d90102000001020304050a0b0c0d0e0f11223344000000070000000000000000000009c4"
        "00000003000000000000000000001388f790b3be",
    ),
    (
        Message(MessageKind.RELEASE, SENDER, GENERATION, QUOTA_ID, request=RELEASE),
        "d90103000001020304050a0b0c0d0e0f1122334400000008000000080000000000000000"
        "000000000000000000000000000000003728ae89",
        "d90103000001020304050a0b0c0d0e0f1122334400000008000000080000000000000000"
        "000000000000000000000000000000009b3eb85a",
    ),
]


@given(messages, st.binary(max_size=64), st.data())
def test_a_message_is_decoded_and_a_truncated_modified_or_wrongly_keyed_one_is_rejected(
    message: Message, key: bytes, data: st.DataObject
) -> None:
    datagram = encode(message, key)
    assert decode(datagram, key) == message and len(datagram) <= 256
    offset = data.draw(st.integers(0, len(datagram) - 1))
    changed = datagram[:offset] + bytes([datagram[offset] ^ 0x15]) + datagram[offset + 1 :]
    for invalid in (datagram[:offset], changed):
        with pytest.raises(BadMessage):
            decode(invalid, key)
    with pytest.raises(BadMessage):
        decode(datagram, b"another" + key[:50])


def test_quotas_of_one_name_and_different_kinds_have_different_ids() -> None:
    assert quota_id_of(Quota("b")) != quota_id_of(Quota("b", kind=QuotaKind.CONCURRENCY))


@pytest.mark.parametrize(("message", "without_key", "with_key"), FORMER_DATAGRAMS)
def test_a_sidecar_of_the_former_version_reads_and_sends_the_same_bytes(
    message: Message, without_key: str, with_key: str
) -> None:
    """During an upgrade, sidecars of both versions exchange messages, so the encoding must not change."""
    for datagram, key in ((bytes.fromhex(without_key), b""), (bytes.fromhex(with_key), b"secret")):
        assert encode(message, key) == datagram
        assert decode(datagram, key) == message


def test_a_quotas_id_on_the_wire_and_in_stores_is_that_of_the_former_version() -> None:
    assert quota_id_of(Quota("repeats")) == 1432166984
    assert quota_id_of(Quota("repeats", kind=QuotaKind.CONCURRENCY)) == 1015466128
