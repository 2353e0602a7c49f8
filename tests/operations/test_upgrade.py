"""What crosses from one process of a sidecar to the next."""

from __future__ import annotations

import pytest

from topazbank.operations.upgrade import HEAD, BadSnapshot, length_of, pack, parts, unpack


def test_a_snapshot_crosses_whole() -> None:
    data = pack({"list": {"index": 4}, "clients": 3})
    assert length_of(data[:HEAD]) == len(data) - HEAD
    assert unpack(data[:HEAD], data[HEAD:]) == {"list": {"index": 4}, "clients": 3}


def test_every_cut_and_every_changed_byte_is_refused() -> None:
    data = pack({"list": {"index": 4}})
    for cut in range(len(data)):
        with pytest.raises(BadSnapshot):
            unpack(data[:cut][:HEAD], data[:cut][HEAD:])
    for place in range(len(data)):
        spoilt = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :]
        with pytest.raises(BadSnapshot):
            unpack(spoilt[:HEAD], spoilt[HEAD:])


def test_another_versions_snapshot_and_an_endless_one_are_refused_by_their_head() -> None:
    data = pack({})
    with pytest.raises(BadSnapshot, match="version 2"):
        length_of(b"0002" + data[4:HEAD])
    with pytest.raises(BadSnapshot, match="too long"):
        length_of(data[:4] + b"ffffffff" + data[12:HEAD])


@pytest.mark.parametrize("used", range(0, 200, 7))
def test_both_processes_stay_within_one_bound(used: int) -> None:
    dealt = parts(160, used)
    assert dealt.old + dealt.new == 160 and dealt.new >= 40
    assert dealt.old >= min(used, 120)
