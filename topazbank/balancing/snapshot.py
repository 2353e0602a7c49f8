"""What a balancer believes at one moment, for logs and traces."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerSnapshot:
    """Beliefs about the fleet.  Times are in parts of the latency objective."""

    concurrency_limit: float  # infinite until it is first sized
    in_objective: int  # own attempts in flight within their objective
    mean_in_objective: float  # the same, averaged over time
    slow_share: float  # part of the attempts that take longer than the allowed level
    overload_share: float  # part of the attempts that take so long that only overload explains it
    median_ratio: float  # the median of the time that a response takes
    late_share: float  # part of the responses that come after their objective
    floor_ratio: float | None  # the median while the fleet is idle; None: no response came yet
    cpu_utilization: float | None  # CPU utilisation that servers report; None: they report none
    subset_size: int  # servers that are selected from
    ready: int  # servers on the endpoint list that take requests
    ejected: int  # of these, the ones that are ejected


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """One server."""

    is_warming: bool
    load: int  # own attempts there that may still run
