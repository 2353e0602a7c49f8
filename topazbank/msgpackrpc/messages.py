"""The message types of MessagePack-RPC and their encoding; no I/O.

As in the published specification (github.com/msgpack-rpc/msgpack-rpc, spec.md), a request is
[0, msgid, method, params], a response [1, msgid, error, result] and a notification [2, method, params].
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from topazbank.core.call import BUFFERED_BODY_BYTES_MAX

REQUEST_TYPE: Final = 0
RESPONSE_TYPE: Final = 1
NOTIFICATION_TYPE: Final = 2
MSGID_MAX: Final = 2**32 - 1  # message ids are 32-bit unsigned integers
MESSAGE_BYTES_MAX: Final = BUFFERED_BODY_BYTES_MAX + 16 * 1024  # a body and its envelope

READY_METHOD: Final = "health.ready"
LIVE_METHOD: Final = "health.live"
STATS_METHOD: Final = "stats"


class RemoteProtocolError(Exception):
    """The peer sent bytes that are not a message; the bytes after them cannot be decoded."""

    def __init__(self, reason: str, msgid: int | None = None) -> None:
        """`msgid`: id of the request that contains the bytes, or None if it cannot be read."""
        super().__init__(reason)
        self.msgid = msgid


class MessageTooLong(RemoteProtocolError):
    """The peer sent a message that exceeds MESSAGE_BYTES_MAX."""

    def __init__(self, msgid: int | None) -> None:
        super().__init__(f"message exceeds {MESSAGE_BYTES_MAX} bytes", msgid)


class InvalidValue:
    """Replaces a value that is not allowed in a call; the rest of the message is readable."""

    def __init__(self, description: str) -> None:
        self._description = description

    def __repr__(self) -> str:
        """Return the description for use in error messages."""
        return self._description


DUPLICATE_KEY: Final = InvalidValue("a map with a duplicate key")
EXTENSION: Final = InvalidValue("an extension type")
NON_TEXT_KEY: Final = InvalidValue("a map with a key that is not a string")


@dataclass(frozen=True, slots=True)
class RpcRequest:
    """A request; `method` and `params` are not validated."""

    msgid: int
    method: Any
    params: Any


@dataclass(frozen=True, slots=True)
class RpcResponse:
    """A response; `error` and `result` are not validated."""

    msgid: int
    error: Any
    result: Any


@dataclass(frozen=True, slots=True)
class RpcNotification:
    """A request that expects no response; `method` and `params` are not validated."""

    method: Any
    params: Any


RpcMessage = RpcRequest | RpcResponse | RpcNotification

_PACKER: Final = msgpack.Packer(use_bin_type=True, autoreset=True)


def encode_request(msgid: int, method: str, params: list[Any]) -> bytes:
    """Encode a request."""
    return bytes(_PACKER.pack((REQUEST_TYPE, msgid, method, params)))


def encode_response(msgid: int, error: object, result: object) -> bytes:
    """Encode a response."""
    return bytes(_PACKER.pack((RESPONSE_TYPE, msgid, error, result)))


def encode_notification(method: str, params: list[Any]) -> bytes:
    """Encode a notification."""
    return bytes(_PACKER.pack((NOTIFICATION_TYPE, method, params)))
