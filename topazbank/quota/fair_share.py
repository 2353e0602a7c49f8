"""Division of a capacity among clients: weighted max-min fairness in integers; no I/O.

Guarantee: the shares never add up to more than the capacity, no client gets more than its demand, and a client that
gets less than its demand gets, by its weight, no less than any other client, within one unit.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

_Key = TypeVar("_Key", bound=Hashable)

MIN_CHANGE_DIVISOR = 16  # a change below 1/16 of the current amount is ignored: noise moves nothing


def divide(
    capacity: int, demands: Mapping[_Key, int], weights: Mapping[_Key, int] | None = None
) -> dict[_Key, int]:
    """Raise all shares alike until each demand is met or the capacity is used up; the default weight is 1.

    The remainder goes by largest remainder, ties in the order of `demands`, so the result is deterministic.
    """
    weights = weights or {}
    shares = dict.fromkeys(demands, 0)
    unmet = {key: demand for key, demand in demands.items() if demand > 0 and weights.get(key, 1) > 0}
    remaining = max(capacity, 0)
    while unmet and remaining > 0:
        total_weight = sum(weights.get(key, 1) for key in unmet)
        # Demands below their even share of what remains can be met in full.
        satisfied = [
            key for key, demand in unmet.items() if demand * total_weight <= remaining * weights.get(key, 1)
        ]
        if not satisfied:
            shares |= _divide_by_weight(remaining, unmet, weights, total_weight)
            break
        for key in satisfied:
            shares[key] = unmet.pop(key)
            remaining -= shares[key]
    return shares


def _divide_by_weight(
    remaining: int, unmet: Mapping[_Key, int], weights: Mapping[_Key, int], total_weight: int
) -> dict[_Key, int]:
    """No demand can be met in full: divide by weight, rounded down, then one more to the largest remainders."""
    quotients = {key: divmod(remaining * weights.get(key, 1), total_weight) for key in unmet}
    shares = {key: quotient for key, (quotient, _) in quotients.items()}
    leftover = remaining - sum(shares.values())
    for key in sorted(quotients, key=lambda each: -quotients[each][1])[:leftover]:
        shares[key] += 1
    return shares


def next_amount(current: int, target: int, available: int, min_halving: int = 1) -> int:
    """The next amount on the way from `current` to `target`: up at once within `available`, down by half at a time.

    A decrease of at most `min_halving` goes to the target at once.
    """
    if target >= current:
        if MIN_CHANGE_DIVISOR * (target - current) < current:
            target = current
        return max(min(target, available), 0)
    if MIN_CHANGE_DIVISOR * (current - target) < current:
        return min(current, max(available, 0))
    lower = max(target, current // 2) if current - target > min_halving else target
    return max(min(lower, available), 0)
