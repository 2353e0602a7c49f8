"""How often a sidecar may ask for the list, in a fleet whose sidecars all share one registry; no I/O."""

from __future__ import annotations

AGAIN = 0.2  # the first wait after a failed call, of the longest; it doubles
MOST = 0.25  # the longest wait, of the time allowed without asking: three failed calls still fit
LAST = 0.8  # or this in a fleet so large that all asking so often would keep the registry down
WATCH_LEAST_S = 8.0  # how long a watch may wait: a service that fell silent is noticed after it
CHECK_LEAST_S = 1.0  # how long the watch after a silent one may wait: its own silence is noticed after it
CHECKS_A_SECOND = 20.0  # of those, of the whole fleet, if all are in vain
WATCH_MOST_S = 60.0  # by the platform
WATCHES_A_SECOND = 5.0  # that run out, of the whole fleet: as many calls as one registry answers by the way
SPREAD = 0.25  # part of a longer wait that is chance: sidecars that began together do not go on so
FLEET = 160.0  # sidecars that may ask once in the whole time allowed


def longest_wait(sidecars: int, allowed_us: int) -> float:
    """The longest wait between calls that fail, microseconds; always less than the time allowed without asking."""
    return max(MOST, min(sidecars / FLEET, LAST)) * allowed_us


def wait_after(failed: int, sidecars: int, allowed_us: int) -> float:
    """The wait after so many failed calls, microseconds, before chance shortens it: doubled up to the longest."""
    return min(AGAIN * 2.0**failed, 1.0) * longest_wait(sidecars, allowed_us)


def first_spread(sidecars: int, allowed_us: int) -> float:
    """Over how long the first calls of a fleet that starts at once are spread, microseconds; 0 in a small one."""
    return longest_wait(sidecars, allowed_us) - MOST * allowed_us


def watch_s(sidecars: int) -> float:
    """How long a watch may wait, seconds, in a fleet of so many sidecars: all of them share one registry.

    A longer wait harms where the registry falls silent without a word, which is noticed after it.
    """
    return max(WATCH_LEAST_S, min(sidecars / WATCHES_A_SECOND, WATCH_MOST_S))


def check_s(sidecars: int) -> float:
    """How long the watch that follows a silent one may wait, seconds: short, where the fleet is small enough."""
    return min(max(CHECK_LEAST_S, sidecars / CHECKS_A_SECOND), watch_s(sidecars))
