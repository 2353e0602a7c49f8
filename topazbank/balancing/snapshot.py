"""Snapshots of a balancer's state, for logs and traces."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerSnapshot:
    """A balancer's estimates of the fleet.  Latencies are relative to the latency objective."""

    concurrency_limit: float  # infinite until the first adjustment
    in_objective: int  # this sidecar's attempts in flight within their latency objective
    mean_in_objective: float  # time average of `in_objective`
    slow_share: float  # ratio of attempts slower than the allowed latency
    overload_share: float  # ratio of attempts so slow that only overload explains them
    median_ratio: float  # median latency
    late_share: float  # ratio of responses that miss their latency objective
    floor_ratio: float | None  # median latency of an idle fleet; None before the first response
    cpu_utilization: float | None  # CPU utilization reported by servers; None without reports
    subset_size: int  # number of servers that selection considers
    ready: int  # number of ready servers on the endpoint list
    ejected: int  # number of ready servers that are ejected


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """A balancer's state of one server."""

    is_warming: bool
    load: int  # this sidecar's attempts that may still run on the server
