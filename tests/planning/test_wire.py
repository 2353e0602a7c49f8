"""Encoding and decoding of plans and summary reports, and the rejection of invalid documents."""

from __future__ import annotations

import math
from dataclasses import replace

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.cluster.member import ENDED_GENERATIONS_MAX, Generations, ProcessGeneration
from topazbank.planning.plan import US_PER_S, Plan, ServerShare
from topazbank.planning.summary import QuantileSketch, RequestCounts, ServerUsage, SummaryReport
from topazbank.planning.wire import (
    DOCUMENT_BYTES_MAX,
    InvalidDocument,
    decode_plan,
    decode_summary,
    encode_plan,
    encode_summary,
)

PLAN = Plan(
    "f", "life", 3, "p", 10, 2 * US_PER_S, 7, {"a": ServerShare(0.5, 1.5, math.inf, 0.25), "b": None}, 9, 0.5
)
SUMMARY = SummaryReport(
    "f", "life", 4, US_PER_S // 10, 3, "p", 10, 5_000, {"look": RequestCounts(3, 2, 1)},
    {"a": ServerUsage(3, 2, 1, 90_000, 1, 2.5, 77, 4.0, True), "b": ServerUsage()}, QuantileSketch({3: 2, 9: 1}),
)  # fmt: skip
_numbers = st.floats(0.0, 1e6, allow_nan=False)
_shares = st.one_of(st.none(), st.builds(ServerShare, _numbers, _numbers, _numbers, st.floats(0.0, 1.0)))
_names = st.text(max_size=20)
_integers = st.integers(0, 2**62)


@given(
    st.builds(
        Plan, _names, _names, _integers, _names, _integers, _integers, _integers,
        st.dictionaries(_names, _shares, max_size=20), st.one_of(st.none(), _integers), st.floats(0.0, 1.0),
    )
)  # fmt: skip
def test_a_plan_survives_encoding_and_decoding(plan: Plan) -> None:
    assert decode_plan(encode_plan(plan)) == plan


def test_a_summary_includes_generations_only_for_a_cluster_member() -> None:
    generations = Generations(
        ProcessGeneration(2**48 - 1, 1_800_000_000_000), (ProcessGeneration(5, 6),) * ENDED_GENERATIONS_MAX
    )
    assert (
        decode_summary(encode_summary(replace(SUMMARY, generations=generations))).generations == generations
    )
    assert len(msgpack.unpackb(msgpack.unpackb(encode_summary(SUMMARY))[1])) == 11
    for invalid_generations in (
        Generations(ProcessGeneration(1, -1)),
        Generations(ProcessGeneration(1, 1), (ProcessGeneration(5, 6),) * (ENDED_GENERATIONS_MAX + 1)),
        Generations(ProcessGeneration(1, 1), ((7,),)),  # type: ignore[arg-type]
    ):
        with pytest.raises(InvalidDocument, match=r"tier|life"):
            decode_summary(encode_summary(replace(SUMMARY, generations=invalid_generations)))


def test_a_summary_survives_encoding_and_decoding() -> None:
    decoded = decode_summary(encode_summary(SUMMARY))
    assert decoded.response_times.counts == SUMMARY.response_times.counts
    decoded.response_times = SUMMARY.response_times
    assert decoded == SUMMARY


@pytest.mark.parametrize(
    ("encoded", "decode"), [(encode_plan(PLAN), decode_plan), (encode_summary(SUMMARY), decode_summary)]
)
def test_a_truncated_or_corrupted_document_is_rejected(encoded: bytes, decode: object) -> None:
    assert callable(decode)
    for position in range(len(encoded)):
        with pytest.raises(InvalidDocument):
            decode(encoded[:position])
        with pytest.raises(InvalidDocument):
            decode(encoded[:position] + bytes([encoded[position] ^ 0x15]) + encoded[position + 1 :])


def encode_document(body: object, version: int = 1) -> bytes:
    import hashlib

    packed = msgpack.packb(body)
    document: bytes = msgpack.packb([version, packed, hashlib.blake2b(packed, digest_size=8).digest()])
    return document


@pytest.mark.parametrize(
    ("field", "value", "field_name"),
    [
        (0, 5, "forwarder"),
        (2, -1, "epoch"),
        (2, "3", "epoch"),
        (2, True, "epoch"),
        (4, 1.5, "sequence"),
        (8, math.nan, "part"),
        (9, [], "shares"),
        (9, {"a": [1.0]}, "shares"),
        (9, {"a": [1.0, 1.0, math.nan, 1.0]}, "share"),
        (9, {"x" * 300: None}, "node"),
    ],
)
def test_an_invalid_field_is_named(field: int, value: object, field_name: str) -> None:
    body = msgpack.unpackb(msgpack.unpackb(encode_plan(PLAN))[1])
    body[field] = value
    with pytest.raises(InvalidDocument, match=field_name):
        decode_plan(encode_document(body))


