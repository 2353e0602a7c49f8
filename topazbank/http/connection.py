"""HTTP/1.1 messages and one client connection; h11 reads, and what goes out is joined by hand."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

import h11

from topazbank.core.body import BODY_BYTES_MAX, ResponseStream
from topazbank.core.call import Headers
from topazbank.core.net import Address, SharedBufferProtocol, has_nothing_unread, new_socket
from topazbank.http.fast_parser import read_response

log = logging.getLogger(__name__)

_SLOW_S = 0.03  # an answer that tells no length, and is not whole so long after its first bytes, is passed on
_PIECES_AT_ONCE = 16  # of a large body, before others have their turn
_STREAM_STALL_S = 20.0  # a server that gives nothing more of a large answer for so long has gone
_STREAM_S = 600.0  # and what a large answer may take in all: 32 MB at 64 kB a second, and some more
_HINTS_MOST = 8  # 1xx answers ahead of the one that counts
_FRAMING = (b"content-length", b"transfer-encoding")
_BODILESS = (204, 304)  # statuses whose answers hold no body, whatever their head says
_HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade")
)
ABOUT_BODY = (b"content-type", b"content-encoding")  # of a message's headers, these say how to read its body


def end_to_end(headers: Iterable[tuple[bytes, bytes]], *dropped: bytes) -> Headers:
    """What may be passed on: no header that belongs to one connection, nor those named."""
    return [(n, v) for n, v in headers if n not in _HOP_BY_HOP and n not in dropped]


def message(first: bytes, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a request or an answer.

    h11 only reads here: at hundreds of requests a second its checks of what goes out take a good part of the
    CPU.  All parts are our own or were read by it, so none can hide the end of a line.
    """
    return b"\r\n".join([first, *[b"%b: %b" % each for each in headers], b"", body])


def data_of(event: Any) -> bytes:
    """What an h11.Data holds: a bytearray, though h11 says bytes; compiled code takes types at their word."""
    return bytes(event.data)


@dataclass(slots=True)
class HttpResponse:
    """An answer: whole, or the beginning of a large one."""

    status: int
    headers: Headers
    body: bytes
    stream: ResponseStream | None = None  # it has only begun: this is the rest

    def header(self, name: bytes) -> str | None:
        return next((v.decode("latin-1") for n, v in self.headers if n == name), None)


_ASKED = (h11.Request(method="GET", target="/", headers=[("Host", "-")]), h11.EndOfMessage())


def _answer_reader() -> h11.Connection:
    """What reads one answer; it need not know the request, as none here is a HEAD or a CONNECT."""
    reader = h11.Connection(h11.CLIENT)
    for event in _ASKED:
        reader.send(event)
    return reader


