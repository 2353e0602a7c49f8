"""The codec: any split gives the same messages, every bound holds, and junk names its message id where it can."""

from __future__ import annotations

import tracemalloc

import msgpack
import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from topazbank.msgpackrpc.codec import (
    MESSAGE_MOST,
    MSGID_MOST,
    TWICE,
    Decoder,
    Junk,
    Message,
    Notification,
    Odd,
    Reply,
    Request,
    encode_notification,
    encode_request,
    encode_response,
    peek_msgid,
)

msgids = st.integers(0, MSGID_MOST) | st.sampled_from([0, 127, 128, 255, 256, 65535, 65536, MSGID_MOST])
plain = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats(allow_nan=False)
values = plain | st.binary(max_size=40)
params = st.lists(values | st.dictionaries(st.text(max_size=5), values, max_size=4), max_size=4)
messages = st.one_of(
    st.builds(encode_request, msgids, st.text(max_size=8), params),
    st.builds(encode_response, msgids, values, values),
    st.builds(encode_notification, st.text(max_size=8), params),
)


def decode(*pieces: bytes) -> list[Message]:
    decoder = Decoder()
    return [message for piece in pieces for message in decoder.feed(piece)]


@how(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(messages, max_size=6), st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_any_split_gives_the_same_messages(sent: list[bytes], sizes: list[int]) -> None:
    stream = b"".join(sent)
    pieces, at, turn = [], 0, 0
    while at < len(stream):
        size = sizes[turn % len(sizes)]
        pieces.append(stream[at : at + size])
        at, turn = at + size, turn + 1
    assert decode(*pieces) == decode(stream)
    assert len(decode(stream)) == len(sent)


@how(max_examples=300, deadline=None, derandomize=True)
@given(msgids, st.text(max_size=8))
def test_the_id_of_a_request_is_read_from_its_first_bytes(msgid: int, method: str) -> None:
    data = encode_request(msgid, method, [{}])
    assert peek_msgid(data[:16]) == msgid
    decoder = Decoder()
    for byte in data[:-1]:
        assert not list(decoder.feed(bytes([byte])))
    assert decoder.open_msgid() == msgid and decoder.pending == len(data) - 1


@how(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=60), max_size=6), st.binary(max_size=9))
def test_any_bytes_give_messages_or_junk(pieces: list[bytes], head: bytes) -> None:
    decoder = Decoder()
    try:
        for piece in [b"\x94\x00" + head, *pieces]:
            for message in decoder.feed(piece):
                assert isinstance(message, Request | Reply | Notification)
    except Junk as junk:
        assert str(junk)


# What a client or a node may send to fill or to confuse a machine; the id 7 can be read in most.
JUNK: dict[str, tuple[bytes, int | None]] = {
    "not MessagePack": (b"\xc1", None),
    "text": (b"hello", None),
    "an empty array": (b"\x90", None),
    "a map": (b"\x80", None),
    "an array of 2^31 entries": (b"\x94\x00\x07\xdd\x80\x00\x00\x00", 7),
    "a map of 2^31 entries": (b"\x94\x00\x07\xdf\x80\x00\x00\x00", 7),
    "nesting of 10,000": (b"\x94\x00\x07" + b"\x91" * 10_000, 7),
    "nesting of 10,000 maps": (b"\x94\x00\x07" + b"\x81\xa1a" * 10_000, 7),
    "a malformed timestamp": (b"\x94\x00\x07\xa1a\xc7\x03\xff\x00\x00\x00", 7),
    "too long a type": (b"\x94\x05\x07\xc0\xc0", None),
    "a boolean for an id": (b"\x94\x00\xc3\xa1a\x90", None),
    "a request of three": (b"\x93\x00\x07\xa1a", None),
}


@pytest.mark.parametrize("name", JUNK)
def test_junk_is_told_with_the_message_id_where_it_can_be_read(name: str) -> None:
    data, msgid = JUNK[name]
    for pieces in ([data], [bytes([byte]) for byte in data]):
        with pytest.raises(Junk) as bad:
            decode(*pieces)
        assert bad.value.msgid == msgid


def test_a_string_of_60_mb_ends_at_the_bound_and_holds_no_more_than_that() -> None:
    decoder, fed = Decoder(), 0
    assert not list(decoder.feed(b"\x94\x00\x07\xa4look\x91\xdb" + (60_000_000).to_bytes(4, "big")))
    piece = bytes(16 * 1024)
    tracemalloc.start()
    try:
        with pytest.raises(Junk) as bad:
            while fed < 60_000_000:
                fed += len(piece)
                assert not list(decoder.feed(piece))
        assert tracemalloc.get_traced_memory()[1] < 2 * 1024 * 1024
    finally:
        tracemalloc.stop()
    assert fed <= MESSAGE_MOST + len(piece)
    assert bad.value.too_long and bad.value.msgid == 7


def test_a_message_over_the_bound_in_small_parts_is_junk_too() -> None:
    data = encode_request(7, "look", [{"path": "/api"}, *[bytes(40_000)] * 3])
    with pytest.raises(Junk) as bad:
        decode(data)
    assert bad.value.too_long and bad.value.msgid == 7


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x82\xa1a\x01\xa1a\x02",  # a key twice
        b"\x81\x01\x02",  # a key that is no text
        b"\x81\x90\x02",  # one that can't be hashed
        b"\xd4\x05\x01",  # an extension
    ],
)
def test_an_odd_value_spoils_its_own_message_and_no_other(spoilt: bytes) -> None:
    good = encode_request(8, "look", [])
    first, second = decode(b"\x94\x00\x07\xa1a\x91" + spoilt + good)
    assert isinstance(first, Request) and first.msgid == 7
    assert isinstance(first.params, list) and isinstance(first.params[0], Odd)
    assert second == Request(8, b"look", [])


def test_texts_of_the_old_format_may_hold_any_bytes() -> None:
    old = msgpack.Packer(use_bin_type=False)  # `raw` is all that the format had before 2013
    (message,) = decode(old.pack([0, 1, "pay", [{"id": "x"}, b"\xff\xfe"]]))
    assert message == Request(1, b"pay", [{b"id": b"x"}, b"\xff\xfe"])


def test_a_map_with_a_key_twice_is_not_the_last_one_s() -> None:
    (message,) = decode(b"\x94\x00\x07\xa1a\x91\x82\xa2id\xa1x\xa2id\xa1y")
    assert isinstance(message, Request) and message.params == [TWICE]
