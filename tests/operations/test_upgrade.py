"""What crosses from one process of a sidecar to the next."""

from __future__ import annotations

import pytest

from topazbank.operations.upgrade import (
    HEADER_BYTES,
    InvalidSnapshot,
    body_length,
    decode_snapshot,
    encode_snapshot,
    split_connection_limit,
)


def test_a_snapshot_crosses_whole() -> None:
    data = encode_snapshot({"list": {"index": 4}, "clients": 3})
    assert body_length(data[:HEADER_BYTES]) == len(data) - HEADER_BYTES
    assert decode_snapshot(data[:HEADER_BYTES], data[HEADER_BYTES:]) == {"list": {"index": 4}, "clients": 3}


def test_every_cut_and_every_changed_byte_is_refused() -> None:
    data = encode_snapshot({"list": {"index": 4}})
    for cut in range(len(data)):
        with pytest.raises(InvalidSnapshot):
            decode_snapshot(data[:cut][:HEADER_BYTES], data[:cut][HEADER_BYTES:])
    for place in range(len(data)):
        spoilt = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :]
        with pytest.raises(InvalidSnapshot):
            decode_snapshot(spoilt[:HEADER_BYTES], spoilt[HEADER_BYTES:])


def test_another_versions_snapshot_and_an_endless_one_are_refused_by_their_head() -> None:
    data = encode_snapshot({})
    with pytest.raises(InvalidSnapshot, match="version 2"):
        body_length(b"0002" + data[4:HEADER_BYTES])
    with pytest.raises(InvalidSnapshot, match="too long"):
        body_length(data[:4] + b"ffffffff" + data[12:HEADER_BYTES])


@pytest.mark.parametrize("used", range(0, 200, 7))
def test_both_processes_stay_within_one_bound(used: int) -> None:
    dealt = split_connection_limit(160, used)
    assert dealt.old + dealt.new == 160 and dealt.new >= 40
    assert dealt.old >= min(used, 120)
