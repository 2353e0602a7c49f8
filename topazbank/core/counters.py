"""Counters of what this process did to its clients, and of its own broken promises; no I/O.

The log names the connection and request, and is cut short under a flood; the counters are complete.  A violation is a
defect of this program: it is counted and logged where it is detected, and nothing else depends on it.  The values of
the enumerations are the names that operators read.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

log = logging.getLogger(__name__)

_LOGGED_MAX: Final = 20  # log lines for each violation; later ones are only counted


@unique
class ClientEvent(Enum):
    """What happened to clients."""

    REQUEST_REJECTED = "request_rejected"  # with an error, for a fault of its client's
    REQUEST_TIMED_OUT = "request_timed_out"  # its client stalled in the middle of it, or was too slow
    UNANSWERED_FAILED_FOR_PARTIAL = (
        "held_failed_for_partial"  # a request in progress, as the one behind it was overdue
    )
    CONNECTION_TIMED_OUT = "connection_timed_out"  # idle, or its client does not read its answers
    CONNECTION_EVICTED = "connection_made_room"  # closed for another connection
    CONNECTION_SHED_UNREAD = "connection_refused_unread"
    CLIENT_DISCONNECTED = "client_left"  # with a request in progress
    CLIENT_DISCONNECTED_UNREAD = "client_left_unread"  # before its request was read


@unique
class Violation(Enum):
    """Promises of this program, broken by itself."""

    STALLED_CLIENT_UNANSWERED = "stopped_client_unheard"  # for longer than STALL_ANSWER_S
    CLOSED_UNANSWERED = "closed_unanswered"  # a connection with a request in progress
    ANSWERED_LATE = "answered_late"
    SENT_AFTER_END = "sent_for_nobody"  # an attempt whose request is over
    NON_IDEMPOTENT_RESENT = "unsafe_resent"  # though an earlier attempt may have been executed
    SENT_TO_DRAINING = "sent_to_draining"  # after the drain grace
    TIMEOUT_BEYOND_CLIENT = "budget_beyond_client"  # a server gets a longer timeout than its client waits
    LIMIT_CHECK_FAILED = "limits_not_looked_at"  # the check of a connection's limit raised an error


class Counters:
    """The counters of one process."""

    def __init__(self) -> None:
        self._events: Counter[ClientEvent] = Counter()
        self._violations: Counter[Violation] = Counter()

    def count(self, event: ClientEvent) -> None:
        """Count an event."""
        self._events[event] += 1

    def violation(self, violation: Violation, subject: str) -> None:
        """Count a broken promise; `subject`: the request or connection, for the log."""
        self._violations[violation] += 1
        if self._violations[violation] <= _LOGGED_MAX:
            log.error("violation %s: %s", violation.value, subject)

    def violations(self, violation: Violation) -> int:
        """How often a promise was broken."""
        return self._violations[violation]

    def as_mapping(self) -> Mapping[str, Mapping[str, int]]:
        """All counters by name, as operators read them."""
        return {
            "events": {event.value: self._events[event] for event in ClientEvent},
            "violations": {violation.value: self._violations[violation] for violation in Violation},
        }