def test_unknown_versions_and_oversized_documents_are_rejected() -> None:
    with pytest.raises(InvalidDocument, match="version: expected 1, not 2"):
        decode_plan(encode_document([1] * 10, version=2))
    with pytest.raises(InvalidDocument, match="document: expected at most 65536 bytes"):
        decode_plan(b"x" * (DOCUMENT_BYTES_MAX + 1))
    with pytest.raises(InvalidDocument, match="nodes: expected a map of at most 64 entries"):
        body = msgpack.unpackb(msgpack.unpackb(encode_summary(SUMMARY))[1])
        body[9] = {f"n-{number}": [0] * 9 for number in range(65)}
        decode_summary(encode_document(body))


# Documents encoded by a version before the identifiers were renamed; the wire format must not change.
EARLIER_PLAN = (
    b"\x93\x01\xc4z\x9a\xa3f-1\xa400ff\x05\xa3p-0\x0c\xce\x00\t'\xc0\xcd\x9c@\x0b\xcb?\xec\xcc\xcc\xcc\xcc\xcc\xcd\x83"
    b"\xa3n-0\x94\xcb?\xf8\x00\x00\x00\x00\x00\x00\xcb?\xd0\x00\x00\x00\x00\x00\x00\xcb@(\x00\x00\x00\x00\x00\x00\xcb?"
    b"\xe0\x00\x00\x00\x00\x00\x00\xa3n-1\x94\xcb@\x00\x00\x00\x00\x00\x00\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xcb"
    b"\x7f\xf0\x00\x00\x00\x00\x00\x00\xcb?\xf0\x00\x00\x00\x00\x00\x00\xa3n-2\xc0\xc4\x08\x1920\xaa\xe0\x1a\xe4\xf1"
)
EARLIER_SUMMARY = (
    b"\x93\x01\xc4X\x9c\xa3f-1\xa400ff\x08\xce\x00\x01\x86\xa0\x05\xa3p-0\x0c\xcdu0\x81\xa4look\x93\t\x07\x02\x81"
    b"\xa3n-0\x99\x04\x03\x01\xce\x00\x01_\x90\x02\xcb@\x14\x00\x00\x00\x00\x00\x00\xce\x00\x01\xe2@\xcb@\x00\x00\x00"
    b"\x00\x00\x00\x00\xc3\x92\x92\x03\x02\x92\x07\x01\x92\x92\x07\x03\x92\x08\x02\xc4\x08\x8f\x85\xed\xa8\x15h:l"
)
EARLIER_SUMMARY_WITHOUT_CLUSTER = (
    b"\x93\x01\xc4\x17\x9b\xa3f-1\xa400ff\x08\xce\x00\x01\x86\xa0\xff\xa0\xff\xc0\x80\x80\x90"
    b"\xc4\x08\x11\x8e9\x95\x121\x00\x14"
)


def test_an_earlier_versions_plan_is_decoded_and_encoded_identically() -> None:
    plan = decode_plan(EARLIER_PLAN)
    shares = {"n-0": ServerShare(1.5, 0.25, 12.0, 0.5), "n-1": ServerShare(2.0), "n-2": None}
    assert plan == Plan("f-1", "00ff", 5, "p-0", 12, 600_000, 40_000, shares, 11, 0.9)
    assert encode_plan(plan) == EARLIER_PLAN


def test_an_earlier_versions_summary_is_decoded_and_encoded_identically() -> None:
    summary = decode_summary(EARLIER_SUMMARY)
    assert (summary.forwarder, summary.incarnation, summary.number) == ("f-1", "00ff", 8)
    assert (summary.period_us, summary.epoch, summary.planner) == (100_000, 5, "p-0")
    assert (summary.sequence, summary.plan_age_us) == (12, 30_000)
    assert summary.request_classes == {"look": RequestCounts(arrived=9, served=7, rejected=2)}
    assert summary.servers == {"n-0": ServerUsage(4, 3, 1, 90_000, 2, 5.0, 123_456, 2.0, True)}
    assert summary.response_times.counts == {3: 2, 7: 1}
    assert summary.generations == Generations(ProcessGeneration(7, 3), (ProcessGeneration(8, 2),))
    assert encode_summary(summary) == EARLIER_SUMMARY
    without_cluster = decode_summary(EARLIER_SUMMARY_WITHOUT_CLUSTER)
    assert (
        without_cluster.generations is None
        and without_cluster.plan_age_us is None
        and without_cluster.sequence == -1
    )
    assert encode_summary(without_cluster) == EARLIER_SUMMARY_WITHOUT_CLUSTER
