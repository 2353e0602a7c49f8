"""What is read without h11 is read as h11 would read it, or not at all."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from topazbank.http.connection import _answer_reader
from topazbank.http.fast_parser import read_request, read_response

MOST = 1000
PLAIN = b"POST /api/7f HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: \t c-1 \r\nX-Empty:\r\nContent-Length: 3\r\n\r\nabc"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: a/b; c=d\r\nX-Load-Report: TEXT util=0.5\r\ncontent-LENGTH: 3\r\n\r\nabc"


def by_h11(reader: h11.Connection, data: bytes, head: type) -> object:
    """The head, the headers and the body as h11 has them; None where it is not whole, or there is more, or an error."""
    reader.receive_data(data)
    found: h11.Request | h11.Response | None = None
    body = b""
    try:
        while True:
            event = reader.next_event()
            if isinstance(event, h11.Request | h11.Response) and isinstance(event, head):
                found = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
    except h11.RemoteProtocolError:
        return None
    if found is None or reader.trailing_data[0]:
        return None
    first = (found.method, found.target) if isinstance(found, h11.Request) else found.status_code
    if found.http_version != b"1.1" or reader.their_state is not h11.DONE:
        return None  # the connection ends with it: nothing that is read here says so
    return first, list(found.headers), body


def check_request(data: bytes) -> bool:
    whole = read_request(data, MOST)
    if whole is not None:
        head, body = whole
        assert by_h11(h11.Connection(h11.SERVER), data, h11.Request) == (
            (head.method, head.target),
            head.headers,
            body,
        )
    return whole is not None


def check_response(data: bytes) -> bool:
    whole = read_response(data, MOST)
    if whole is not None:
        assert by_h11(_answer_reader(), data, h11.Response) == whole
    return whole is not None


def test_plain_messages_are_read() -> None:
    assert check_request(PLAIN) and check_response(ANSWER)
    assert check_request(b"GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n")


ODD = [
    b"",
    b"Content-Length: 3\r\nContent-Length: 3",
    b"Content-Length: 3\r\nContent-Length: 4",
    b"Content-Length: 3, 3",
    b"Content-Length: +3",
    b"Content-Length: 3\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding : chunked\r\nContent-Length: 3",
    b"Content-Length: 3\r\nConnection: close",
    b"Content-Length: 3\r\nExpect: 100-continue",
    b"Content-Length: 3\r\nUpgrade: x",
    b"Content-Length: 3\r\n folded: x",
    b"Content-Length: 3\r\n\tX: x",
    b"Content-Length : 3",
    b"Content-Length: 3\r\nX\x00: y",
    b"Content-Length: 3\r\nX: \x00",
    b"Content-Length: 3\r\nX: a\nY: b",
    b"Content-Length: 3\r\nX: a\rY: b",
    b"Content-Length: 3\r\nX: \xff",
    b"Content-Length: 3\r\nno colon",
    b"Content-Length: 3\r\n: no name",
    b"Content-Length: 2",
    b"Content-Length: 4",
    b"Content-Length: 9999999999",
    b"Content-Length: \xb3",
]


@pytest.mark.parametrize("lines", ODD)
def test_what_is_not_plain_is_left_to_h11(lines: bytes) -> None:
    assert not check_request(b"POST /api HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n\r\nabc")
    assert not check_response(b"HTTP/1.1 200 OK\r\nX: y\r\n" + lines + b"\r\n\r\nabc")


@pytest.mark.parametrize(
    "first",
    [
        b"POST /api HTTP/1.0",
        b"POST /api HTTP/1.2",
        b"POST  /api HTTP/1.1",
        b"POST /a pi HTTP/1.1",
        b"POST /api HTTP/1.1 ",
        b"post /api HTTP/1.1",
        b"HEAD /api HTTP/1.1",
        b"CONNECT x:1 HTTP/1.1",
        b" POST /api HTTP/1.1",
        b"\r\nPOST /api HTTP/1.1",
        b"POST /\x80 HTTP/1.1",
    ],
)
def test_other_first_lines_are_left_to_h11(first: bytes) -> None:
    assert not check_request(first + b"\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")


@pytest.mark.parametrize("hosts", [b"", b"Host: x\r\nHost: x\r\n"])
def test_a_request_without_one_host_is_left_to_h11(hosts: bytes) -> None:
    assert not check_request(b"GET /api HTTP/1.1\r\n" + hosts + b"X: y\r\n\r\n")


@pytest.mark.parametrize("status", [b"100", b"101", b"199", b"204", b"205", b"304", b"600", b"2000", b"20"])
def test_answers_that_hold_no_body_or_are_not_the_last_are_left_to_h11(status: bytes) -> None:
    assert not check_response(b"HTTP/1.1 " + status + b" X\r\nContent-Length: 3\r\n\r\nabc")


def test_every_cut_and_all_that_follows_is_left_to_h11() -> None:
    for at in range(len(PLAIN)):
        assert read_request(PLAIN[:at], MOST) is None
    for at in range(len(ANSWER)):
        assert read_response(ANSWER[:at], MOST) is None
    assert read_request(PLAIN + b"G", MOST) is None and read_response(ANSWER + b"H", MOST) is None
    assert read_request(PLAIN, 2) is None and read_response(ANSWER, 2) is None
    assert read_request(b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 9000 + b"\r\n\r\n", MOST) is None


_bytes = st.sampled_from(
    [b"\r", b"\n", b"\r\n", b" ", b"\t", b":", b"\x00", b"\x7f", b"\xe9", b"0", b"3", b",", b"x", b""]
)


_changes = st.lists(st.tuples(st.integers(0, 130), st.integers(0, 3), _bytes), max_size=3)


@how(max_examples=400, deadline=None)
@given(st.sampled_from([PLAIN, ANSWER]), _changes)
def test_whatever_is_done_to_a_message_the_two_agree(
    message: bytes, changes: list[tuple[int, int, bytes]]
) -> None:
    for at, dropped, put in changes:
        message = message[:at] + put + message[at + dropped :]
    check_request(message)
    check_response(message)
