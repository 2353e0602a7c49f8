"""Decodes MessagePack-RPC messages as a pure state machine: bytes in, messages out, no I/O.

Promise: a peer makes this process hold at most `_BUFFER_BYTES_MAX` per connection, whatever lengths it announces.  It
rests on the `msgpack` library's streaming unpacker; texts stay bytes, since older peers write any bytes as `raw`.  The
library bounds nesting by its own stack; what a call may nest is checked in request_reading.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import msgpack

from topazbank.msgpackrpc.message_id import PREFIX_BYTES, peek_msgid
from topazbank.msgpackrpc.messages import (
    DUPLICATE_KEY,
    EXTENSION,
    MESSAGE_BYTES_MAX,
    NON_TEXT_KEY,
    NOTIFICATION_TYPE,
    REQUEST_TYPE,
    RESPONSE_TYPE,
    MessageTooLong,
    RemoteProtocolError,
    RpcMessage,
    RpcNotification,
    RpcRequest,
    RpcResponse,
)

_BUFFER_BYTES_MAX: Final = 2 * MESSAGE_BYTES_MAX + 64 * 1024  # a message less one byte, and one read
_IDLE_BUFFER_BYTES: Final = 4 * 1024  # the unpacker's buffer on an idle connection
_ARRAY_ENTRIES_MAX: Final = 64  # messages have four
_MAP_ENTRIES_MAX: Final = 64


def _read_map(pairs: list[tuple[object, object]]) -> object:
    """A map with text keys; one with a repeated key is ambiguous, so it is no value at all."""
    if not all(type(key) is bytes for key, _ in pairs):
        return NON_TEXT_KEY
    result = dict(pairs)
    return result if len(result) == len(pairs) else DUPLICATE_KEY


def _new_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        raw=True,
        strict_map_key=False,  # _read_map checks keys: an invalid one concerns its own message alone
        object_pairs_hook=_read_map,
        ext_hook=lambda code, data: EXTENSION,
        read_size=_IDLE_BUFFER_BYTES,  # its buffer's first size, by default max_buffer_size
        max_buffer_size=_BUFFER_BYTES_MAX,
        max_str_len=MESSAGE_BYTES_MAX,
        max_bin_len=MESSAGE_BYTES_MAX,
        max_array_len=_ARRAY_ENTRIES_MAX,
        max_map_len=_MAP_ENTRIES_MAX,
        max_ext_len=MESSAGE_BYTES_MAX,
    )


class Decoder:
    """Decodes one direction of one connection."""

    def __init__(self) -> None:
        self._unpacker = _new_unpacker()
        self._buffer_has_grown = False  # beyond _IDLE_BUFFER_BYTES
        self._received = 0  # bytes of the stream so far
        self._message_start = 0  # offset in the stream of the message that is not complete yet
        self._prefix = b""  # its first bytes

    @property
    def pending(self) -> int:
        """Bytes of a message that is not complete yet."""
        return self._received - self._message_start

    def feed(self, data: bytes) -> Iterator[RpcMessage]:
        """Yield the messages that are complete with `data`; raise RemoteProtocolError where bytes are no message.

        Consume the iterator completely before the next call.
        """
        if len(self._prefix) < PREFIX_BYTES:
            self._prefix += data[: PREFIX_BYTES - len(self._prefix)]
        self._received += len(data)
        self._buffer_has_grown = self._buffer_has_grown or self.pending > _IDLE_BUFFER_BYTES
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull:
            raise MessageTooLong(self.pending_msgid()) from None
        while True:
            try:
                value = self._unpacker.unpack()
            except msgpack.OutOfData:
                if self.pending > MESSAGE_BYTES_MAX:
                    raise MessageTooLong(self.pending_msgid()) from None
                if self._buffer_has_grown and not self.pending:
                    self._release_buffer()
                return
            except (ValueError, RecursionError, MemoryError) as error:
                # FormatError, StackError and the errors of exceeded bounds are all ValueErrors.
                raise RemoteProtocolError(str(error) or type(error).__name__, self.pending_msgid()) from None
            end = self._unpacker.tell()
            length, self._message_start = end - self._message_start, end
            remaining = self._received - end
            self._prefix = data[len(data) - remaining :][:PREFIX_BYTES] if remaining else b""
            yield _message_of(value, length)

    def _release_buffer(self) -> None:
        """Begin anew with a small buffer.

        Guards against memory held by hundreds of idle connections: the library never shrinks a buffer.
        """
        self._unpacker, self._buffer_has_grown = _new_unpacker(), False
        self._received, self._message_start = 0, 0

    def pending_msgid(self) -> int | None:
        """The id of the request that is not complete yet, where it can be read."""
        return peek_msgid(self._prefix)


def _message_of(value: Any, length: int) -> RpcMessage:
    if type(value) is not list or not value or type(value[0]) is not int:
        raise RemoteProtocolError("a message is an array that begins with its type")
    message_type = value[0]
    if message_type == NOTIFICATION_TYPE and len(value) == 3:
        return RpcNotification(value[1], value[2])
    if message_type not in (REQUEST_TYPE, RESPONSE_TYPE) or len(value) != 4 or type(value[1]) is not int:
        raise RemoteProtocolError("no message that the specification knows")
    if length > MESSAGE_BYTES_MAX:
        raise MessageTooLong(value[1] if message_type == REQUEST_TYPE else None)
    if message_type == REQUEST_TYPE:
        return RpcRequest(value[1], value[2], value[3])
    return RpcResponse(value[1], value[2], value[3])
