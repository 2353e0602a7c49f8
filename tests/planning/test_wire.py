"""Plans and summaries as bytes: whole ones come back, all others are told."""

from __future__ import annotations

import math
from dataclasses import replace

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from topazbank.cluster.member import GONE_TOLD, Generations
from topazbank.planning.plan import US_PER_S, Plan, ServerShare
from topazbank.planning.summary import QuantileSketch, ServerUsage, SummaryReport
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
    "f", "life", 4, US_PER_S // 10, 3, "p", 10, 5_000, {"look": (3, 2, 1)},
    {"a": ServerUsage(3, 2, 1, 90_000, 1, 2.5, 77, 4.0, True), "b": ServerUsage()}, QuantileSketch({3: 2, 9: 1}),
)  # fmt: skip
_numbers = st.floats(0.0, 1e6, allow_nan=False)
_shares = st.one_of(st.none(), st.builds(ServerShare, _numbers, _numbers, _numbers, st.floats(0.0, 1.0)))
_names = st.text(max_size=20)
_wholes = st.integers(0, 2**62)


@given(
    st.builds(
        Plan, _names, _names, _wholes, _names, _wholes, _wholes, _wholes,
        st.dictionaries(_names, _shares, max_size=20), st.one_of(st.none(), _wholes), st.floats(0.0, 1.0),
    )
)  # fmt: skip
def test_a_plan_comes_back_as_it_was(plan: Plan) -> None:
    assert decode_plan(encode_plan(plan)) == plan


def test_a_summary_of_a_member_of_a_tier_comes_back_and_one_of_none_is_as_before_tiers() -> None:
    lives = Generations((2**48 - 1, 1_800_000_000_000), ((5, 6),) * GONE_TOLD)
    assert decode_summary(encode_summary(replace(SUMMARY, generations=lives))).generations == lives
    assert len(msgpack.unpackb(msgpack.unpackb(encode_summary(SUMMARY))[1])) == 11
    for bad in (
        Generations((1, -1)),
        Generations((1, 1), ((5, 6),) * (GONE_TOLD + 1)),
        Generations((1, 1), ((7,),)),  # type: ignore[arg-type]
    ):
        with pytest.raises(InvalidDocument, match=r"tier|life"):
            decode_summary(encode_summary(replace(SUMMARY, generations=bad)))


def test_a_summary_comes_back_as_it_was() -> None:
    back = decode_summary(encode_summary(SUMMARY))
    assert back.response_times.counts == SUMMARY.response_times.counts
    back.response_times = SUMMARY.response_times
    assert back == SUMMARY


@pytest.mark.parametrize(
    ("encoded", "decode"), [(encode_plan(PLAN), decode_plan), (encode_summary(SUMMARY), decode_summary)]
)
def test_every_cut_and_every_changed_byte_is_told(encoded: bytes, decode: object) -> None:
    assert callable(decode)
    for at in range(len(encoded)):
        with pytest.raises(InvalidDocument):
            decode(encoded[:at])
        with pytest.raises(InvalidDocument):
            decode(encoded[:at] + bytes([encoded[at] ^ 0x15]) + encoded[at + 1 :])


def sealed(body: object, version: int = 1) -> bytes:
    import hashlib

    packed = msgpack.packb(body)
    made: bytes = msgpack.packb([version, packed, hashlib.blake2b(packed, digest_size=8).digest()])
    return made


@pytest.mark.parametrize(
    ("field", "value", "named"),
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
def test_a_field_that_makes_no_sense_is_named(field: int, value: object, named: str) -> None:
    body = msgpack.unpackb(msgpack.unpackb(encode_plan(PLAN))[1])
    body[field] = value
    with pytest.raises(InvalidDocument, match=named):
        decode_plan(sealed(body))


def test_another_version_and_too_long_a_document_are_told() -> None:
    with pytest.raises(InvalidDocument, match="version 1 is wanted"):
        decode_plan(sealed([1] * 10, version=2))
    with pytest.raises(InvalidDocument, match="at most"):
        decode_plan(b"x" * (DOCUMENT_BYTES_MAX + 1))
    with pytest.raises(InvalidDocument, match="nodes: a map"):
        body = msgpack.unpackb(msgpack.unpackb(encode_summary(SUMMARY))[1])
        body[9] = {f"n-{n}": [0] * 9 for n in range(65)}
        decode_summary(sealed(body))
