"""Validation of requests, shared by all protocols; an invalid request raises `InvalidRequest`."""

from __future__ import annotations

import re
from typing import Final

from topazbank.balancing.settings import Idempotency, RequestClass, Settings
from topazbank.core.call import Call

# Limit for call ids, tenants and idempotency keys. Longer ones would fill tables and logs.
IDENTIFIER_CHARS_MAX: Final = 256
DEADLINE_TOLERANCE_RATIO: Final = 1.1  # lets a client's rounded timeout exceed the deadline of its class
API_PATH: Final = b"/api"
_TARGET_BYTES_MAX: Final = 8 * 1024  # path and query; servers limit the length of the request line
# Visible ASCII. A space or control character would end the request line early.
_TARGET_PATTERN = re.compile(rb"[!-~]+")
_VISIBLE_ASCII_PATTERN = re.compile(r"[!-~]+")


class InvalidRequest(Exception):
    """The request is not accepted; `status` is the HTTP status code for the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RequestClasses:
    """Lookup of the configured request classes and tenants by name, used by every protocol server."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self._tenants = frozenset(tenant.name for tenant in settings.tenants)

    def request_class(self, name: str) -> RequestClass:
        """Return the class with this name; raise InvalidRequest if it is unknown."""
        request_class = self.classes.get(name)
        if request_class is None:
            raise InvalidRequest(400, "x-call-class is unknown")
        return request_class

    def tenant(self, caller: str | None) -> str | None:
        """Return the tenant with this name, or None if no tenants are configured.

        Raise InvalidRequest if the name is unknown.
        """
        if not self._tenants or caller is None:
            return None
        if caller not in self._tenants:
            raise InvalidRequest(400, "x-caller is unknown")
        return caller

    @staticmethod
    def check(call: Call) -> None:
        """Raise InvalidRequest if a call breaks a rule of its class."""
        if len(call.call_id) > IDENTIFIER_CHARS_MAX:
            raise InvalidRequest(400, f"x-call-id exceeds {IDENTIFIER_CHARS_MAX} characters")
        idempotency = call.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT and (call.body or call.spooled_body is not None):
            raise InvalidRequest(400, "body is not allowed for an idempotent request class")
        if idempotency is Idempotency.KEYED and not call.idempotency_key:
            raise InvalidRequest(400, "idempotency-key is missing")  # servers could not detect its retries
        if call.timeout_us > DEADLINE_TOLERANCE_RATIO * call.request_class.deadline_us:
            raise InvalidRequest(
                400, f"x-budget exceeds the class deadline of {call.request_class.deadline_us} us"
            )


def is_visible_ascii(text: str) -> bool:
    """Whether a text is a valid identifier: 1 to IDENTIFIER_CHARS_MAX characters of visible ASCII."""
    return 0 < len(text) <= IDENTIFIER_CHARS_MAX and _VISIBLE_ASCII_PATTERN.fullmatch(text) is not None


def is_api_target(target: bytes) -> bool:
    """Whether a target (path and query) belongs to the application's API."""
    path = target.partition(b"?")[0]
    in_api = path == API_PATH or path.startswith(API_PATH + b"/")
    return in_api and len(target) <= _TARGET_BYTES_MAX and _TARGET_PATTERN.fullmatch(target) is not None


def key_of_target(target: bytes) -> int | None:
    """Return the key of a request as a number, from the last segment of its path.

    A hexadecimal segment is read as a number; any other segment as big-endian bytes. None if the segment is empty.
    """
    last_segment = target.partition(b"?")[0].removeprefix(API_PATH).rpartition(b"/")[2]
    if not last_segment:
        return None
    try:
        return int(last_segment, 16)
    except ValueError:
        return int.from_bytes(last_segment, "big")
