"""Counters of what this process did to its clients, and of its own broken promises; no I/O.

The log says which connection and request, and is cut under a flood; the counters are whole.  A violation is a defect of
this program: it is counted and logged where it is found, and nothing else depends on it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

log = logging.getLogger(__name__)

_LOGGED_MOST: Final = 20  # lines about each violation; beyond it they are counted alone


@unique
class ClientEvent(Enum):
    """What is counted."""

    REQUEST_REJECTED = "request_rejected"  # by its client's own fault, with an error
    REQUEST_TIMED_OUT = "request_timed_out"  # its client stopped in the middle, or was too slow
    UNANSWERED_FAILED_FOR_PARTIAL = "held_failed_for_partial"  # answered early: what is behind it was overdue
    CONNECTION_TIMED_OUT = "connection_timed_out"  # at rest, or its client takes no answer
    CONNECTION_EVICTED = "connection_made_room"
    CONNECTION_SHED_UNREAD = "connection_refused_unread"
    CLIENT_DISCONNECTED = "client_left"  # with a request that was held
    CLIENT_DISCONNECTED_UNREAD = "client_left_unread"  # before its request was read


@unique
class Violation(Enum):
    """Promises of this program, broken by itself."""

    STALLED_CLIENT_UNANSWERED = "stopped_client_unheard"  # for longer than it may go without a word
    CLOSED_UNANSWERED = "closed_unanswered"  # a connection of which a request was read
    ANSWERED_LATE = "answered_late"
    SENT_AFTER_END = "sent_for_nobody"  # an attempt whose client has left, or has its answer
    NON_IDEMPOTENT_RESENT = "unsafe_resent"  # though an earlier attempt may have run
    SENT_TO_DRAINING = "sent_to_draining"  # after the grace
    TIMEOUT_BEYOND_CLIENT = "budget_beyond_client"  # a server is told more time than its client has left
    LIMIT_CHECK_FAILED = "limits_not_looked_at"  # a look at connections' limits failed


class Counters:
    """The counters of one process."""

    def __init__(self) -> None:
        self._events: Counter[ClientEvent] = Counter()
        self._violations: Counter[Violation] = Counter()

    def count(self, event: ClientEvent) -> None:
        self._events[event] += 1

    def violation(self, violation: Violation, about: str) -> None:
        """Count a broken promise; `about`: whose, for the log."""
        self._violations[violation] += 1
        if self._violations[violation] <= _LOGGED_MOST:
            log.error("violation %s: %s", violation.value, about)

    def violations(self, violation: Violation) -> int:
        return self._violations[violation]

    def as_mapping(self) -> Mapping[str, Mapping[str, int]]:
        """All that there are, by name."""
        return {
            "events": {each.value: self._events[each] for each in ClientEvent},
            "violations": {each.value: self._violations[each] for each in Violation},
        }
