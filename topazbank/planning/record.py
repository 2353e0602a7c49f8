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

RECORDS_MOST = 100_000  # of one file: a day at one a second; more would fill the memory of who reads it
LINE_MOST = 1 << 20  # characters of a record


class BadRecord(ValueError):
    """A line that is no record; says which, and what was wanted."""


@dataclass(frozen=True, slots=True)
class Moment:
    """One node at one time, as parts of all nodes then."""

    at_s: float  # since the first record
    dealt: float  # of the coming requests, by the plans
    capacity: (
        float  # of what all can do, as the planner has it: nominal weight, times its factor, while cold less
    )
    answered: float  # of what all answered lately


@dataclass(frozen=True, slots=True)
class Fit:
    """How far what a node is dealt lies from what it can do, over a run."""

    node: str
    dealt: float  # mean part
    capacity: float
    answered: float
    worst: float  # the largest distance between dealt and capacity

    @property
    def off(self) -> float:
        return self.dealt - self.capacity


def read(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Read records; raise BadRecord with the line's number where one is none, or there are too many."""
    records: list[dict[str, Any]] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        if len(records) >= RECORDS_MOST:
            raise BadRecord(f"line {number}: {RECORDS_MOST} records at most are wanted")
        if len(line) > LINE_MOST:
            raise BadRecord(f"line {number}: {LINE_MOST} characters at most are wanted")
        try:
            records.append(_record(json.loads(line)))
        except (ValueError, TypeError, KeyError) as bad:
            raise BadRecord(f"line {number}: a planner's record is wanted ({bad})") from None
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


def moments(records: Sequence[Mapping[str, Any]]) -> dict[str, list[Moment]]:
    """Each node's course; records of planners that did not lead say nothing of shares and are left out."""
    courses: dict[str, list[Moment]] = {}
    leading = [each for each in records if each.get("epoch") is not None]
    for record in leading:
        nodes = record["nodes"]
        odds, able, did = (
            sum(each[name] for each in nodes) for name in ("odds", "capacity", "answered_a_second")
        )
        for each in nodes:
            courses.setdefault(each["name"], []).append(
                Moment(
                    record["at_s"] - leading[0]["at_s"],
                    each["odds"] / odds if odds > 0.0 else 0.0,
                    each["capacity"] / able if able > 0.0 else 0.0,
                    each["answered_a_second"] / did if did > 0.0 else 0.0,
                )
            )
    return courses


def fits(courses: Mapping[str, Sequence[Moment]]) -> list[Fit]:
    """Each node's means, the furthest off first."""
    found = []
    for node, course in courses.items():
        count = len(course)
        found.append(
            Fit(
                node,
                sum(each.dealt for each in course) / count,
                sum(each.capacity for each in course) / count,
                sum(each.answered for each in course) / count,
                max(abs(each.dealt - each.capacity) for each in course),
            )
        )
    return sorted(found, key=lambda each: (-abs(each.off), each.node))


def table(found: Sequence[Fit]) -> list[str]:
    """A line a node."""
    lines = [f"{'node':<20}{'dealt':>9}{'can do':>9}{'answered':>10}{'off':>8}{'worst':>8}"]
    lines += [
        f"{each.node:<20}{each.dealt:>9.1%}{each.capacity:>9.1%}{each.answered:>10.1%}"
        f"{each.off:>+8.1%}{each.worst:>8.1%}"
        for each in found
    ]
    return lines
