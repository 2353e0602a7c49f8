"""Where a fleet's value was lost, by cause and by second, from the traces of all its sidecars.

    python -m benchmarks.fleet_account LOGS [--step 1.0] [--servers]

LOGS is a folder of the sidecars' logs, one file each, written with `[trace]` on (docs/operators/size.md).  Lost is the
value of first requests less the value of what was answered in time; a client's repeat belongs to its first request, so
causes are counted by request and the loss by value.  Causes without an attempt are decisions; the others are what
became of attempts.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

from topazbank.core.trace import LINE_PREFIX

US_PER_S = 1_000_000
# Outcomes, events and estimates by their names in the trace.
KEEPS_CONNECTION = ("delivered", "error", "full")  # outcomes after which the connection is still open
COUNTED_EVENTS = ("dial", "probe", "tell", "follow", "resend")
ESTIMATES = ("window", "load", "over", "hopeless", "late", "reach")
FINAL_CAUSES = {"refuse": "refused", "fail": "failed", "gone": "client left"}


@dataclass(slots=True)
class TracedRequest:
    """One request at one sidecar."""

    at: int  # microseconds
    request_class: str
    is_repeat: bool
    attempts: int = 0
    outcomes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Interval:
    """What all sidecars did in one step of time."""

    offered: float = 0.0  # value of first requests
    in_time: float = 0.0  # value answered in time, repeats too
    requests: int = 0
    first_requests: int = 0
    causes: Counter[str] = field(default_factory=Counter)  # of requests that were not answered in time
    counts: Counter[str] = field(default_factory=Counter)
    latency_ratios: list[float] = field(default_factory=list)  # latencies, relative to the objective
    estimates: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # at rejections
    served_by: Counter[str] = field(default_factory=Counter)


class FleetAccount:
    """Sums up the traces of a fleet."""

    def __init__(self, step_s: float) -> None:
        self.step_us = int(step_s * US_PER_S)
        self.intervals: dict[int, Interval] = defaultdict(Interval)
        self.sidecars = self.starts = self.dropped = 0
        self.classes: dict[str, tuple[float, int]] = {}  # (value, latency objective in microseconds)
        self.by_class: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])  # value offered, in time
        self.cold: set[str] = set()  # servers that got attempts while they were cold

    def read(self, path: Path) -> None:
        """Add one sidecar's log, with all its processes."""
        self.sidecars += 1
        live: dict[int, TracedRequest] = {}
        idle: Counter[str] = Counter()  # connections by server
        for event, at, *fields in trace_lines(path):
            interval = self.intervals[at // self.step_us]
            if event == "start":
                self.starts += 1
                self._sidecar_ended(live)
                idle.clear()
                self.classes |= {name: (value, objective) for name, value, objective in fields[1]}
            elif event == "arrived":
                self._request_arrived(live, interval, at, fields)
            elif event == "send":
                self._attempt_sent(live, interval, idle, fields)
            elif event == "ended":
                self._attempt_ended(live, idle, at, fields)
            elif event in FINAL_CAUSES:
                self._request_ended(live, interval, event, fields)
            elif event == "dropped":
                self.dropped += fields[0]
            elif event in COUNTED_EVENTS:
                interval.counts[event] += 1
        self._sidecar_ended(live)

    def _request_arrived(
        self, live: dict[int, TracedRequest], interval: Interval, at: int, fields: list[Any]
    ) -> None:
        request_id, request_class, _, is_repeat, _ = fields
        live[request_id] = TracedRequest(at, request_class, is_repeat)
        interval.requests += 1
        value = self.classes.get(request_class, (1.0, 0))[0]
        if not is_repeat:
            interval.first_requests += 1
            interval.offered += value
            self.by_class[request_class][0] += value

    def _attempt_sent(
        self, live: dict[int, TracedRequest], interval: Interval, idle: Counter[str], fields: list[Any]
    ) -> None:
        request_id, server, is_cold, _ = fields
        if is_cold:
            self.cold.add(server)
        if idle[server] > 0:
            idle[server] -= 1
        else:
            interval.counts["dial"] += 1
        if request_id in live:
            live[request_id].attempts += 1
            interval.counts["resend"] += live[request_id].attempts > 1

    def _attempt_ended(
        self, live: dict[int, TracedRequest], idle: Counter[str], at: int, fields: list[Any]
    ) -> None:
        request_id, _, server, outcome, _, is_answered = fields
        idle[server] += outcome in KEEPS_CONNECTION
        request = live.get(request_id)
        if request is None:
            return
        request.outcomes.append(outcome)
        if not is_answered:
            return
        del live[request_id]
        value, objective_us = self.classes.get(request.request_class, (1.0, 1))
        interval = self.intervals[request.at // self.step_us]
        latency_ratio = (at - request.at) / max(objective_us, 1)
        interval.latency_ratios.append(latency_ratio)
        if outcome == "delivered" and latency_ratio <= 1.0:
            interval.in_time += value
            self.by_class[request.request_class][1] += value
            interval.served_by[server] += 1
        else:
            interval.causes["late" if outcome == "delivered" else f"answered {outcome}"] += 1

    def _request_ended(
        self, live: dict[int, TracedRequest], interval: Interval, event: str, fields: list[Any]
    ) -> None:
        request = live.pop(fields[0], None)
        if request is None:
            return
        cause = FINAL_CAUSES[event]
        if not request.attempts:
            cause += ", nothing sent"
        elif request.outcomes:
            cause += f" after {request.outcomes[-1]}"
        else:
            cause += ", attempt out"
        self.intervals[request.at // self.step_us].causes[cause] += 1
        for name, value in (fields[1] if len(fields) > 1 else {}).items():
            if value is not None:
                interval.estimates[name].append(value)

    def _sidecar_ended(self, live: dict[int, TracedRequest]) -> None:
        """Count the requests that were live when the sidecar was killed, or when its log ended."""
        for request in live.values():
            self.intervals[request.at // self.step_us].causes["sidecar ended"] += 1
        live.clear()


def trace_lines(path: Path) -> Iterator[list[Any]]:
    """Yield the traced lines of a log, in order; a line that is cut short is left out."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for line in file:
            _, mark, text = line.partition(LINE_PREFIX + "[")
            if mark:
                try:
                    yield json.loads("[" + text)
                except ValueError:
                    continue


def print_account(account: FleetAccount) -> None:
    """Print a line for each interval, then the totals; exit if there is no trace."""
    intervals = [
        (at, interval)
        for at, interval in sorted(account.intervals.items())
        if interval.requests or interval.counts
    ]
    if not intervals:
        sys.exit("no traced lines: is [trace] on in the operator file?")
    offered = sum(interval.offered for _, interval in intervals) or 1.0
    first = next((at for at, interval in intervals if interval.requests), intervals[0][0])
    print(f"{account.sidecars} sidecars, {account.starts} starts; lost, in percent of the value offered")
    print(
        f"{'s':>5} {'reqs':>6} {'firsts':>6} {'lost':>6} {'rejected':>8} {'late':>5} {'else':>5} {'median':>7}"
        f" {'dials':>6} {'probes':>6} {'tells':>6} {'lists':>6} {'resent':>6}  estimates at rejections (medians)"
    )
    for at, interval in intervals:
        print(f"{(at - first) * account.step_us / US_PER_S:5.1f} {_format_interval(interval, offered)}")
    _print_totals(account, [interval for _, interval in intervals], offered)


def _format_interval(interval: Interval, offered: float) -> str:
    """Return the columns of an interval; `offered`: the value of all first requests of the run."""
    rejected, late = interval.causes["refused, nothing sent"], interval.causes["late"]
    others = sum(interval.causes.values()) - rejected - late
    lost_percent = 100 * (interval.offered - interval.in_time) / offered
    latency = median(interval.latency_ratios) if interval.latency_ratios else 0.0
    counts = "".join(f" {interval.counts[name]:6}" for name in COUNTED_EVENTS)
    estimates = " ".join(
        f"{name} {median(interval.estimates[name]):.2f}" for name in ESTIMATES if interval.estimates.get(name)
    )
    return (
        f"{interval.requests:6} {interval.first_requests:6} {lost_percent:6.2f} {rejected:8} {late:5} {others:5}"
        f" {latency:7.2f}{counts}  {estimates}"
    )


def _print_totals(account: FleetAccount, intervals: list[Interval], offered: float) -> None:
    causes: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    for interval in intervals:
        causes += interval.causes
        counts += interval.counts
    lost = sum(interval.offered - interval.in_time for interval in intervals)
    by_class = ", ".join(
        f"{name} {100 * (1 - in_time / max(class_offered, 1e-9)):.1f}% of its own"
        for name, (class_offered, in_time) in sorted(account.by_class.items())
    )
    print(f"all: lost {100 * lost / offered:.2f} percent; by class: {by_class}")
    requests = sum(interval.requests for interval in intervals)
    by_cause = ", ".join(f"{name} {count}" for name, count in causes.most_common())
    print(f"requests not answered in time, of {requests}: {by_cause}")
    first_requests = max(sum(interval.first_requests for interval in intervals), 1)
    rates = ", ".join(f"{name} {1000 * counts[name] / first_requests:.1f}" for name in COUNTED_EVENTS)
    print(f"for each 1,000 first requests: {rates}")
    if account.dropped:
        print(f"{account.dropped} lines were beyond the trace's limit: all figures are too small")


def print_servers(account: FleetAccount) -> None:
    """Print what servers answered in time, by whether they were ever cold."""
    print(f"{'s':>5} {'warm':>5} {'a server':>9} {'cold':>5} {'a server':>9}")
    intervals = sorted(account.intervals.items())
    for at, interval in intervals:
        cold = [count for name, count in interval.served_by.items() if name in account.cold]
        warm = [count for name, count in interval.served_by.items() if name not in account.cold]
        print(
            f"{(at - intervals[0][0]) * account.step_us / US_PER_S:5.1f}"
            f" {len(warm):5} {sum(warm) / max(len(warm), 1):9.1f}"
            f" {len(cold):5} {sum(cold) / max(len(cold), 1):9.1f}"
        )


def main() -> int:
    """Parse the command line, read the logs and print the account."""
    parser = argparse.ArgumentParser(prog="benchmarks.fleet_account", description=__doc__)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds of a line")
    parser.add_argument("--servers", action="store_true", help="what cold and warm servers answered")
    options = parser.parse_args()
    account = FleetAccount(options.step)
    for path in sorted(options.logs.glob("*.log")):
        account.read(path)
    print_account(account)
    if options.servers:
        print_servers(account)
    return 0


if __name__ == "__main__":
    sys.exit(main())
