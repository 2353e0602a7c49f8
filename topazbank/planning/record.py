"""A recorded run of a planner: what it dealt to each node beside what the node can do and did; no I/O.

A record is what a planner's status tells (topazbank.planning.planner.Planner.status) with the time it was asked at, one
JSON object a line.  Shares are parts of one, over all nodes that the same record names, so that runs of different
loads can be laid beside one another.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

RECORDS_MAX = 100_000  # of one file: a day at one a second; more would fill the memory of who reads it
LINE_CHARACTERS_MAX = 1 << 20  # characters of a record


class InvalidRecord(ValueError):
    """A line that is no record; says which, and what was wanted."""


@dataclass(frozen=True, slots=True)
class ServerSample:
    """One node at one time, as parts of all nodes then."""

    at_s: float  # since the first record
    planned: float  # of the coming requests, by the plans
    capacity: (
        float  # of what all can do, as the planner has it: nominal weight, times its factor, while cold less
    )
    served: float  # of what all answered lately


@dataclass(frozen=True, slots=True)
class ShareAccuracy:
    """How far what a node is dealt lies from what it can do, over a run."""

    server: str
    planned: float  # mean part
    capacity: float
    served: float
    error_max: float  # the largest distance between dealt and capacity

    @property
    def error(self) -> float:
        return self.planned - self.capacity


def read_records(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Read records; raise BadRecord with the line's number where one is none, or there are too many."""
    records: list[dict[str, Any]] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        if len(records) >= RECORDS_MAX:
            raise InvalidRecord(f"line {number}: {RECORDS_MAX} records at most are wanted")
        if len(line) > LINE_CHARACTERS_MAX:
            raise InvalidRecord(f"line {number}: {LINE_CHARACTERS_MAX} characters at most are wanted")
        try:
            records.append(_record(json.loads(line)))
        except (ValueError, TypeError, KeyError) as bad:
            raise InvalidRecord(f"line {number}: a planner's record is wanted ({bad})") from None
    return records


def _record(given: Any) -> dict[str, Any]:
    if not isinstance(given, dict) or not isinstance(given.get("nodes"), list):
        raise ValueError("an object with at_s and nodes")
    nodes: list[dict[str, Any]] = []
    for node in given["nodes"]:
        if not isinstance(node["name"], str):
            raise ValueError("nodes.name is a text")
        figures = {name: _number(node, name) for name in ("odds", "capacity", "answered_a_second")}
        nodes.append({"name": node["name"], **figures})
    return {"at_s": _number(given, "at_s"), "epoch": given.get("epoch"), "nodes": nodes}


def _number(given: Mapping[str, Any], name: str) -> float:
    value = given[name]
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{name} is a number")
    return float(value)


def samples_by_server(records: Sequence[Mapping[str, Any]]) -> dict[str, list[ServerSample]]:
    """Each node's course; records of planners that did not lead say nothing of shares and are left out."""
    courses: dict[str, list[ServerSample]] = {}
    leading = [each for each in records if each.get("epoch") is not None]
    for record in leading:
        nodes = record["nodes"]
        odds, able, did = (
            sum(each[name] for each in nodes) for name in ("odds", "capacity", "answered_a_second")
        )
        for each in nodes:
            courses.setdefault(each["name"], []).append(
                ServerSample(
                    record["at_s"] - leading[0]["at_s"],
                    each["odds"] / odds if odds > 0.0 else 0.0,
                    each["capacity"] / able if able > 0.0 else 0.0,
                    each["answered_a_second"] / did if did > 0.0 else 0.0,
                )
            )
    return courses


def share_accuracy(courses: Mapping[str, Sequence[ServerSample]]) -> list[ShareAccuracy]:
    """Each node's means, the furthest off first."""
    found = []
    for node, course in courses.items():
        count = len(course)
        found.append(
            ShareAccuracy(
                node,
                sum(each.planned for each in course) / count,
                sum(each.capacity for each in course) / count,
                sum(each.served for each in course) / count,
                max(abs(each.planned - each.capacity) for each in course),
            )
        )
    return sorted(found, key=lambda each: (-abs(each.error), each.server))


def accuracy_table(found: Sequence[ShareAccuracy]) -> list[str]:
    """A line a node."""
    lines = [f"{'node':<20}{'dealt':>9}{'can do':>9}{'answered':>10}{'off':>8}{'worst':>8}"]
    lines += [
        f"{each.server:<20}{each.planned:>9.1%}{each.capacity:>9.1%}{each.served:>10.1%}"
        f"{each.error:>+8.1%}{each.error_max:>8.1%}"
        for each in found
    ]
    return lines
