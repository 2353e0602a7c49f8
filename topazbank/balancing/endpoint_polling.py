"""When the endpoint list is polled: the waits are those of `estimation/poll_schedule.py`."""

from __future__ import annotations

import random
from typing import Final

from topazbank.balancing.actions import LogMessage, WatchEndpoints
from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.settings import DiscoveryMode
from topazbank.estimation import poll_schedule

POLLS_COUNTED_MAX: Final = 8  # since the last answer: from some on all gaps are the longest


class EndpointPolling:
    """Polls until one poll is answered; from then on the list is watched, until that fails."""

    def __init__(self, context: DecisionContext, agenda: Agenda, seed: int) -> None:
        self._context = context
        self._agenda = agenda
        self._poll_within_us = context.settings.rules.poll_within_us
        self._is_polled = context.settings.discovery is DiscoveryMode.ON_REQUEST
        self._jitter = random.Random(str(seed))  # of its own: polls change no choice of servers
        self._failed_polls = 0  # since the last answer
        self._begun_polls = 0  # likewise
        self.due: int | None = None  # clock time of the next poll; None while the list is watched

    def start(self) -> None:
        """Plan the first poll: at once, or spread out in a fleet that may have started all at once."""
        spread_us = poll_schedule.first_poll_spread_us(
            self._context.fleet_size.upper_bound, self._poll_within_us
        )
        if spread_us > 0.0:
            self._poll_in(spread_us * self._jitter.random())
        else:
            self.poll()

    def poll(self) -> None:
        """Poll the list where that is needed, and again after a gap unless an answer comes first."""
        if self._is_polled:
            self._context.actions.append(WatchEndpoints(True))
            self._poll_after_gap()

    def answered(self) -> None:
        """A poll was answered: the list is watched from now on."""
        self._failed_polls = self._begun_polls = 0
        self.due = None

    def failed(self) -> None:
        """A poll failed or the watch broke; plan the next poll, unless it is planned: a failure puts off none."""
        self._failed_polls = min(self._failed_polls + 1, POLLS_COUNTED_MAX)
        if not self._is_polled:
            return
        if self.due is None:
            self._poll_after_gap()
        wait_s = max((self.due or 0) - self._context.now, 0) / 1e6
        text = f"endpoint list polled again in {wait_s:.2f} s: {self._failed_polls} polls failed"
        self._context.actions.append(LogMessage(text))

    def _poll_after_gap(self) -> None:
        """Plan a poll after a gap that grows with each poll since the last answer, however those polls end."""
        gap_us = poll_schedule.retry_interval_us(
            self._begun_polls,
            self._context.fleet_size.upper_bound,
            self._poll_within_us,
            self._jitter.random(),
        )
        self._begun_polls = min(self._begun_polls + 1, POLLS_COUNTED_MAX)
        self._poll_in(gap_us)

    def _poll_in(self, wait_us: float) -> None:
        """Plan a poll, in place of any earlier plan."""
        self.due = self._context.now + int(wait_us)
        self._agenda.schedule(self.due, DeadlineKind.POLL, 0)
