"""Schedules polls of the endpoint list, at the intervals of `estimation/poll_schedule.py`."""

from __future__ import annotations

import random
from typing import Final

from topazbank.balancing.actions import LogMessage, WatchEndpoints
from topazbank.balancing.agenda import Agenda, DeadlineKind
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.settings import DiscoveryMode
from topazbank.estimation import poll_schedule

POLLS_COUNTED_MAX: Final = 8  # poll counters stop here, past the longest retry interval


class EndpointPolling:
    """Polls the endpoint list until a poll is answered; the list is then watched until the watch fails."""

    def __init__(self, context: DecisionContext, agenda: Agenda, seed: int) -> None:
        self._context = context
        self._agenda = agenda
        self._poll_within_us = context.settings.rules.poll_within_us
        self._is_polled = context.settings.discovery is DiscoveryMode.ON_REQUEST
        # A separate generator, so that polls do not affect the selection of servers.
        self._jitter = random.Random(str(seed))
        self._failed_polls = 0  # polls failed since the last answer
        self._started_polls = 0  # polls started since the last answer
        self.due: int | None = None  # clock time of the next poll; None while the list is watched

    def start(self) -> None:
        """Poll now, or after a random delay in a large fleet, which may have started all at once."""
        spread_us = poll_schedule.first_poll_spread_us(
            self._context.fleet_size.upper_bound, self._poll_within_us
        )
        if spread_us > 0.0:
            self._schedule_poll(spread_us * self._jitter.random())
        else:
            self.poll()

    def poll(self) -> None:
        """Poll the list unless changes are pushed, and schedule a retry in case no answer arrives."""
        if self._is_polled:
            self._context.actions.append(WatchEndpoints(True))
            self._schedule_retry()

    def answered(self) -> None:
        """Stop polling after an answer; the list is watched from now on."""
        self._failed_polls = self._started_polls = 0
        self.due = None

    def failed(self) -> None:
        """Schedule a poll after a failed poll or watch; a failure does not delay a poll already scheduled."""
        self._failed_polls = min(self._failed_polls + 1, POLLS_COUNTED_MAX)
        if not self._is_polled:
            return
        if self.due is None:
            self._schedule_retry()
        wait_s = max((self.due or 0) - self._context.now, 0) / 1e6
        text = f"endpoint list polled again in {wait_s:.2f} s: {self._failed_polls} polls failed"
        self._context.actions.append(LogMessage(text))

    def _schedule_retry(self) -> None:
        """Schedule a poll with backoff, which grows with each poll since the last answer, failed or pending."""
        interval_us = poll_schedule.retry_interval_us(
            self._started_polls,
            self._context.fleet_size.upper_bound,
            self._poll_within_us,
            self._jitter.random(),
        )
        self._started_polls = min(self._started_polls + 1, POLLS_COUNTED_MAX)
        self._schedule_poll(interval_us)

    def _schedule_poll(self, delay_us: float) -> None:
        """Schedule the next poll, replacing one scheduled earlier."""
        self.due = self._context.now + int(delay_us)
        self._agenda.schedule(self.due, DeadlineKind.POLL, 0)
