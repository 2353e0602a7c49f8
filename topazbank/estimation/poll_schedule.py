"""When discovery is asked for the list: the one owner of every wait between its calls; no I/O.

Promise: while discovery can be reached and answers within ANSWER_S, a change is heard before it counts as told.  The
platform's terms, of which the shortest that applies holds:

- NEWS_DUE_S after discovery had the change and could be reached, whatever became of earlier calls;
- 4 s after a SIGHUP, 2 s after the process of an upgrade is ready: so those begin with a call at once;
- 2 s after the wait of a watch that fell silent: so a silent one is followed by a call at once.

Calls are therefore begun on a schedule of their own, which ends with the first answer.  Whether an earlier call failed
at once, after a while, or is still out does not matter to it: a call that was lost on its way, or begun just before
discovery came back, delays none after it.  No wait grows beyond RETRY_GAP_MOST_S, neither by the size of the fleet nor
by what the settings allow without asking.

All sidecars share one registry, so within these bounds waits are longer in a larger fleet, and partly chance.
"""

from __future__ import annotations

from typing import Final

NEWS_DUE_S: Final = 6.0  # a change counts as told so long after discovery had it and could be reached
ANSWER_S: Final = (
    2.0  # what the registry may take for an answer, turn included, with which the promise still holds
)
# Between the beginnings of two calls.  Longer, and a call that a crowded registry turns away after ANSWER_S is not made
# again before its news are due.
RETRY_GAP_MOST_S: Final = NEWS_DUE_S / 2.0
FIRST_CALL_MOST_S: Final = 3.0  # from a process's start to its first call: its list may be old already

FIRST_GAP: Final = 1.0 / 3.0  # the first gap between calls, of the longest; it doubles
GAP_SMALL_FLEET: Final = (
    0.25  # the longest gap, of the time allowed without asking: three failed calls still fit
)
GAP_LARGE_FLEET: Final = (
    0.8  # or this in a fleet so large that all asking so often would keep the registry down
)
FLEET: Final = 160.0  # sidecars that may ask once in the whole time allowed
GAP_CHANCE: Final = 0.5  # part of a gap that is chance: sidecars that began together do not go on so

WATCH_LEAST_S = 8.0  # how long a watch may wait: a service that fell silent is noticed after it
WATCH_MOST_S: Final = 60.0  # by the platform
WATCHES_A_SECOND: Final = (
    5.0  # that run out, of the whole fleet: as many calls as one registry answers by the way
)
WATCH_CHANCE: Final = 0.25  # part of a watch's wait that is chance


def retry_gap_most(sidecars: int, allowed_us: int) -> float:
    """The longest time between the beginnings of two calls while none is answered, microseconds."""
    share = max(GAP_SMALL_FLEET, min(sidecars / FLEET, GAP_LARGE_FLEET))
    return min(share * allowed_us, RETRY_GAP_MOST_S * 1e6)


def retry_gap(begun: int, sidecars: int, allowed_us: int, chance: float) -> float:
    """The time from a call's beginning to the next's, microseconds.

    `begun`: calls before this one since the last answer; `chance`: evenly distributed from 0 to 1.
    """
    grown = min(FIRST_GAP * 2.0**begun, 1.0) * retry_gap_most(sidecars, allowed_us)
    return grown * (1.0 - GAP_CHANCE * chance)


def first_call_spread(sidecars: int, allowed_us: int) -> float:
    """Over how long the first calls of a fleet that starts at once are spread, microseconds; 0 in a small one."""
    share = min(sidecars / FLEET, GAP_LARGE_FLEET) - GAP_SMALL_FLEET
    return min(max(share, 0.0) * allowed_us, FIRST_CALL_MOST_S * 1e6)


def watch_s(sidecars: int) -> float:
    """How long a watch may wait, seconds, in a fleet of so many sidecars: all of them share one registry.

    A longer wait harms where the registry falls silent without a word, which is noticed after it.
    """
    return max(WATCH_LEAST_S, min(sidecars / WATCHES_A_SECOND, WATCH_MOST_S))


def watch_wait_s(sidecars: int, chance: float) -> float:
    """How long the next watch may wait, seconds; `chance`: evenly distributed from 0 to 1."""
    return max(watch_s(sidecars) * (1.0 - WATCH_CHANCE * chance), WATCH_LEAST_S)