class Connection(SharedBufferProtocol):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, sock: socket.socket, body_most: int, stall_s: float | None = None) -> None:
        self.sock = sock
        self.reusable = True
        self.spoilt = False  # whether it has answered with what is no answer
        self._body_most = body_most
        self._stall_s = stall_s  # what an answer that has begun may take; None: bounded elsewhere
        self._stall: asyncio.TimerHandle | None = None
        self._slow: asyncio.TimerHandle | None = (
            None  # when an answer of unknown length is passed on as it comes
        )
        self._hints = 0  # 1xx answers to the request that is out
        self._h11: h11.Connection | None = None  # reads an answer that did not come whole and plain
        self._transport: asyncio.Transport | None = None
        self._ended: Callable[[HttpResponse | None], None] | None = None
        self._written = False
        self._head: h11.Response | None = None
        self._headers: Headers = []  # its: h11 makes each pair anew whenever they are gone through
        self._body = bytearray()
        self._rest: Iterator[bytes] | None = None  # of the request: pieces that are not written yet
        self._may_stream = False  # whether a large answer is passed on as it comes
        self._stream: ResponseStream | None = None  # the one that is
        self._most: asyncio.TimerHandle | None = None  # when it is given up
        self._paused = False  # whether it waits for its client
        self.on_lost: Callable[[], None] = lambda: None
        self.on_stream_end: Callable[[bool], None] = lambda whole: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that an emptied buffer is told of

    @property
    def written(self) -> bool:
        """Whether the request's last byte has gone to the kernel."""
        return self._written

    def is_idle(self) -> bool:
        """Whether it may carry another request: guards against EOF or bytes that nobody has read yet."""
        open_ = self._transport is not None and not self._transport.is_closing()
        busy = self._ended is not None or self._stream is not None
        return open_ and self.reusable and not busy and has_nothing_unread(self.sock)

    def request(
        self,
        data: bytes,
        ended: Callable[[HttpResponse | None], None],
        rest: Iterator[bytes] | None = None,
        may_stream: bool = False,
    ) -> None:
        """Write a request; `ended` is called once, with the answer or with None if it broke.

        `rest`: of its body, pieces to be written as the server takes them.  `may_stream`: an answer over the bound is
        given as soon as it has begun; `on_stream_end` then tells of its end.
        """
        assert self._transport is not None
        self._ended, self._written, self._hints = ended, False, 0
        self._h11 = None
        self._rest, self._may_stream = rest, may_stream
        self._write(data)

    def _write(self, data: bytes) -> None:
        """Write this, and what follows as far as the kernel takes it at once."""
        transport = self._transport
        assert transport is not None
        for _ in range(_PIECES_AT_ONCE):
            transport.write(data)
            # A failed write closes the transport and empties its buffer, with nothing of it sent.
            if transport.is_closing() or transport.get_write_buffer_size():
                return  # the next piece is written once this one is
            data = next(self._rest, b"") if self._rest is not None else b""
            if not data:
                self._written = True
                return
        asyncio.get_running_loop().call_soon(self._write_on, data)

    def _write_on(self, data: bytes) -> None:
        if self._ended is not None and self._transport is not None and not self._transport.is_closing():
            self._write(data)

    def resume_writing(self) -> None:
        if self._ended is None:
            return
        data = next(self._rest, b"") if self._rest is not None else b""
        if data:
            self._write(data)
        else:
            self._written = True

    def data_received(self, data: bytes) -> None:
        if self._stream is not None:
            self._feed(data)
            self._wait_for_more(_STREAM_STALL_S)
            return
        if self._ended is None:
            self.abort()  # stray bytes: what they answer is anyone's guess
            return
        if self._h11 is None:
            whole = read_response(data, self._body_most)
            if whole is not None:
                self._finish(HttpResponse(*whole), True)
                return
        self._feed(data)
        if self._stall_s is not None and self._has_begun():
            self._wait_for_more(_STREAM_STALL_S if self._stream is not None else self._stall_s)

    def _wait_for_more(self, limit_s: float) -> None:
        """What has begun goes on within this time, or is given up."""
        self._end_stall()
        if not self._paused and (self._ended is not None or self._stream is not None):
            self._stall = asyncio.get_running_loop().call_later(limit_s, self._spoil, "it stalled")

    def eof_received(self) -> bool:
        if self._ended is not None or self._stream is not None:
            self._feed(b"")
        return False

    # -- Large answers: passed on as they come --------------------------------------------------------

    def _begin_stream(self, length: int | None) -> None:
        """Give what is here; the rest follows as the client takes it."""
        assert self._head is not None
        if not self._written:
            self._spoil("it came before its request was written")
            return
        self._end_stall()
        stream = ResponseStream(length, bytes(self._body), self._pause, self.abort)
        self._stream, self._body = stream, bytearray()
        self._most = asyncio.get_running_loop().call_later(_STREAM_S, self._spoil, "no end of it")
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(HttpResponse(self._head.status_code, self._headers, b"", stream))

    def _pause(self, paused: bool) -> None:
        """Stop reading while the client does not take what is here."""
        if self._transport is None or self._transport.is_closing() or paused is self._paused:
            return
        self._paused = paused
        if paused:
            self._end_stall()
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
            self._wait_for_more(_STREAM_STALL_S)

    def _end_stream(self, whole: bool, reusable: bool = False) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        self._head = None
        self._end_stall()
        if self._most is not None:
            self._most.cancel()
        if self._paused:
            self._pause(False)
        if not reusable or not self._written:
            self.abort()
        stream.finish(whole)
        self.on_stream_end(whole)

    def _has_begun(self) -> bool:
        """Whether a part of the answer is here, and not all of it."""
        begun = self._h11 is not None and bool(self._h11.trailing_data[0])
        return self._ended is not None and (self._head is not None or begun)

    def _feed(self, data: bytes) -> None:
        if self._h11 is None:
            self._h11 = _answer_reader()
        try:
            self._h11.receive_data(data)
            while self._next_event(self._h11):
                pass
        except h11.RemoteProtocolError as broken:
            if data:
                self._spoil(str(broken))
            elif self._stream is not None:
                self._end_stream(False)
            else:
                self._finish(None)  # cut short by the end of the connection

    def _spoil(self, why: str) -> None:
        """Give up on an answer that is none: the request ran, and the connection is of no further use."""
        log.debug("answer spoilt: %s", why)
        self.spoilt = True
        if self._stream is not None:
            self._end_stream(False)
        else:
            self._finish(None)

    def _next_event(self, reader: h11.Connection) -> bool:
        event = reader.next_event()
        if isinstance(event, h11.InformationalResponse):
            self._hints += 1
            if self._hints > _HINTS_MOST:
                self._spoil("no end of 1xx answers")
                return False
        elif isinstance(event, h11.Response):
            self._head, self._headers = event, list(event.headers)
            length = next((v for n, v in self._headers if n == b"content-length"), b"0")
            if int(length) > self._body_most:
                return self._is_too_long(int(length))
            return not self._is_all_here(reader)
        elif isinstance(event, h11.Data):
            if self._stream is not None:
                self._stream.feed(data_of(event))
                return self._stream is not None
            self._body += data_of(event)
            if len(self._body) > self._body_most:
                return self._is_too_long(None)
            if self._may_stream and self._slow is None:
                self._slow = asyncio.get_running_loop().call_later(_SLOW_S, self._is_slow)
        elif isinstance(event, h11.EndOfMessage):
            done = reader.our_state is h11.DONE and reader.their_state is h11.DONE
            if self._stream is not None:
                self._end_stream(True, done and not reader.trailing_data[0])
                return False
            self._finish(self._response(), done and not reader.trailing_data[0])
            return False
        return not isinstance(event, h11.ConnectionClosed | type(h11.NEED_DATA))

    def _is_too_long(self, length: int | None) -> bool:
        """An answer is over the bound: pass it on as it comes, or give up on it; say whether more is to be read."""
        served = self._head is not None and self._head.status_code == 200
        if self._may_stream and served and self._is_framed() and (length or 0) <= BODY_BYTES_MAX:
            self._begin_stream(length)
        else:
            self._spoil("too long")
        return self._stream is not None

    def _is_slow(self) -> None:
        """An answer that tells no length comes slowly: it may be a large one, whose first bytes are its time."""
        self._slow = None
        served = self._head is not None and self._head.status_code == 200
        unknown = served and not any(name == b"content-length" for name, _ in self._headers)
        if unknown and self._is_framed() and self._body and self._ended is not None:
            self._is_too_long(None)
            self._wait_for_more(_STREAM_STALL_S)

    def _is_all_here(self, reader: h11.Connection) -> bool:
        """Finish at once with a body that came with its head, as most do: that spares h11 two events."""
        assert self._head is not None
        framing = {name: value for name, value in self._headers if name in _FRAMING}
        rest = reader.trailing_data[0]
        if list(framing) != [b"content-length"] or int(framing[b"content-length"]) != len(rest):
            return False
        if self._head.status_code in _BODILESS:
            return False
        self._body += rest
        self._finish(self._response(), reader.our_state is h11.DONE)
        return True

    def _response(self) -> HttpResponse | None:
        head = self._head
        if head is None:
            return None
        response = HttpResponse(head.status_code, self._headers, bytes(self._body))
        return response if head.status_code in _BODILESS or self._is_framed() else None

    def _is_framed(self) -> bool:
        """Whether its end can be told: by its framing, or by that of a connection that is said to end with it.

        Any other answer that ends with its connection can't be told from one cut short.
        """
        if any(name in _FRAMING for name, _ in self._headers):
            return True
        said = (value.lower() for name, value in self._headers if name == b"connection")
        return any(b"close" in each for each in said)

    def _finish(self, response: HttpResponse | None, reusable: bool = False) -> None:
        ended, self._ended = self._ended, None
        self._head, self._body = None, bytearray()
        self._end_stall()
        if response is None or not reusable or not self._written:
            self.abort()
        if ended is not None:
            ended(response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self._end_stall()
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(None)
        self._end_stream(False)
        self.on_lost()

    def _end_stall(self) -> None:
        if self._slow is not None and self._ended is None:
            self._slow.cancel()
            self._slow = None
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def abort(self) -> None:
        """Close at once; what is not written yet never will be."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: Address, body_most: int, stall_s: float | None = None, sock: socket.socket | None = None
) -> Connection:
    """Dial; raise OSError where no connection comes up."""
    loop = asyncio.get_running_loop()
    sock = sock or new_socket(address)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(partial(Connection, sock, body_most, stall_s), sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection
