"""The decoder: any split gives the same messages, every bound holds, and errors carry a readable message id."""

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
def test_any_split_gives_the_same_messages(sent: list[bytes], sizes: list[int]) -> None:
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
def test_the_id_of_a_request_is_read_from_its_first_bytes(msgid: int, method: str) -> None:
    data = encode_request(msgid, method, [{}])
    assert peek_msgid(data[:PREFIX_BYTES]) == msgid
    decoder = Decoder()
    for byte in data[:-1]:
        assert not list(decoder.feed(bytes([byte])))
    assert decoder.pending_msgid() == msgid and decoder.pending == len(data) - 1


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=60), max_size=6), st.binary(max_size=9))
def test_any_bytes_give_messages_or_a_protocol_error(pieces: list[bytes], head: bytes) -> None:
    decoder = Decoder()
    try:
        for piece in [b"\x94\x00" + head, *pieces]:
            for message in decoder.feed(piece):
                assert isinstance(message, RpcRequest | RpcResponse | RpcNotification)
    except RemoteProtocolError as error:
        assert str(error)


# What a peer may send to exhaust or to confuse this process; the message id 7 can be read in most.
MALFORMED: dict[str, tuple[bytes, int | None]] = {
    "not MessagePack": (b"\xc1", None),
    "text": (b"hello", None),
    "an empty array": (b"\x90", None),
    "a map": (b"\x80", None),
    "an array of 2^31 entries": (b"\x94\x00\x07\xdd\x80\x00\x00\x00", 7),
    "a map of 2^31 entries": (b"\x94\x00\x07\xdf\x80\x00\x00\x00", 7),
    "nesting of 10,000": (b"\x94\x00\x07" + b"\x91" * 10_000, 7),
    "nesting of 10,000 maps": (b"\x94\x00\x07" + b"\x81\xa1a" * 10_000, 7),
    "a malformed timestamp": (b"\x94\x00\x07\xa1a\xc7\x03\xff\x00\x00\x00", 7),
    "an unknown type": (b"\x94\x05\x07\xc0\xc0", None),
    "a boolean for an id": (b"\x94\x00\xc3\xa1a\x90", None),
    "a request of three fields": (b"\x93\x00\x07\xa1a", None),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_bytes_raise_an_error_with_the_message_id_if_it_can_be_read(name: str) -> None:
    data, msgid = MALFORMED[name]
    for pieces in ([data], [bytes([byte]) for byte in data]):
        with pytest.raises(RemoteProtocolError) as raised:
            decode(*pieces)
        assert raised.value.msgid == msgid


def test_a_string_of_60_mb_is_rejected_at_the_bound_and_no_more_is_buffered() -> None:
    decoder, fed = Decoder(), 0
    assert not list(decoder.feed(b"\x94\x00\x07\xa4look\x91\xdb" + (60_000_000).to_bytes(4, "big")))
    piece = bytes(16 * 1024)
    tracemalloc.start()
    try:
        with pytest.raises(RemoteProtocolError) as raised:
            while fed < 60_000_000:
                fed += len(piece)
                assert not list(decoder.feed(piece))
        assert tracemalloc.get_traced_memory()[1] < 2 * 1024 * 1024
    finally:
        tracemalloc.stop()
    assert fed <= MESSAGE_BYTES_MAX + len(piece)
    assert isinstance(raised.value, MessageTooLong) and raised.value.msgid == 7


def test_a_message_over_the_bound_in_small_fields_is_rejected_too() -> None:
    data = encode_request(7, "look", [{"path": "/api"}, *[bytes(40_000)] * 3])
    with pytest.raises(RemoteProtocolError) as raised:
        decode(data)
    assert isinstance(raised.value, MessageTooLong) and raised.value.msgid == 7


@pytest.mark.parametrize(
    "invalid",
    [
        b"\x82\xa1a\x01\xa1a\x02",  # a repeated key
        b"\x81\x01\x02",  # a key that is not a text
        b"\x81\x90\x02",  # one that cannot be hashed
        b"\xd4\x05\x01",  # an extension
    ],
)
def test_an_invalid_value_concerns_its_own_message_only(invalid: bytes) -> None:
    good = encode_request(8, "look", [])
    first, second = decode(b"\x94\x00\x07\xa1a\x91" + invalid + good)
    assert isinstance(first, RpcRequest) and first.msgid == 7
    assert isinstance(first.params, list) and isinstance(first.params[0], InvalidValue)
    assert second == RpcRequest(8, b"look", [])


def test_texts_of_the_old_format_may_contain_any_bytes() -> None:
    old = msgpack.Packer(use_bin_type=False)  # before 2013 the format had only `raw`
    (message,) = decode(old.pack([0, 1, "pay", [{"id": "x"}, b"\xff\xfe"]]))
    assert message == RpcRequest(1, b"pay", [{b"id": b"x"}, b"\xff\xfe"])


def test_a_map_with_a_repeated_key_is_no_value() -> None:
    (message,) = decode(b"\x94\x00\x07\xa1a\x91\x82\xa2id\xa1x\xa2id\xa1y")
    assert isinstance(message, RpcRequest) and message.params == [DUPLICATE_KEY]
