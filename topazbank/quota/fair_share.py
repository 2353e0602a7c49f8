"""Weighted max-min fair division of a capacity among clients, in integers.  Performs no I/O.

Guarantees: the shares add up to at most the capacity.  No client gets more than its demand.  Relative to its weight, a
client with unmet demand gets at least as much as any other client, within one unit.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

_Key = TypeVar("_Key", bound=Hashable)

MIN_CHANGE_DIVISOR = 16  # changes below 1/16 of the current amount are ignored as noise


def divide(
    capacity: int, demands: Mapping[_Key, int], weights: Mapping[_Key, int] | None = None
) -> dict[_Key, int]:
    """Raise all shares in proportion to weight until every demand is met or the capacity is used up.

    The default weight is 1.  Rounding uses the largest remainder method and breaks ties in the order of `demands`, so
    the result is deterministic.
    """
    weights = weights or {}
    shares = dict.fromkeys(demands, 0)
    unmet = {key: demand for key, demand in demands.items() if demand > 0 and weights.get(key, 1) > 0}
    remaining = max(capacity, 0)
    while unmet and remaining > 0:
        total_weight = sum(weights.get(key, 1) for key in unmet)
        # A demand up to its weighted share of the remaining capacity can be met in full.
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
    """Divide by weight, rounded down, and add one unit each to the largest remainders.

    Expects that no demand can be met in full.
    """
    quotients = {key: divmod(remaining * weights.get(key, 1), total_weight) for key in unmet}
    shares = {key: quotient for key, (quotient, _) in quotients.items()}
    leftover = remaining - sum(shares.values())
    for key in sorted(quotients, key=lambda unmet_key: -quotients[unmet_key][1])[:leftover]:
        shares[key] += 1
    return shares


def next_amount(current: int, target: int, available: int, halving_threshold: int = 1) -> int:
    """The next amount on the way from `current` to `target`, limited by `available`.

    An increase is made in one step, as is a decrease of at most `halving_threshold`.  A larger decrease halves the
    amount at most.
    """
    if target >= current:
        if MIN_CHANGE_DIVISOR * (target - current) < current:
            target = current
        return max(min(target, available), 0)
    if MIN_CHANGE_DIVISOR * (current - target) < current:
        return min(current, max(available, 0))
    lower = max(target, current // 2) if current - target > halving_threshold else target
    return max(min(lower, available), 0)
