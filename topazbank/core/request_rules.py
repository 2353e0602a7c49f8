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

HELD_UP_S: Final = 0.15  # for so long a process may be held up between reading its clock and an effect
ANSWER_SLACK_S: Final = 0.5  # after its time an answer earns nothing; from then on its request counts as lost


@unique
class Denied(Enum):
    """Why an attempt may not begin."""

    OVER = "its request has its answer"
    CLIENT_LEFT = "its client has left"
    TIME_UP = "its time is up"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    SERVER_LEFT = "its server drains or is gone"


class Place(Protocol):
    """What is asked of a server here."""

    name: str
    left_at: float | None  # since when it takes nothing new; None: it does


class RequestRules:
    """The rules of one process, with its settings."""

    def __init__(self, counters: Counters, rules: Rules) -> None:
        self._counters = counters
        self._drain_grace_s = rules.drain_grace_us / 1e6
        unrun = (Outcome.CONNECT_FAILED, Outcome.UNSENT)  # what proves that an attempt never ran
        self._unrun = frozenset(unrun if rules.rejects_after_start else (*unrun, Outcome.REJECTED))

    def denied(self, call: Call, now: float) -> Denied | None:
        """Why nothing may be sent for a request now; None: it may."""
        if call.over:
            return Denied.OVER
        if call.has_left():
            return Denied.CLIENT_LEFT
        if now >= call.answer_by:
            return Denied.TIME_UP
        return None

    def denied_write(self, call: Call, place: Place, now: float, write_by: float) -> Denied | None:
        """Why the first byte of an attempt may not go to its server now; None: it may, and is taken to go."""
        denied = self.denied(call, now)
        if denied is Denied.OVER:
            self._counters.violated(Violation.SENT_FOR_NOBODY, f"request {call.ident} at {place.name}")
        if denied is None and now >= write_by:
            denied = Denied.TIME_UP
        if denied is None and call.kind.idempotency is Idempotency.NON_IDEMPOTENT and call.unproven:
            self._counters.violated(Violation.UNSAFE_RESENT, f"request {call.ident} at {place.name}")
            denied = Denied.MAY_HAVE_RUN
        if denied is None and place.left_at is not None and now > place.left_at + self._drain_grace_s:
            self._counters.violated(Violation.SENT_TO_DRAINING, f"request {call.ident} at {place.name}")
            denied = Denied.SERVER_LEFT
        if denied is None:
            call.unproven += 1
        return denied

    def ended(self, call: Call, outcome: Outcome, written: bool) -> None:
        """An attempt has ended; `written`: whether its first byte had been let go."""
        if written and outcome in self._unrun:
            call.unproven -= 1

    def time_to_tell(self, call: Call, until: float, now: float) -> float:
        """The time that a server is told of an attempt that is given up at `until`."""
        if until > call.answer_by + HELD_UP_S:
            self._counters.violated(Violation.BUDGET_BEYOND_CLIENT, f"request {call.ident}")
        return max(min(until, call.answer_by) - now, 0.0)

    def answered(self, call: Call, now: float) -> None:
        """A final answer goes to its client now."""
        if now > call.answer_by + ANSWER_SLACK_S:
            self._counters.violated(
                Violation.ANSWERED_LATE, f"request {call.ident}, {now - call.answer_by:.2f} s after its time"
            )
