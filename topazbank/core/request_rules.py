"""The conditions under which a request may be sent, written or answered, checked just before the effect; no I/O.

The balancer decides what to do, but time passes before the decision takes effect: connecting and queueing take time,
and the client may disconnect. This module checks the conditions again at that moment. Invariants, for every protocol:

- an attempt begins only if its request is unanswered, its deadline has not passed and its client is connected;
- an attempt of a non-idempotent class begins only if every earlier attempt provably was not executed;
- no attempt begins at a server that has been draining or removed for longer than the drain grace;
- the timeout sent to a server does not exceed the client's remaining time;
- an answer is sent before the client's deadline.

An operation that the caller should have prevented is denied and counted as a violation. All times are seconds on the
event loop's clock.
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Final

from topazbank.balancing.events import Outcome
from topazbank.balancing.settings import Idempotency, Rules
from topazbank.core.call import Call
from topazbank.core.counters import Counters, Violation
from topazbank.core.endpoints import Endpoint

SCHEDULING_DELAY_S: Final = 0.15  # tolerance between reading the clock and the effect
# An answer has no value after its deadline. If it is later by more than this grace, its request counts as lost.
ANSWER_GRACE_S: Final = 0.5


@unique
class DenialReason(Enum):
    """The reason why an attempt may not begin."""

    REQUEST_OVER = "request is already finished"
    CLIENT_DISCONNECTED = "client has disconnected"
    DEADLINE_PASSED = "deadline has passed"
    MAY_HAVE_EXECUTED = "earlier attempt may have been executed"
    SERVER_DRAINING = "server is draining or removed"


class RequestRules:
    """Checks the send, write and answer conditions of one process."""

    def __init__(self, counters: Counters, rules: Rules) -> None:
        self._counters = counters
        self._drain_grace_s = rules.drain_grace_us / 1e6
        not_executed = (Outcome.CONNECT_FAILED, Outcome.UNSENT)
        self._not_executed = frozenset(
            not_executed if rules.rejects_after_start else (*not_executed, Outcome.REJECTED)
        )

    def check_send(self, call: Call, now: float) -> DenialReason | None:
        """Return why no attempt may begin for the request now, or None if one may."""
        if call.is_over:
            return DenialReason.REQUEST_OVER
        if call.has_disconnected():
            return DenialReason.CLIENT_DISCONNECTED
        if now >= call.deadline:
            return DenialReason.DEADLINE_PASSED
        return None

    def check_write(self, call: Call, endpoint: Endpoint, now: float, write_by: float) -> DenialReason | None:
        """Return why an attempt's first byte may not be written to its server now, or None if it may.

        With None the attempt counts as written.
        """
        denial = self.check_send(call, now)
        if denial is DenialReason.REQUEST_OVER:
            self._violation(Violation.SENT_AFTER_END, call, endpoint)
        if denial is None and now >= write_by:
            denial = DenialReason.DEADLINE_PASSED
        non_idempotent = call.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if denial is None and non_idempotent and call.possibly_executed:
            self._violation(Violation.NON_IDEMPOTENT_RESENT, call, endpoint)
            denial = DenialReason.MAY_HAVE_EXECUTED
        draining_since = endpoint.draining_since
        if denial is None and draining_since is not None and now > draining_since + self._drain_grace_s:
            self._violation(Violation.SENT_TO_DRAINING, call, endpoint)
            denial = DenialReason.SERVER_DRAINING
        if denial is None:
            call.possibly_executed += 1
        return denial

    def attempt_ended(self, call: Call, outcome: Outcome, written: bool) -> None:
        """Record the end of an attempt; `written`: whether its first byte was allowed to be written."""
        if written and outcome in self._not_executed:
            call.possibly_executed -= 1

    def remaining_s(self, call: Call, give_up_at: float, now: float) -> float:
        """The timeout to send to the server: how long the client still waits, in seconds."""
        if give_up_at > call.deadline + SCHEDULING_DELAY_S:
            self._counters.violation(Violation.TIMEOUT_BEYOND_CLIENT, f"request {call.call_id}")
        return max(min(give_up_at, call.deadline) - now, 0.0)

    def check_answer(self, call: Call, now: float) -> None:
        """Count a violation if a final answer is sent too late."""
        lateness_s = now - call.deadline
        if lateness_s > ANSWER_GRACE_S:
            self._counters.violation(
                Violation.ANSWERED_LATE, f"request {call.call_id}, {lateness_s:.2f} s after its deadline"
            )

    def _violation(self, violation: Violation, call: Call, endpoint: Endpoint) -> None:
        self._counters.violation(violation, f"request {call.call_id} at {endpoint.name}")
