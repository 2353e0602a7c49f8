"""What a request must satisfy to be accepted, in any protocol; what it does not is an `InvalidRequest`."""

from __future__ import annotations

import re
from typing import Final

from topazbank.balancing.settings import Idempotency, RequestClass, Settings
from topazbank.core.call import Call

IDENTIFIER_CHARS_MAX: Final = 256  # of a call id, tenant or idempotency key; longer ones fill tables and logs
DEADLINE_TOLERANCE_RATIO: Final = (
    1.1  # a client's timeout may exceed its class's deadline by rounding, no more
)
API_PATH: Final = b"/api"
_TARGET_BYTES_MAX: Final = 8 * 1024  # of path and query: what servers accept in a request's first line
_TARGET = re.compile(rb"[!-~]+")  # visible ASCII: a space or control character would end the first line early
_VISIBLE_ASCII = re.compile(r"[!-~]+")


class InvalidRequest(Exception):
    """A request that is not accepted; `status` is HTTP's for the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class RequestClasses:
    """The settings' request classes and tenants, looked up by name; every protocol server checks against them."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self._tenants = frozenset(tenant.name for tenant in settings.tenants)

    def request_class(self, name: str) -> RequestClass:
        """The class of this name; raise InvalidRequest where there is none."""
        request_class = self.classes.get(name)
        if request_class is None:
            raise InvalidRequest(400, "x-call-class is not known")
        return request_class

    def tenant(self, caller: str | None) -> str | None:
        """The tenant of this name, None where the settings name no tenants; raise InvalidRequest if it is unknown."""
        if not self._tenants or caller is None:
            return None
        if caller not in self._tenants:
            raise InvalidRequest(400, "x-caller is not known")
        return caller

    @staticmethod
    def check(call: Call) -> None:
        """Check a call against the rules of its class; raise InvalidRequest where it breaks one."""
        if len(call.call_id) > IDENTIFIER_CHARS_MAX:
            raise InvalidRequest(400, "x-call-id is too long")
        idempotency = call.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT and (call.body or call.spooled_body is not None):
            raise InvalidRequest(400, "a body belongs to no request that is safe to repeat")
        if idempotency is Idempotency.KEYED and not call.idempotency_key:
            raise InvalidRequest(400, "idempotency-key is missing")  # servers could not drop its repeats
        if call.timeout_us > DEADLINE_TOLERANCE_RATIO * call.request_class.deadline_us:
            raise InvalidRequest(400, "x-budget is longer than the deadline of the class")


def is_visible_ascii(text: str) -> bool:
    """Whether a text may be an identifier in any protocol: visible ASCII, not empty, at most IDENTIFIER_CHARS_MAX."""
    return 0 < len(text) <= IDENTIFIER_CHARS_MAX and _VISIBLE_ASCII.fullmatch(text) is not None


def is_api_target(target: bytes) -> bool:
    """Whether this is a path (and query) of the application's API."""
    path = target.partition(b"?")[0]
    in_api = path == API_PATH or path.startswith(API_PATH + b"/")
    return in_api and len(target) <= _TARGET_BYTES_MAX and _TARGET.fullmatch(target) is not None


def key_of_target(target: bytes) -> int | None:
    """The key that a request concerns: the last part of its path as a number, whatever its characters."""
    last = target.partition(b"?")[0].removeprefix(API_PATH).rpartition(b"/")[2]
    if not last:
        return None
    try:
        return int(last, 16)
    except ValueError:
        return int.from_bytes(last, "big")
