"""Records of a planner's run: what they say of shares and capacity, and lines that are none."""

from __future__ import annotations

import asyncio
import json
import math
from pathlib import Path
from typing import Any

import pytest
from loopback import until

from testbed.fleet.harness import FleetHarness
from topazbank import plan as command
from topazbank.planning import plot, record


def told(at_s: float, epoch: int | None = 1, /, **nodes: tuple[float, float, float]) -> dict[str, Any]:
    """A record; of each node its odds, its capacity and what it answered a second."""
    lines = [
        {"name": name, "odds": odds, "capacity": capacity, "answered_a_second": did}
        for name, (odds, capacity, did) in nodes.items()
    ]
    return {"at_s": at_s, "epoch": epoch, "nodes": lines}


def text(*records: dict[str, Any]) -> list[str]:
    return [json.dumps(each) for each in records]


def test_shares_are_parts_of_what_stood_in_the_same_record() -> None:
    given = record.read(text(told(5.0, a=(6.0, 1.0, 0.0), b=(2.0, 3.0, 0.0)), told(6.0, a=(1.0, 1.0, 4.0))))
    course = record.moments(given)
    assert course["a"] == [record.Moment(0.0, 0.75, 0.25, 0.0), record.Moment(1.0, 1.0, 1.0, 1.0)]
    assert course["b"] == [record.Moment(0.0, 0.25, 0.75, 0.0)]


def test_a_planner_that_did_not_lead_says_nothing_of_shares() -> None:
    given = record.read(text(told(0.0, None, a=(1.0, 1.0, 1.0)), told(9.0, 4, b=(1.0, 1.0, 1.0))))
    assert record.moments(given) == {"b": [record.Moment(0.0, 1.0, 1.0, 1.0)]}


def test_the_node_that_is_furthest_off_comes_first() -> None:
    courses = record.moments(
        record.read(text(told(0.0, a=(1.0, 1.0, 1.0), b=(2.0, 1.0, 1.0), c=(1.0, 2.0, 1.0))))
    )
    found = record.fits(courses)
    assert [each.node for each in found] == ["b", "c", "a"]
    assert found[0].off == pytest.approx(0.25) and found[0].worst == pytest.approx(0.25)
    assert len(record.table(found)) == 4


@pytest.mark.parametrize(
    ("line", "wanted"),
    [
        ("{", "line 2: a planner's record is wanted"),
        ("[]", "an object with at_s and nodes"),
        ('{"nodes": []}', "at_s"),
        ('{"at_s": true, "nodes": []}', "at_s is a number"),
        ('{"at_s": NaN, "nodes": []}', "at_s is a number"),
        ('{"at_s": 1, "nodes": [{"name": 7}]}', "nodes.name is a text"),
        ('{"at_s": 1, "nodes": [{"name": "a", "odds": 1, "capacity": "2"}]}', "capacity is a number"),
        ('{"at_s": 1, "nodes": [7]}', "line 2"),
        (" " * record.LINE_MOST + "{}", "characters at most"),
    ],
)
def test_a_line_that_is_no_record_is_named(line: str, wanted: str) -> None:
    with pytest.raises(record.BadRecord, match=wanted):
        record.read([*text(told(0.0, a=(1.0, 1.0, 1.0))), line])


def test_a_large_fleet_is_drawn_with_the_panels_of_those_furthest_off(tmp_path: Path) -> None:
    names = {f"n{each}": (1.0 + each, 1.0, 1.0) for each in range(plot.PANELS_MOST + 10)}
    out = tmp_path / "run.png"
    plot.draw(record.moments(record.read(text(told(0.0, **names), told(1.0, **names)))), out)
    assert out.read_bytes().startswith(b"\x89PNG")


def test_a_time_without_records_is_a_gap_and_not_a_slope() -> None:
    given = record.read(text(*(told(at, a=(1.0, 1.0, 1.0)) for at in (0.0, 1.0, 9.0))))
    times, parts = plot.line(record.moments(given)["a"], lambda each: each.dealt)
    assert times == [0.0, 1.0, 1.0, 9.0]
    assert [math.isnan(each) for each in parts] == [False, False, True, False]


def test_nothing_is_drawn_of_a_run_without_a_leader(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "run.jsonl"
    path.write_text("\n".join(text(told(0.0, None, a=(1.0, 1.0, 1.0)))), encoding="utf-8")
    assert command.main(["plot", str(path)]) == 1
    assert "no record of a planner that led" in capsys.readouterr().err


def test_a_planner_is_recorded_and_its_run_drawn(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path, out = tmp_path / "run.jsonl", tmp_path / "run.png"

    async def scene() -> int:
        rig = FleetHarness(planners=1, backends=4)
        await rig.start()
        try:
            await until(lambda: rig.leader() is not None)
            address = "{}:{}".format(*rig._planner_addresses[0])
            given = ["record", address, "--out", str(path), "--seconds", "1.2"]
            return await asyncio.to_thread(command.main, given)
        finally:
            await rig.stop()

    assert asyncio.run(asyncio.wait_for(scene(), 60.0)) == 0
    assert command.main(["plot", str(path), "--out", str(out)]) == 0
    said = capsys.readouterr().out
    assert "2 records" in said and all(f"n-{each}" in said for each in range(4))
    assert out.read_bytes().startswith(b"\x89PNG")


def test_a_planner_that_is_not_there_leaves_a_gap_and_no_error(tmp_path: Path) -> None:
    out = tmp_path / "run.jsonl"
    assert command.keep_record(("127.0.0.1", 9), out, 0.1) == 0
    assert out.read_text(encoding="utf-8") == ""
