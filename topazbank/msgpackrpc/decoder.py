"""Decodes MessagePack-RPC messages as a pure state machine: bytes in, messages out, no I/O.

Invariant: an incomplete message is kept as its bytes, at most MESSAGE_BYTES_MAX and one read, whatever lengths the peer
announces; it is decoded once it is complete.  Strings stay bytes, since older peers write arbitrary bytes as `raw`.
`message_scanner` limits the values of a message, request_reading checks the nesting of calls.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgpack

from topazbank.msgpackrpc.message_id import PREFIX_BYTES, peek_msgid
from topazbank.msgpackrpc.message_scanner import ENTRIES_MAX, InvalidMessage, MessageScanner
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


def _read_map(pairs: list[tuple[object, object]]) -> object:
    """Return a map with string keys; a map with a duplicate key is ambiguous, so it becomes an InvalidValue."""
    if not all(type(key) is bytes for key, _ in pairs):
        return NON_TEXT_KEY
    result = dict(pairs)
    return result if len(result) == len(pairs) else DUPLICATE_KEY


def _read_extension(code: int, data: bytes) -> object:
    return EXTENSION


class Decoder:
    """Decodes one direction of one connection."""

    def __init__(self) -> None:
        self._buffer = bytearray()  # received and not decoded yet
        self._position = 0  # stream offset of the end of the last message
        self._scanner = MessageScanner()  # of the message at the start of the buffer

    @property
    def pending(self) -> int:
        """The number of received bytes of an incomplete message."""
        return len(self._buffer)

    @property
    def position(self) -> int:
        """The stream offset of the end of the last message."""
        return self._position

    @property
    def held_bytes(self) -> int:
        """The memory that bytes take which are not decoded yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[RpcMessage]:
        """Yield the messages that `data` completes; raise RemoteProtocolError for bytes that are not a message.

        Consume the iterator completely before the next call.
        """
        self._buffer += data
        data = b""  # the iterator may be kept for long
        while self._buffer:
            message = self._take_message()
            if message is None:
                if len(self._buffer) > MESSAGE_BYTES_MAX:
                    raise MessageTooLong(self.pending_msgid())
                return
            yield _decode(message)

    def _take_message(self) -> bytes | None:
        """Remove and return the complete message at the start of the buffer; None if it is incomplete."""
        try:
            length = self._scanner.scan(self._buffer)
        except InvalidMessage as error:
            raise RemoteProtocolError(str(error), self.pending_msgid()) from None
        if length is None:
            return None
        message = bytes(self._buffer[:length])
        del self._buffer[:length]
        self._position += length
        self._scanner = MessageScanner()
        return message

    def discard(self) -> None:
        """Drop what is not decoded; nothing more is fed."""
        self._buffer.clear()

    def pending_msgid(self) -> int | None:
        """The message id of the incomplete request, or None if it cannot be read."""
        return peek_msgid(bytes(self._buffer[:PREFIX_BYTES]))


def _decode(message: bytes) -> RpcMessage:
    """Decode a complete message."""
    if len(message) > MESSAGE_BYTES_MAX:
        raise MessageTooLong(peek_msgid(message[:PREFIX_BYTES]))
    try:
        value = msgpack.unpackb(
            message,
            raw=True,
            strict_map_key=False,  # _read_map checks keys, so that an invalid key affects only its own message
            object_pairs_hook=_read_map,
            ext_hook=_read_extension,
            max_array_len=ENTRIES_MAX,
            max_map_len=ENTRIES_MAX,
        )
    except (ValueError, RecursionError, MemoryError) as error:
        # FormatError, StackError and the errors for exceeded limits are subclasses of ValueError.
        raise RemoteProtocolError(
            str(error) or type(error).__name__, peek_msgid(message[:PREFIX_BYTES])
        ) from None
    return _parse_message(value)


def _parse_message(value: Any) -> RpcMessage:
    if type(value) is not list or not value or type(value[0]) is not int:
        raise RemoteProtocolError("expected an array whose first entry is the message type")
    message_type = value[0]
    if message_type == NOTIFICATION_TYPE and len(value) == 3:
        return RpcNotification(value[1], value[2])
    if message_type not in (REQUEST_TYPE, RESPONSE_TYPE) or len(value) != 4 or type(value[1]) is not int:
        raise RemoteProtocolError("invalid message type, number of fields or message id")
    if message_type == REQUEST_TYPE:
        return RpcRequest(value[1], value[2], value[3])
    return RpcResponse(value[1], value[2], value[3])
