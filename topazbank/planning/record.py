"""A recorded run of a planner: each server's planned, possible and served share of the requests; no I/O.

Each line is one record: a JSON object with a planner's status (topazbank.planning.planner.Planner.status) and its time.
Shares are relative to all servers in the same record, so that runs with different loads can be compared.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

RECORDS_MAX = 100_000  # per file: more than a day at one record per second
LINE_CHARACTERS_MAX = 1 << 20


class InvalidRecord(ValueError):
    """An invalid line; the message gives its number and the expected value."""


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One server in one record."""

    name: str
    weight: float
    capacity: float  # nominal weight, corrected by speed and warm-up
    responses_per_second: float


@dataclass(frozen=True, slots=True)
class PlannerRecord:
    """A planner's status at one point in time."""

    at_s: float
    epoch: int | None  # None: the planner did not lead
    servers: tuple[ServerRecord, ...]


@dataclass(frozen=True, slots=True)
class ServerSample:
    """One server's shares, relative to all servers at the same time."""

    at_s: float  # time since the first record
    planned: float  # share of the next requests, according to the plans
    capacity: float
    served: float  # share of the recent responses


@dataclass(frozen=True, slots=True)
class ShareAccuracy:
    """The deviation of a server's planned share from its share of the capacity; means over a run."""

    server: str
    planned: float
    capacity: float
    served: float
    error_max: float  # largest absolute difference of planned and capacity

    @property
    def error(self) -> float:
        """Planned share minus share of the capacity."""
        return self.planned - self.capacity


def read_records(lines: Iterable[str]) -> list[PlannerRecord]:
    """Read a recorded run; raise InvalidRecord if a line is invalid or there are too many records."""
    records: list[PlannerRecord] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        if len(records) >= RECORDS_MAX:
            raise InvalidRecord(f"line {number}: exceeds {RECORDS_MAX} records")
        if len(line) > LINE_CHARACTERS_MAX:
            raise InvalidRecord(f"line {number}: exceeds {LINE_CHARACTERS_MAX} characters")
        try:
            records.append(_record(json.loads(line)))
        except (ValueError, TypeError, KeyError) as error:
            raise InvalidRecord(f"line {number}: invalid planner record ({error})") from None
    return records


def _record(values: Any) -> PlannerRecord:
    if not isinstance(values, dict) or not isinstance(values.get("nodes"), list):
        raise ValueError("expected an object with at_s and nodes")
    servers = tuple(_server(node) for node in values["nodes"])
    return PlannerRecord(_number(values, "at_s"), values.get("epoch"), servers)


def _server(values: Any) -> ServerRecord:
    if not isinstance(values["name"], str):
        raise ValueError(f"nodes.name: expected a string, not {values['name']!r:.40}")
    return ServerRecord(
        values["name"],
        _number(values, "odds"),
        _number(values, "capacity"),
        _number(values, "answered_a_second"),
    )


def _number(values: Mapping[str, Any], name: str) -> float:
    value = values[name]
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{name}: expected a finite number, not {value!r:.40}")
    return float(value)


def samples_by_server(records: Sequence[PlannerRecord]) -> dict[str, list[ServerSample]]:
    """Each server's samples in order of time; records of a planner that did not lead are skipped."""
    samples: dict[str, list[ServerSample]] = {}
    leading = [record for record in records if record.epoch is not None]
    for record in leading:
        weights = sum(server.weight for server in record.servers)
        capacities = sum(server.capacity for server in record.servers)
        responses = sum(server.responses_per_second for server in record.servers)
        for server in record.servers:
            sample = ServerSample(
                record.at_s - leading[0].at_s,
                _ratio(server.weight, weights),
                _ratio(server.capacity, capacities),
                _ratio(server.responses_per_second, responses),
            )
            samples.setdefault(server.name, []).append(sample)
    return samples


def _ratio(part: float, total: float) -> float:
    return part / total if total > 0.0 else 0.0


def share_accuracy(samples: Mapping[str, Sequence[ServerSample]]) -> list[ShareAccuracy]:
    """Each server's mean shares, sorted by descending error."""
    accuracies = [
        ShareAccuracy(
            server,
            sum(sample.planned for sample in series) / len(series),
            sum(sample.capacity for sample in series) / len(series),
            sum(sample.served for sample in series) / len(series),
            max(abs(sample.planned - sample.capacity) for sample in series),
        )
        for server, series in samples.items()
    ]
    return sorted(accuracies, key=lambda accuracy: (-abs(accuracy.error), accuracy.server))


def accuracy_table(accuracies: Sequence[ShareAccuracy]) -> list[str]:
    """Format a table with one line per server."""
    lines = [f"{'node':<20}{'dealt':>9}{'capacity':>9}{'answered':>10}{'off':>8}{'worst':>8}"]
    lines += [
        f"{row.server:<20}{row.planned:>9.1%}{row.capacity:>9.1%}{row.served:>10.1%}"
        f"{row.error:>+8.1%}{row.error_max:>8.1%}"
        for row in accuracies
    ]
    return lines
