"""The messages of MessagePack-RPC, and how they are encoded; no I/O.

By the published specification (github.com/msgpack-rpc/msgpack-rpc, spec.md): a request is [0, msgid, method, params], a
response [1, msgid, error, result], a notification [2, method, params].
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from topazbank.core.call import BUFFERED_BODY_BYTES_MAX

REQUEST_TYPE: Final = 0
RESPONSE_TYPE: Final = 1
NOTIFICATION_TYPE: Final = 2
MSGID_MAX: Final = 2**32 - 1  # a message id is a 32-bit unsigned integer
MESSAGE_BYTES_MAX: Final = BUFFERED_BODY_BYTES_MAX + 16 * 1024  # a body and its envelope

READY_METHOD: Final = "health.ready"
LIVE_METHOD: Final = "health.live"
STATS_METHOD: Final = "stats"


class RemoteProtocolError(Exception):
    """The peer sent bytes that are no message; nothing behind them can be read."""

    def __init__(self, reason: str, msgid: int | None = None) -> None:
        """`msgid`: of the request that they are part of, where it can be read."""
        super().__init__(reason)
        self.msgid = msgid


class MessageTooLong(RemoteProtocolError):
    """The peer sent a message of more than MESSAGE_BYTES_MAX."""

    def __init__(self, msgid: int | None) -> None:
        super().__init__("a message is too long", msgid)


class InvalidValue:
    """Stands in a message for a value that no call may contain; the message itself can be read."""

    def __init__(self, description: str) -> None:
        self._description = description

    def __repr__(self) -> str:
        """The description, as it goes into errors."""
        return self._description


DUPLICATE_KEY: Final = InvalidValue("a map with a key given twice")
EXTENSION: Final = InvalidValue("an extension type")
NON_TEXT_KEY: Final = InvalidValue("a map with keys that are no texts")


@dataclass(frozen=True, slots=True)
class RpcRequest:
    """A request; `method` and `params` are whatever the peer sent."""

    msgid: int
    method: Any
    params: Any


@dataclass(frozen=True, slots=True)
class RpcResponse:
    """A response; `error` and `result` are whatever the peer sent."""

    msgid: int
    error: Any
    result: Any


@dataclass(frozen=True, slots=True)
class RpcNotification:
    """A request that is not to be answered."""

    method: Any
    params: Any


RpcMessage = RpcRequest | RpcResponse | RpcNotification

_PACKER: Final = msgpack.Packer(use_bin_type=True, autoreset=True)


def encode_request(msgid: int, method: str, params: list[Any]) -> bytes:
    """The bytes of a request."""
    return bytes(_PACKER.pack((REQUEST_TYPE, msgid, method, params)))


def encode_response(msgid: int, error: object, result: object) -> bytes:
    """The bytes of a response."""
    return bytes(_PACKER.pack((RESPONSE_TYPE, msgid, error, result)))


def encode_notification(method: str, params: list[Any]) -> bytes:
    """The bytes of a notification."""
    return bytes(_PACKER.pack((NOTIFICATION_TYPE, method, params)))
