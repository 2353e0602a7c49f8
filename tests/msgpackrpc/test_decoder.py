"""Tests of the decoder: splits of the stream, limits, and message ids in errors."""

from __future__ import annotations

import itertools
import tracemalloc

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from topazbank.msgpackrpc.decoder import Decoder
from topazbank.msgpackrpc.message_id import PREFIX_BYTES, peek_msgid
from topazbank.msgpackrpc.messages import (
    DUPLICATE_KEY,
    MESSAGE_BYTES_MAX,
    MSGID_MAX,
    InvalidValue,
    MessageTooLong,
    RemoteProtocolError,
    RpcMessage,
    RpcNotification,
    RpcRequest,
    RpcResponse,
    encode_notification,
    encode_request,
    encode_response,
)

msgids = st.integers(0, MSGID_MAX) | st.sampled_from([0, 127, 128, 255, 256, 65535, 65536, MSGID_MAX])
scalars = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats(allow_nan=False)
values = scalars | st.binary(max_size=40)
params = st.lists(values | st.dictionaries(st.text(max_size=5), values, max_size=4), max_size=4)
messages = st.one_of(
    st.builds(encode_request, msgids, st.text(max_size=8), params),
    st.builds(encode_response, msgids, values, values),
    st.builds(encode_notification, st.text(max_size=8), params),
)


def decode(*pieces: bytes) -> list[RpcMessage]:
    decoder = Decoder()
    return [message for piece in pieces for message in decoder.feed(piece)]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(messages, max_size=6), st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_messages_do_not_depend_on_how_the_stream_is_split(sent: list[bytes], sizes: list[int]) -> None:
    stream = b"".join(sent)
    pieces, start = [], 0
    for size in itertools.cycle(sizes):
        if start >= len(stream):
            break
        pieces.append(stream[start : start + size])
        start += size
    assert decode(*pieces) == decode(stream)
    assert len(decode(stream)) == len(sent)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(msgids, st.text(max_size=8))
def test_message_id_is_read_from_the_first_bytes_of_a_request(msgid: int, method: str) -> None:
    data = encode_request(msgid, method, [{}])
    assert peek_msgid(data[:PREFIX_BYTES]) == msgid
    decoder = Decoder()
    for byte in data[:-1]:
        assert not list(decoder.feed(bytes([byte])))
    assert decoder.pending_msgid() == msgid and decoder.pending == len(data) - 1


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=60), max_size=6), st.binary(max_size=9))
def test_arbitrary_bytes_yield_messages_or_a_protocol_error(pieces: list[bytes], start: bytes) -> None:
    decoder = Decoder()
    try:
        for piece in [b"\x94\x00" + start, *pieces]:
            for message in decoder.feed(piece):
                assert isinstance(message, RpcRequest | RpcResponse | RpcNotification)
    except RemoteProtocolError as error:
        assert str(error)


# Malformed input that could exhaust or confuse this process, and the message id in its error (None if unreadable).
MALFORMED: dict[str, tuple[bytes, int | None]] = {
    "not MessagePack": (b"\xc1", None),
    "text": (b"hello", None),
    "an empty array": (b"\x90", None),
    "a map": (b"\x80", None),
    "an array of 2^31 entries": (b"\x94\x00\x07\xdd\x80\x00\x00\x00", 7),
    "a map of 2^31 entries": (b"\x94\x00\x07\xdf\x80\x00\x00\x00", 7),
    "10,000 nested arrays": (b"\x94\x00\x07" + b"\x91" * 10_000, 7),
    "10,000 nested maps": (b"\x94\x00\x07" + b"\x81\xa1a" * 10_000, 7),
    "a malformed timestamp": (b"\x94\x00\x07\xa1a\xc7\x03\xff\x00\x00\x00", 7),
    "an unknown type": (b"\x94\x05\x07\xc0\xc0", None),
    "a boolean message id": (b"\x94\x00\xc3\xa1a\x90", None),
    "a request with three fields": (b"\x93\x00\x07\xa1a", None),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_bytes_raise_an_error_with_the_message_id_if_readable(name: str) -> None:
    data, msgid = MALFORMED[name]
    for pieces in ([data], [bytes([byte]) for byte in data]):
        with pytest.raises(RemoteProtocolError) as raised:
            decode(*pieces)
        assert raised.value.msgid == msgid


def test_string_of_60_mb_is_rejected_at_the_size_limit_without_buffering_more() -> None:
    decoder, fed_bytes = Decoder(), 0
    assert not list(decoder.feed(b"\x94\x00\x07\xa4look\x91\xdb" + (60_000_000).to_bytes(4, "big")))
    piece = bytes(16 * 1024)
    tracemalloc.start()
    try:
        with pytest.raises(RemoteProtocolError) as raised:
            while fed_bytes < 60_000_000:
                fed_bytes += len(piece)
                assert not list(decoder.feed(piece))
        assert tracemalloc.get_traced_memory()[1] < 2 * 1024 * 1024
    finally:
        tracemalloc.stop()
    assert fed_bytes <= MESSAGE_BYTES_MAX + len(piece)
    assert isinstance(raised.value, MessageTooLong) and raised.value.msgid == 7


def test_message_whose_fields_together_exceed_the_size_limit_is_rejected() -> None:
    data = encode_request(7, "look", [{"path": "/api"}, *[bytes(40_000)] * 3])
    with pytest.raises(RemoteProtocolError) as raised:
        decode(data)
    assert isinstance(raised.value, MessageTooLong) and raised.value.msgid == 7


@pytest.mark.parametrize(
    "invalid",
    [
        b"\x82\xa1a\x01\xa1a\x02",  # a duplicate key
        b"\x81\x01\x02",  # a key that is not a string
        b"\x81\x90\x02",  # a key that is not hashable
        b"\xd4\x05\x01",  # an extension type
    ],
)
def test_invalid_value_affects_only_its_own_message(invalid: bytes) -> None:
    valid_request = encode_request(8, "look", [])
    first, second = decode(b"\x94\x00\x07\xa1a\x91" + invalid + valid_request)
    assert isinstance(first, RpcRequest) and first.msgid == 7
    assert isinstance(first.params, list) and isinstance(first.params[0], InvalidValue)
    assert second == RpcRequest(8, b"look", [])


def test_raw_strings_of_the_old_format_may_contain_any_bytes() -> None:
    old_packer = msgpack.Packer(use_bin_type=False)  # before 2013 the format had only `raw`
    (message,) = decode(old_packer.pack([0, 1, "pay", [{"id": "x"}, b"\xff\xfe"]]))
    assert message == RpcRequest(1, b"pay", [{b"id": b"x"}, b"\xff\xfe"])


def test_map_with_a_duplicate_key_is_an_invalid_value() -> None:
    (message,) = decode(b"\x94\x00\x07\xa1a\x91\x82\xa2id\xa1x\xa2id\xa1y")
    assert isinstance(message, RpcRequest) and message.params == [DUPLICATE_KEY]
