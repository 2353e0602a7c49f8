"""The schedule of polls for the endpoint list.  All intervals between polls are defined here; no I/O.

Guarantee: while discovery is reachable and responds within `RESPONSE_MAX_S`, a sidecar receives a change of the
endpoint list before the platform counts that sidecar as notified.  This is the earliest of:

- `UPDATE_DEADLINE_S` after discovery had the change and was reachable, regardless of the results of earlier polls;
- 4 s after a SIGHUP, and 2 s after the new process of an upgrade is ready: both start with an immediate poll;
- 2 s after the timeout of a watch without a response: such a watch is followed by an immediate poll.

Polls start on a schedule that ends with the first response.  The schedule does not depend on whether an earlier poll
failed immediately, failed later or is still in flight.  A poll that was lost, or that started just before discovery
recovered, therefore delays no later poll.  No interval exceeds `RETRY_INTERVAL_MAX_S`, for any fleet size and settings.

All sidecars share one registry.  Within these bounds intervals grow with the fleet, and part of each is jitter.
"""

from __future__ import annotations

from typing import Final

UPDATE_DEADLINE_S: Final = 6.0  # limit set by the platform
RESPONSE_MAX_S: Final = 2.0  # response time of the registry, including queueing
# Maximum time between the starts of two polls.  If it were longer, a poll that an overloaded registry rejects after
# RESPONSE_MAX_S would not be repeated before the deadline.
RETRY_INTERVAL_MAX_S: Final = UPDATE_DEADLINE_S / 2.0
FIRST_POLL_DELAY_MAX_S: Final = 3.0  # from process start, when the cached list may already be outdated

BACKOFF_INITIAL_RATIO: Final = 1.0 / 3.0  # first interval, as a part of the longest; it then doubles
# The longest interval, as a part of the time that the settings allow without a poll.  In a small fleet it leaves time
# for three failed polls.  In a large fleet the polls of all sidecars must not keep the registry overloaded.
INTERVAL_RATIO_SMALL_FLEET: Final = 0.25
INTERVAL_RATIO_LARGE_FLEET: Final = 0.8
SIDECARS_PER_POLL_WINDOW: Final = 160.0  # sidecars that may each poll once per `poll_within_us`
RETRY_JITTER_RATIO: Final = 0.5  # keeps sidecars that started together from polling in step

WATCH_TIMEOUT_MIN_S = 8.0
WATCH_TIMEOUT_MAX_S: Final = 60.0  # limit set by the platform
FLEET_WATCH_TIMEOUTS_PER_S: Final = 5.0  # rate over the whole fleet, at one registry
WATCH_JITTER_RATIO: Final = 0.25


def retry_interval_max_us(sidecars: int, poll_within_us: int) -> float:
    """Return the longest time between the starts of two polls without a response, microseconds."""
    ratio = max(
        INTERVAL_RATIO_SMALL_FLEET, min(sidecars / SIDECARS_PER_POLL_WINDOW, INTERVAL_RATIO_LARGE_FLEET)
    )
    return min(ratio * poll_within_us, RETRY_INTERVAL_MAX_S * 1e6)


def retry_interval_us(polls_unanswered: int, sidecars: int, poll_within_us: int, jitter: float) -> float:
    """Return the time from the start of a poll to the start of the next, microseconds.

    `polls_unanswered`: the number of polls between the last response and this poll.
    `jitter`: a uniform random number, 0 to 1.
    """
    interval_max_us = retry_interval_max_us(sidecars, poll_within_us)
    interval_us = min(BACKOFF_INITIAL_RATIO * 2.0**polls_unanswered, 1.0) * interval_max_us
    return interval_us * (1.0 - RETRY_JITTER_RATIO * jitter)


def first_poll_spread_us(sidecars: int, poll_within_us: int) -> float:
    """Return the time over which first polls are spread when a whole fleet starts together, microseconds.

    The spread is 0 in a small fleet.
    """
    ratio = min(sidecars / SIDECARS_PER_POLL_WINDOW, INTERVAL_RATIO_LARGE_FLEET) - INTERVAL_RATIO_SMALL_FLEET
    return min(max(ratio, 0.0) * poll_within_us, FIRST_POLL_DELAY_MAX_S * 1e6)


def watch_timeout_s(sidecars: int) -> float:
    """Return the watch timeout before jitter, seconds.

    It is longer in a larger fleet, since all sidecars share one registry.  If a registry stops responding without
    closing connections, the failure is detected only after this time.
    """
    return max(WATCH_TIMEOUT_MIN_S, min(sidecars / FLEET_WATCH_TIMEOUTS_PER_S, WATCH_TIMEOUT_MAX_S))


def jittered_watch_timeout_s(sidecars: int, jitter: float) -> float:
    """Return the timeout of the next watch, seconds; `jitter` is a uniform random number, 0 to 1."""
    return max(watch_timeout_s(sidecars) * (1.0 - WATCH_JITTER_RATIO * jitter), WATCH_TIMEOUT_MIN_S)
