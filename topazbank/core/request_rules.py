"""Whether something may be done for a request now: the one owner of these conditions, which also checks them; no I/O.

The decision module chooses; time passes between a choice and its effect (a connect, a queue, a client that leaves), and
this module decides then.  Promises, for every protocol:

- an attempt begins only for a request without an answer, before its deadline, whose client is connected;
- an attempt of a non-idempotent class begins only if every earlier one provably was not executed;
- nothing begins at a server that has been draining or removed for longer than the drain grace;
- the timeout that a server gets is no longer than the time the client has left;
- an answer goes out before the client's deadline.

What a caller should have prevented and did not is counted as a violation, and not done.  All times are seconds of the
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

SCHEDULING_DELAY_S: Final = 0.15  # tolerated between reading the clock and an effect
ANSWER_GRACE_S: Final = (
    0.5  # after its deadline an answer is worth nothing; later still, its request counts as lost
)


@unique
class DenialReason(Enum):
    """Why an attempt may not begin."""

    REQUEST_OVER = "its request is over"
    CLIENT_DISCONNECTED = "its client has disconnected"
    DEADLINE_PASSED = "its deadline has passed"
    MAY_HAVE_EXECUTED = "an earlier attempt may have been executed"
    SERVER_DRAINING = "its server is draining or removed"


class RequestRules:
    """The rules of one process, with its settings."""

    def __init__(self, counters: Counters, rules: Rules) -> None:
        self._counters = counters
        self._drain_grace_s = rules.drain_grace_us / 1e6
        not_executed = (Outcome.CONNECT_FAILED, Outcome.UNSENT)
        self._not_executed = frozenset(
            not_executed if rules.rejects_after_start else (*not_executed, Outcome.REJECTED)
        )

    def check_send(self, call: Call, now: float) -> DenialReason | None:
        """Why no attempt may begin for a request now; None: it may."""
        if call.is_over:
            return DenialReason.REQUEST_OVER
        if call.has_disconnected():
            return DenialReason.CLIENT_DISCONNECTED
        if now >= call.deadline:
            return DenialReason.DEADLINE_PASSED
        return None

    def check_write(self, call: Call, endpoint: Endpoint, now: float, write_by: float) -> DenialReason | None:
        """Why the first byte of an attempt may not go to its server now; None: it may, and is assumed to go."""
        denied = self.check_send(call, now)
        if denied is DenialReason.REQUEST_OVER:
            self._violation(Violation.SENT_AFTER_END, call, endpoint)
        if denied is None and now >= write_by:
            denied = DenialReason.DEADLINE_PASSED
        non_idempotent = call.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        if denied is None and non_idempotent and call.possibly_executed:
            self._violation(Violation.NON_IDEMPOTENT_RESENT, call, endpoint)
            denied = DenialReason.MAY_HAVE_EXECUTED
        since = endpoint.draining_since
        if denied is None and since is not None and now > since + self._drain_grace_s:
            self._violation(Violation.SENT_TO_DRAINING, call, endpoint)
            denied = DenialReason.SERVER_DRAINING
        if denied is None:
            call.possibly_executed += 1
        return denied

    def attempt_ended(self, call: Call, outcome: Outcome, written: bool) -> None:
        """Note an attempt's end; `written`: whether its first byte was allowed to go."""
        if written and outcome in self._not_executed:
            call.possibly_executed -= 1

    def remaining_s(self, call: Call, give_up_at: float, now: float) -> float:
        """How long the client still waits, for the server of an attempt, seconds."""
        if give_up_at > call.deadline + SCHEDULING_DELAY_S:
            self._counters.violation(Violation.TIMEOUT_BEYOND_CLIENT, f"request {call.call_id}")
        return max(min(give_up_at, call.deadline) - now, 0.0)

    def check_answer(self, call: Call, now: float) -> None:
        """Count a violation where a final answer goes out too late."""
        late_s = now - call.deadline
        if late_s > ANSWER_GRACE_S:
            self._counters.violation(
                Violation.ANSWERED_LATE, f"request {call.call_id}, {late_s:.2f} s after its deadline"
            )

    def _violation(self, violation: Violation, call: Call, endpoint: Endpoint) -> None:
        self._counters.violation(violation, f"request {call.call_id} at {endpoint.name}")
