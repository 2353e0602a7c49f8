"""Recorded runs of a planner: shares and capacities, invalid lines, plots."""

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


def planner_status(
    at_s: float, epoch: int | None = 1, /, **nodes: tuple[float, float, float]
) -> dict[str, Any]:
    """A record; for each server its weight, capacity and responses per second."""
    lines = [
        {"name": name, "odds": odds, "capacity": capacity, "answered_a_second": responses}
        for name, (odds, capacity, responses) in nodes.items()
    ]
    return {"at_s": at_s, "epoch": epoch, "nodes": lines}


def json_lines(*records: dict[str, Any]) -> list[str]:
    return [json.dumps(values) for values in records]


def test_shares_are_relative_to_the_servers_of_the_same_record() -> None:
    records = record.read_records(
        json_lines(
            planner_status(5.0, a=(6.0, 1.0, 0.0), b=(2.0, 3.0, 0.0)), planner_status(6.0, a=(1.0, 1.0, 4.0))
        )
    )
    samples = record.samples_by_server(records)
    assert samples["a"] == [
        record.ServerSample(0.0, 0.75, 0.25, 0.0),
        record.ServerSample(1.0, 1.0, 1.0, 1.0),
    ]
    assert samples["b"] == [record.ServerSample(0.0, 0.25, 0.75, 0.0)]


def test_records_of_a_planner_that_did_not_lead_are_skipped() -> None:
    records = record.read_records(
        json_lines(planner_status(0.0, None, a=(1.0, 1.0, 1.0)), planner_status(9.0, 4, b=(1.0, 1.0, 1.0)))
    )
    assert record.samples_by_server(records) == {"b": [record.ServerSample(0.0, 1.0, 1.0, 1.0)]}


def test_the_server_with_the_largest_error_comes_first() -> None:
    samples = record.samples_by_server(
        record.read_records(
            json_lines(planner_status(0.0, a=(1.0, 1.0, 1.0), b=(2.0, 1.0, 1.0), c=(1.0, 2.0, 1.0)))
        )
    )
    accuracies = record.share_accuracy(samples)
    assert [accuracy.server for accuracy in accuracies] == ["b", "c", "a"]
    assert accuracies[0].error == pytest.approx(0.25) and accuracies[0].error_max == pytest.approx(0.25)
    assert len(record.accuracy_table(accuracies)) == 4


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("{", r"line 2: invalid planner record \("),
        ("[]", "expected an object with at_s and nodes"),
        ('{"nodes": []}', "at_s"),
        ('{"at_s": true, "nodes": []}', "at_s: expected a finite number, not True"),
        ('{"at_s": NaN, "nodes": []}', "at_s: expected a finite number, not nan"),
        ('{"at_s": 1, "nodes": [{"name": 7}]}', "nodes.name: expected a string, not 7"),
        (
            '{"at_s": 1, "nodes": [{"name": "a", "odds": 1, "capacity": "2"}]}',
            "capacity: expected a finite number, not '2'",
        ),
        ('{"at_s": 1, "nodes": [7]}', "line 2"),
        (" " * record.LINE_CHARACTERS_MAX + "{}", f"line 2: exceeds {record.LINE_CHARACTERS_MAX} characters"),
    ],
)
def test_the_error_names_an_invalid_line(line: str, message: str) -> None:
    with pytest.raises(record.InvalidRecord, match=message):
        record.read_records([*json_lines(planner_status(0.0, a=(1.0, 1.0, 1.0))), line])


def test_a_plot_of_a_large_fleet_shows_the_servers_with_the_largest_errors(tmp_path: Path) -> None:
    names = {f"n{number}": (1.0 + number, 1.0, 1.0) for number in range(plot.PANELS_MAX + 10)}
    out = tmp_path / "run.png"
    plot.draw_run(
        record.samples_by_server(
            record.read_records(json_lines(planner_status(0.0, **names), planner_status(1.0, **names)))
        ),
        out,
    )
    assert out.read_bytes().startswith(b"\x89PNG")


def test_missing_records_break_the_line() -> None:
    records = record.read_records(
        json_lines(*(planner_status(at, a=(1.0, 1.0, 1.0)) for at in (0.0, 1.0, 9.0)))
    )
    times, percentages = plot.series(record.samples_by_server(records)["a"], lambda sample: sample.planned)
    assert times == [0.0, 1.0, 1.0, 9.0]
    assert [math.isnan(percentage) for percentage in percentages] == [False, False, True, False]


def test_a_run_without_a_leader_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "run.jsonl"
    path.write_text("\n".join(json_lines(planner_status(0.0, None, a=(1.0, 1.0, 1.0)))), encoding="utf-8")
    assert command.main(["plot", str(path)]) == 1
    assert "the run has no record of a leading planner" in capsys.readouterr().err


def test_a_planner_is_recorded_and_its_run_is_drawn(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, out = tmp_path / "run.jsonl", tmp_path / "run.png"

    async def scenario() -> int:
        rig = FleetHarness(planners=1, backends=4)
        await rig.start()
        try:
            await until(lambda: rig.leader() is not None)
            address = "{}:{}".format(*rig._planner_addresses[0])
            arguments = ["record", address, "--out", str(path), "--seconds", "1.2"]
            return await asyncio.to_thread(command.main, arguments)
        finally:
            await rig.stop()

    assert asyncio.run(asyncio.wait_for(scenario(), 60.0)) == 0
    assert command.main(["plot", str(path), "--out", str(out)]) == 0
    output = capsys.readouterr().out
    assert "2 records" in output and all(f"n-{number}" in output for number in range(4))
    assert out.read_bytes().startswith(b"\x89PNG")


def test_a_planner_that_cannot_be_reached_leaves_a_gap_and_no_error(tmp_path: Path) -> None:
    out = tmp_path / "run.jsonl"
    assert command.record_run(("127.0.0.1", 9), out, 0.1) == 0
    assert out.read_text(encoding="utf-8") == ""


def test_a_run_recorded_by_the_former_program_is_read() -> None:
    line = (
        '{"at_s": 0.0, "planner": "p-0", "epoch": 3, "highest_epoch_seen": 3, "forwarders": 1, "period_us": 100000,'
        ' "summaries_shed": 0, "p50_us": 1377.8379803155376, "p99_us": 6975.30477534741, "nodes": ['
        '{"name": "n-0", "odds": 1.0, "nominal": 2.0, "factor": 1.0, "capacity": 2.0, "held": 5.0,'
        ' "answered_a_second": 1.5, "ejected_by": 0, "cold": false},'
        ' {"name": "n-1", "odds": 0.25, "nominal": 1.0, "factor": 1.0, "capacity": 0.5, "held": 1.0,'
        ' "answered_a_second": 0.5, "ejected_by": 0, "cold": true}],'
        ' "connections": 1, "bytes_in": 400, "bytes_out": 300}'
    )
    (read,) = record.read_records([line])
    assert (read.at_s, read.epoch) == (0.0, 3)
    assert read.servers == (
        record.ServerRecord("n-0", weight=1.0, capacity=2.0, responses_per_second=1.5),
        record.ServerRecord("n-1", weight=0.25, capacity=0.5, responses_per_second=0.5),
    )
    samples = record.samples_by_server([read])
    assert samples["n-0"] == [record.ServerSample(0.0, planned=0.8, capacity=0.8, served=0.75)]
    assert samples["n-1"] == [record.ServerSample(0.0, planned=0.2, capacity=0.2, served=0.25)]
