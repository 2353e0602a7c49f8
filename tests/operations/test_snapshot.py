"""Encoding and decoding of the hand-over snapshot."""

from __future__ import annotations

import pytest

from topazbank.balancing.events import ServerState
from topazbank.operations.handover_state import state_from_json, state_to_json
from topazbank.operations.snapshot import (
    HEADER_BYTES,
    InvalidSnapshot,
    body_length,
    decode_snapshot,
    encode_snapshot,
)

# Written by an earlier version of the program.
EARLIER_SNAPSHOT = (
    b'0001000000fff15e7cca{"sockets":["clients","peers"],"list":{"index":42,"snapshot":true,"endpoints":'
    b'[{"name":"s-0","zone":"z1","type":"b","group":3,"status":"active","weight":2.0,'
    b'"since_ms":1700000000000,"address":"10.0.0.7:8100"}]},"clients":17,"nodes":9,"tier":{"own":[7,3]}}'
)


def test_a_snapshot_is_read_as_it_was_written() -> None:
    data = encode_snapshot({"list": {"index": 4}, "clients": 3})
    assert body_length(data[:HEADER_BYTES]) == len(data) - HEADER_BYTES
    assert decode_snapshot(data[:HEADER_BYTES], data[HEADER_BYTES:]) == {"list": {"index": 4}, "clients": 3}


def test_a_snapshot_of_the_former_program_is_read_and_written_alike() -> None:
    values = decode_snapshot(EARLIER_SNAPSHOT[:HEADER_BYTES], EARLIER_SNAPSHOT[HEADER_BYTES:])
    state = state_from_json(values)
    assert state.endpoints is not None and state.endpoints.version == 42
    (entry,) = state.endpoints.entries
    assert (entry.server.name, entry.server.state, entry.address) == (
        "s-0",
        ServerState.READY,
        ("10.0.0.7", 8100),
    )
    assert (state.client_connections, state.server_connections) == (17, 9)
    assert state.cluster_state == {"own": [7, 3]}
    assert encode_snapshot({"sockets": values["sockets"], **state_to_json(state)}) == EARLIER_SNAPSHOT


def test_a_field_that_is_not_valid_is_left_out_and_the_others_are_taken() -> None:
    state = state_from_json({"list": 7, "clients": -1, "nodes": 4, "tier": []})
    assert (state.endpoints, state.client_connections, state.server_connections) == (None, 0, 4)
    assert state.cluster_state is None


def test_a_truncated_or_corrupted_snapshot_is_refused() -> None:
    data = encode_snapshot({"list": {"index": 4}})
    for length in range(len(data)):
        with pytest.raises(InvalidSnapshot):
            decode_snapshot(data[:length][:HEADER_BYTES], data[:length][HEADER_BYTES:])
    for position in range(len(data)):
        corrupted = data[:position] + bytes([data[position] ^ 0x55]) + data[position + 1 :]
        with pytest.raises(InvalidSnapshot):
            decode_snapshot(corrupted[:HEADER_BYTES], corrupted[HEADER_BYTES:])


def test_a_snapshot_of_another_version_or_of_excessive_length_is_refused_by_its_header() -> None:
    data = encode_snapshot({})
    with pytest.raises(InvalidSnapshot, match="snapshot version: expected 1, received 2"):
        body_length(b"0002" + data[4:HEADER_BYTES])
    with pytest.raises(InvalidSnapshot, match="snapshot length of 4294967295 bytes exceeds 4194304 bytes"):
        body_length(data[:4] + b"ffffffff" + data[12:HEADER_BYTES])
