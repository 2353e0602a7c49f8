"""MessagePack-RPC messages as a pure state machine: bytes in, messages out, no I/O.

By the published specification (github.com/msgpack-rpc/msgpack-rpc, spec.md): a request is [0, msgid, method,
params], a response [1, msgid, error, result], a notification [2, method, params].  Reading rests on the `msgpack`
library's streaming unpacker, held within bounds; texts stay bytes, since older peers write any bytes as `raw`.
The library bounds nesting by its own stack; what calls may nest is in mapping.py.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgpack

from topazbank.core.call import BUFFERED_BODY_BYTES_MAX

REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
MSGID_MOST = 2**32 - 1  # a message id is a 32-bit unsigned integer

MESSAGE_MOST = BUFFERED_BODY_BYTES_MAX + 16 * 1024  # bytes of one message: a body and its envelope
_HELD_MOST = 2 * MESSAGE_MOST + 64 * 1024  # bytes held unparsed: a message less a byte, and one read
_KEPT = 4 * 1024  # bytes of buffer that a connection at rest holds
_ARRAY_MOST = 64  # entries of any array; messages have four
_MAP_MOST = 64  # entries of any map
_PREFIX = 16  # bytes of a message that are kept until its id can be read: its head needs 11


class Junk(Exception):
    """Bytes that are no message.  Nothing behind them can be read.

    `msgid` is that of the request they stand in, where it could be read; `too_long` tells what a bound ended.
    """

    def __init__(self, why: str, msgid: int | None = None, too_long: bool = False) -> None:
        super().__init__(why)
        self.msgid = msgid
        self.too_long = too_long


class Odd:
    """Stands for a value that no call holds: a map that gives a key twice, or an extension."""

    def __init__(self, what: str) -> None:
        self.what = what

    def __repr__(self) -> str:
        return self.what


TWICE: Final = Odd("a map with a key given twice")
EXTENSION: Final = Odd("an extension type")
KEYS: Final = Odd("a map with keys that are no texts")


@dataclass(frozen=True, slots=True)
class Request:
    msgid: int
    method: Any
    params: Any


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; called so to be told apart from a node's `Response` to an attempt."""

    msgid: int
    error: Any
    result: Any


@dataclass(frozen=True, slots=True)
class Notification:
    method: Any
    params: Any


Message = Request | Reply | Notification


def _read_map(pairs: list[tuple[object, object]]) -> object:
    """A map of texts; one with a key given twice may mean two things, so it means nothing."""
    if not all(type(key) is bytes for key, _ in pairs):
        return KEYS
    made = dict(pairs)
    return made if len(made) == len(pairs) else TWICE


def _unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        raw=True,
        strict_map_key=False,  # _read_map looks at keys: an odd one spoils its own message alone
        object_pairs_hook=_read_map,
        ext_hook=lambda code, data: EXTENSION,
        read_size=_KEPT,  # what its buffer begins with; by default it takes all that it may at once
        max_buffer_size=_HELD_MOST,
        max_str_len=MESSAGE_MOST,
        max_bin_len=MESSAGE_MOST,
        max_array_len=_ARRAY_MOST,
        max_map_len=_MAP_MOST,
        max_ext_len=MESSAGE_MOST,
    )


class Decoder:
    """Reads one direction of one connection."""

    def __init__(self) -> None:
        self._unpacker = _unpacker()
        self._grown = False  # whether its buffer holds more than _KEPT
        self._fed = 0  # bytes of the stream so far
        self._begun_at = 0  # where in it the message that is not whole yet begins
        self._prefix = b""  # its first bytes

    @property
    def pending(self) -> int:
        """Bytes of a message that is not whole yet."""
        return self._fed - self._begun_at

    def feed(self, data: bytes) -> Iterator[Message]:
        """Take bytes; give the messages that are whole now.  Raise Junk where they can't be read.

        Consume all of it before the next call.
        """
        if len(self._prefix) < _PREFIX:
            self._prefix += data[: _PREFIX - len(self._prefix)]
        self._fed += len(data)
        self._grown = self._grown or self.pending > _KEPT
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull:
            raise Junk("a message is too long", self.open_msgid(), True) from None
        while True:
            try:
                given = self._unpacker.unpack()
            except msgpack.OutOfData:
                if self.pending > MESSAGE_MOST:
                    raise Junk("a message is too long", self.open_msgid(), True) from None
                if self._grown and not self.pending:
                    # A grown buffer is never given back: hundreds of connections would hold it for nothing.
                    self._unpacker, self._grown, self._fed, self._begun_at = _unpacker(), False, 0, 0
                return
            except (ValueError, RecursionError, MemoryError) as bad:
                # FormatError, StackError and what breaks a bound are all ValueErrors.
                raise Junk(str(bad) or type(bad).__name__, self.open_msgid()) from None
            end = self._unpacker.tell()
            length, self._begun_at = end - self._begun_at, end
            behind = self._fed - end
            self._prefix = data[len(data) - behind :][:_PREFIX] if behind else b""
            yield _message(given, length)

    def open_msgid(self) -> int | None:
        """The id of the request that is not whole yet, where it can be read."""
        return peek_msgid(self._prefix)


def _message(given: Any, length: int) -> Message:
    if type(given) is not list or not given or type(given[0]) is not int:
        raise Junk("a message is an array that begins with its type")
    kind = given[0]
    if kind == NOTIFICATION and len(given) == 3:
        return Notification(given[1], given[2])
    if kind not in (REQUEST, RESPONSE) or len(given) != 4 or type(given[1]) is not int:
        raise Junk("no message that the specification knows")
    if length > MESSAGE_MOST:
        raise Junk("a message is too long", given[1] if kind == REQUEST else None, True)
    made: Message = (
        Request(given[1], given[2], given[3]) if kind == REQUEST else Reply(given[1], given[2], given[3])
    )
    return made


_UNSIGNED = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_SIGNED = {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}


def peek_msgid(prefix: bytes) -> int | None:
    """The message id of a request of which only the first bytes are here; None where it can't be told."""
    if prefix[:1] == b"\x94":
        rest = prefix[1:]
    elif prefix[:3] == b"\xdc\x00\x04":
        rest = prefix[3:]
    elif prefix[:5] == b"\xdd\x00\x00\x00\x04":
        rest = prefix[5:]
    else:
        return None
    if rest[:1] != b"\x00" or len(rest) < 2:
        return None
    first = rest[1]
    if first < 0x80:
        return first
    if first >= 0xE0:
        return first - 0x100
    size = _UNSIGNED.get(first) or _SIGNED.get(first)
    if size is None or len(rest) < 2 + size:
        return None
    return int.from_bytes(rest[2 : 2 + size], "big", signed=first in _SIGNED)


_PACKER = msgpack.Packer(use_bin_type=True, autoreset=True)


def encode_request(msgid: int, method: str, params: list[Any]) -> bytes:
    return bytes(_PACKER.pack((REQUEST, msgid, method, params)))


def encode_response(msgid: int, error: object, result: object) -> bytes:
    return bytes(_PACKER.pack((RESPONSE, msgid, error, result)))


def encode_notification(method: str, params: list[Any]) -> bytes:
    return bytes(_PACKER.pack((NOTIFICATION, method, params)))
