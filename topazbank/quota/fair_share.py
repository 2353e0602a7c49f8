"""How a whole is divided among those that ask: max-min fair by weight, in whole numbers; no I/O.

Promise: the parts never add up to more than the whole, nobody gets more than it asks, and who gets less than it asks
gets no less by its weight than anybody else, but for one unit.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

_Key = TypeVar("_Key", bound=Hashable)


def divide(
    whole: int, wants: Mapping[_Key, int], weights: Mapping[_Key, int] | None = None
) -> dict[_Key, int]:
    """Fill all alike until each has what it asks or the whole is used up; what is left over goes by largest remainder.

    Ties go by the order of `wants`, so that the same question has the same answer.
    """
    weights = weights or {}
    parts = dict.fromkeys(wants, 0)
    open_ = {key: want for key, want in wants.items() if want > 0 and weights.get(key, 1) > 0}
    left = max(whole, 0)
    while open_ and left > 0:
        # The level at which the first of the open ones has all that it asks.
        all_weights = sum(weights.get(key, 1) for key in open_)
        content = [key for key, want in open_.items() if want * all_weights <= left * weights.get(key, 1)]
        if not content:
            parts |= _by_remainder(left, open_, weights, all_weights)
            break
        for key in content:
            parts[key] = open_.pop(key)
            left -= parts[key]
    return parts


def _by_remainder(
    left: int, open_: Mapping[_Key, int], weights: Mapping[_Key, int], all_weights: int
) -> dict[_Key, int]:
    """Nobody of these gets all that it asks: each by its weight, rounded down, then one more for the nearest."""
    exact = {key: divmod(left * weights.get(key, 1), all_weights) for key in open_}
    parts = {key: whole for key, (whole, _) in exact.items()}
    spare = left - sum(parts.values())
    for key in sorted(exact, key=lambda each: -exact[each][1])[:spare]:
        parts[key] += 1
    return parts


def step(now_has: int, target: int, room: int, least: int = 1) -> int:
    """Where a part goes next from what it is: up at once as far as there is room, down by half at a time.

    A change of less than a sixteenth is none, so that noise moves nothing.  `least`: smaller steps down go all the way.
    """
    if target >= now_has:
        if 16 * (target - now_has) < now_has:
            target = now_has
        return max(min(target, room), 0)
    if 16 * (now_has - target) < now_has:
        return min(now_has, max(room, 0))
    lower = max(target, now_has // 2) if now_has - target > least else target
    return max(min(lower, room), 0)
