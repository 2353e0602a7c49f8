"""When a sidecar polls service discovery for the endpoint list: the one owner of every wait between polls; no I/O.

Promise: while discovery can be reached and answers within `RESPONSE_MAX_S`, a change of the endpoint list is received
before the platform counts this sidecar as notified.  That is, whichever comes first:

- `UPDATE_DEADLINE_S` after discovery had the change and could be reached, whatever became of earlier polls;
- 4 s after a SIGHUP, and 2 s after the new process of an upgrade is ready: both begin with a poll at once;
- 2 s after the timeout of a watch that got no answer: such a watch is followed by a poll at once.

Polls start on a schedule of their own that ends with the first answer.  It does not depend on whether an earlier poll
failed at once, failed later or is still outstanding, so a poll that was lost, or that started just before discovery
recovered, delays no later one.  No interval exceeds `RETRY_INTERVAL_MAX_S`, whatever the size of the fleet and the
settings.

All sidecars share one registry: within these bounds intervals grow with the fleet, and part of each is jitter.
"""

from __future__ import annotations

from typing import Final

UPDATE_DEADLINE_S: Final = 6.0  # by the platform
RESPONSE_MAX_S: Final = 2.0  # for an answer of the registry, its queueing included
# Between the starts of two polls.  With a longer one, a poll that an overloaded registry rejects after RESPONSE_MAX_S
# is not repeated before the deadline.
RETRY_INTERVAL_MAX_S: Final = UPDATE_DEADLINE_S / 2.0
FIRST_POLL_DELAY_MAX_S: Final = 3.0  # from a process's start: its cached list may be old already

BACKOFF_INITIAL_RATIO: Final = 1.0 / 3.0  # the first interval, as part of the longest; intervals double
# The longest interval, as part of the time that the settings allow without a poll: in a small fleet three failed polls
# still fit; in a large one polls of all sidecars must not keep the registry overloaded.
INTERVAL_RATIO_SMALL_FLEET: Final = 0.25
INTERVAL_RATIO_LARGE_FLEET: Final = 0.8
SIDECARS_PER_POLL_WINDOW: Final = 160.0  # sidecars that may poll once in the whole time allowed
RETRY_JITTER_RATIO: Final = 0.5  # sidecars that started together must not keep polling together

WATCH_TIMEOUT_MIN_S = 8.0
WATCH_TIMEOUT_MAX_S: Final = 60.0  # by the platform
FLEET_WATCH_TIMEOUTS_PER_S: Final = 5.0  # of the whole fleet, at one registry
WATCH_JITTER_RATIO: Final = 0.25


def retry_interval_max_us(sidecars: int, poll_within_us: int) -> float:
    """Return the longest time between the starts of two polls while none is answered, microseconds."""
    ratio = max(
        INTERVAL_RATIO_SMALL_FLEET, min(sidecars / SIDECARS_PER_POLL_WINDOW, INTERVAL_RATIO_LARGE_FLEET)
    )
    return min(ratio * poll_within_us, RETRY_INTERVAL_MAX_S * 1e6)


def retry_interval_us(polls_unanswered: int, sidecars: int, poll_within_us: int, jitter: float) -> float:
    """Return the time from a poll's start to the next one's, microseconds.

    `polls_unanswered`: polls before this one since the last answer; `jitter`: a uniform random number, 0 to 1.
    """
    interval_max_us = retry_interval_max_us(sidecars, poll_within_us)
    interval_us = min(BACKOFF_INITIAL_RATIO * 2.0**polls_unanswered, 1.0) * interval_max_us
    return interval_us * (1.0 - RETRY_JITTER_RATIO * jitter)


def first_poll_spread_us(sidecars: int, poll_within_us: int) -> float:
    """Return the time over which the first polls of a fleet that starts at once are spread, microseconds.

    0 in a small fleet.
    """
    ratio = min(sidecars / SIDECARS_PER_POLL_WINDOW, INTERVAL_RATIO_LARGE_FLEET) - INTERVAL_RATIO_SMALL_FLEET
    return min(max(ratio, 0.0) * poll_within_us, FIRST_POLL_DELAY_MAX_S * 1e6)


def watch_timeout_s(sidecars: int) -> float:
    """Return the watch timeout before jitter, seconds.

    Longer in a larger fleet, since all sidecars share one registry.  A registry that stops answering without closing
    connections is noticed after this time only.
    """
    return max(WATCH_TIMEOUT_MIN_S, min(sidecars / FLEET_WATCH_TIMEOUTS_PER_S, WATCH_TIMEOUT_MAX_S))


def jittered_watch_timeout_s(sidecars: int, jitter: float) -> float:
    """Return the timeout of the next watch, seconds; `jitter`: a uniform random number, 0 to 1."""
    return max(watch_timeout_s(sidecars) * (1.0 - WATCH_JITTER_RATIO * jitter), WATCH_TIMEOUT_MIN_S)
