"""Whether something may be done for a request now: the one owner of these conditions, which also checks them; no I/O.

The decision module chooses; this module is what stands between a choice and its effect, since time goes by between
them: a dial, a queue, a client that leaves.  Promises, for every protocol:

- an attempt begins only for a request that has no answer yet, within its time, and whose client is here;
- an attempt for an unsafe class begins only if every earlier one provably never ran;
- nothing begins at a server that was told as draining or gone for longer than the grace;
- a server is told no more time than the client has left;
- an answer goes within the client's time.

What a caller should have seen to before and did not is counted as a violation, and not done.  All times are seconds of
the event loop's clock.
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Final, Protocol

from topazbank.balancing.events import Outcome
from topazbank.balancing.settings import Idempotency, Rules
from topazbank.core.call import Call
from topazbank.core.counters import Counters, Violation

SCHEDULING_DELAY_S: Final = (
    0.15  # for so long a process may be held up between reading its clock and an effect
)
ANSWER_GRACE_S: Final = 0.5  # after its time an answer earns nothing; from then on its request counts as lost


@unique
class DenialReason(Enum):
    """Why an attempt may not begin."""

    REQUEST_OVER = "its request has its answer"
    CLIENT_DISCONNECTED = "its client has left"
    DEADLINE_PASSED = "its time is up"
    MAY_HAVE_EXECUTED = "an earlier attempt may have run"
    SERVER_DRAINING = "its server drains or is gone"


class SendTarget(Protocol):
    """What is asked of a server here."""

    name: str
    draining_since: float | None  # since when it takes nothing new; None: it does


class RequestRules:
    """The rules of one process, with its settings."""

    def __init__(self, counters: Counters, rules: Rules) -> None:
        self._counters = counters
        self._drain_grace_s = rules.drain_grace_us / 1e6
        unrun = (Outcome.CONNECT_FAILED, Outcome.UNSENT)  # what proves that an attempt never ran
        self._unrun = frozenset(unrun if rules.rejects_after_start else (*unrun, Outcome.REJECTED))

    def check_send(self, call: Call, now: float) -> DenialReason | None:
        """Why nothing may be sent for a request now; None: it may."""
        if call.is_over:
            return DenialReason.REQUEST_OVER
        if call.has_disconnected():
            return DenialReason.CLIENT_DISCONNECTED
        if now >= call.deadline:
            return DenialReason.DEADLINE_PASSED
        return None

    def check_write(self, call: Call, place: SendTarget, now: float, write_by: float) -> DenialReason | None:
        """Why the first byte of an attempt may not go to its server now; None: it may, and is taken to go."""
        denied = self.check_send(call, now)
        if denied is DenialReason.REQUEST_OVER:
            self._counters.violation(Violation.SENT_AFTER_END, f"request {call.call_id} at {place.name}")
        if denied is None and now >= write_by:
            denied = DenialReason.DEADLINE_PASSED
        if (
            denied is None
            and call.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            and call.possibly_executed
        ):
            self._counters.violation(
                Violation.NON_IDEMPOTENT_RESENT, f"request {call.call_id} at {place.name}"
            )
            denied = DenialReason.MAY_HAVE_EXECUTED
        if (
            denied is None
            and place.draining_since is not None
            and now > place.draining_since + self._drain_grace_s
        ):
            self._counters.violation(Violation.SENT_TO_DRAINING, f"request {call.call_id} at {place.name}")
            denied = DenialReason.SERVER_DRAINING
        if denied is None:
            call.possibly_executed += 1
        return denied

    def attempt_ended(self, call: Call, outcome: Outcome, written: bool) -> None:
        """An attempt has ended; `written`: whether its first byte had been let go."""
        if written and outcome in self._unrun:
            call.possibly_executed -= 1

    def remaining_s(self, call: Call, until: float, now: float) -> float:
        """The time that a server is told of an attempt that is given up at `until`."""
        if until > call.deadline + SCHEDULING_DELAY_S:
            self._counters.violation(Violation.TIMEOUT_BEYOND_CLIENT, f"request {call.call_id}")
        return max(min(until, call.deadline) - now, 0.0)

    def check_answer(self, call: Call, now: float) -> None:
        """A final answer goes to its client now."""
        if now > call.deadline + ANSWER_GRACE_S:
            self._counters.violation(
                Violation.ANSWERED_LATE, f"request {call.call_id}, {now - call.deadline:.2f} s after its time"
            )
