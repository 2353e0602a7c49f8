"""Counters of client-visible events and of violated invariants; no I/O except logging.

A log line names the connection or request. The number of log lines is limited; the counters are complete. A violation
is a defect of this program. It is counted and logged where it is detected and has no other effect. The enum values are
the names shown to operators.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

log = logging.getLogger(__name__)

_LOG_LINES_MAX: Final = 20  # per violation; later occurrences are only counted


@unique
class ClientEvent(Enum):
    """Events that affect clients."""

    REQUEST_REJECTED = "request_rejected"  # answered with an error that the client caused
    REQUEST_TIMED_OUT = "request_timed_out"  # the client stalled while sending it, or was too slow
    # A request in progress was failed because the partial request behind it was overdue.
    UNANSWERED_FAILED_FOR_NEXT = "held_failed_for_next"  # a request behind it on its connection was due
    UNANSWERED_FAILED_FOR_PARTIAL = "held_failed_for_partial"
    CONNECTION_TIMED_OUT = "connection_timed_out"  # idle, or the client does not read its answers
    ANSWER_DISCARDED = "answer_discarded"  # replaced by an error: unread answers exceed the memory limit
    REQUEST_SHED_FOR_MEMORY = (
        "request_shed_for_memory"  # incomplete, refused with 503 to make room for others
    )
    REQUEST_SHED_FOR_CONNECTIONS = (
        "request_shed_for_connections"  # a long body, refused with 503 while others wait to be accepted
    )
    REQUEST_REFUSED_FOR_MEMORY = "request_refused_for_memory"  # complete, refused with 503
    CONNECTION_EVICTED = "connection_made_room"  # closed to make room for another connection
    CONNECTION_SHED_UNREAD = "connection_refused_unread"
    # Beyond the limit on connections, with an incomplete request.
    CONNECTION_SHED_INCOMPLETE = "connection_refused_incomplete"
    CLIENT_DISCONNECTED = "client_left"  # with a request in progress
    CLIENT_DISCONNECTED_UNREAD = "client_left_unread"  # before its request was read


@unique
class Violation(Enum):
    """Invariants that this program itself has violated."""

    STALLED_CLIENT_UNANSWERED = "stopped_client_unheard"  # unanswered for longer than STALL_ANSWER_S
    CLOSED_UNANSWERED = "closed_unanswered"  # a connection closed with a request in progress
    ANSWERED_LATE = "answered_late"
    SENT_AFTER_END = "sent_for_nobody"  # an attempt sent after its request had finished
    NON_IDEMPOTENT_RESENT = "unsafe_resent"  # although an earlier attempt may have been executed
    SENT_TO_DRAINING = "sent_to_draining"  # an attempt sent after the drain grace
    TIMEOUT_BEYOND_CLIENT = "budget_beyond_client"  # the timeout sent to a server exceeds the client's
    LIMIT_CHECK_FAILED = "limits_not_looked_at"  # the check of a connection's limits raised an exception


class Counters:
    """The counters of one process."""

    def __init__(self) -> None:
        self._events: Counter[ClientEvent] = Counter()
        self._violations: Counter[Violation] = Counter()

    def count(self, event: ClientEvent) -> None:
        """Count a client event."""
        self._events[event] += 1

    def violation(self, violation: Violation, subject: str) -> None:
        """Count a violation and log it; `subject` describes the request or connection."""
        self._violations[violation] += 1
        if self._violations[violation] <= _LOG_LINES_MAX:
            log.error("violation %s: %s", violation.value, subject)

    def violations(self, violation: Violation) -> int:
        """The number of times an invariant was violated."""
        return self._violations[violation]

    def as_mapping(self) -> Mapping[str, Mapping[str, int]]:
        """All counters by the names shown to operators."""
        return {
            "events": {event.value: self._events[event] for event in ClientEvent},
            "violations": {violation.value: self._violations[violation] for violation in Violation},
        }
