"""Prints what a forwarder follows, or what a planner knows; records a planner's run and draws it.

python -m topazbank.plan show HOST:PORT      a forwarder, whose operator file must have [admin] roster = true
python -m topazbank.plan status HOST:PORT    a planner
python -m topazbank.plan record HOST:PORT --out run.jsonl [--seconds 60]
python -m topazbank.plan plot run.jsonl --out run.png    each node's share against what it can do
"""

from __future__ import annotations

import argparse
import json
import socket
import sys
import time
from pathlib import Path
from typing import Any

from topazbank.core.net import Address, parse_address
from topazbank.planning import record
from topazbank.roster import ask

_WAIT_S = 5.0
_EVERY_S = 1.0  # between two records: a planner's own rates fade over as much


def plan_lines(plan: dict[str, Any]) -> list[str]:
    """What a forwarder follows and why, a line each."""
    age = "-" if plan["age_s"] is None else f"{plan['age_s']:.2f} s"
    lines = [
        f"forwarder {plan['forwarder']}: epoch {plan['epoch']} of planner {plan['planner'] or '-'}, "
        f"sequence {plan['sequence']}, age {age}, trust {plan['trust']:.2f}",
        f"the newest plan: {plan['last']}",
    ]
    if plan["refused"]:
        refused = ", ".join(f"{count} {reason.lower()}" for reason, count in plan["refused"].items())
        lines.append(f"not followed so far: {refused}")
    lines += ["", f"{'planner':<24}{'answers':>9}{'bad':>6}{'period':>10}"]
    for each in plan["planners"]:
        period = "-" if each["period_s"] is None else f"{each['period_s']:.2f} s"
        lines.append(f"{each['address']:<24}{each['answered']:>9}{each['bad']:>6}{period:>10}")
    all_odds = sum(each["odds"] for each in plan["shares"].values()) or 1.0
    lines += ["", f"{'node':<20}{'drawn':>8}{'wait':>8}{'room':>8}{'cold':>7}"]
    for name, each in plan["shares"].items():
        part = each["odds"] / all_odds
        lines.append(
            f"{name:<20}{part:>8.1%}{each['wait']:>8.2f}{each['room']:>8.1f}{each['cold']:>7.2f}  "
            + "#" * round(40 * part)
        )
    return lines


def status_lines(told: dict[str, Any]) -> list[str]:
    """What a planner knows and does, a line each; the bars are each node's part of the coming requests."""
    leads = "does not lead" if told["epoch"] is None else f"leads by epoch {told['epoch']}"
    lines = [
        f"planner {told['planner']} {leads}; the highest epoch that was seen is {told['highest_epoch_seen']}",
        f"{told['forwarders']} forwarders, a summary each {told['period_us'] / 1e6:.2f} s, "
        f"{told['summaries_shed']} shed; {told['bytes_in']} bytes in, {told['bytes_out']} out",
    ]
    if told["p50_us"] is not None:
        lines.append(
            f"answers took {told['p50_us'] / 1e3:.0f} ms at the median, {told['p99_us'] / 1e3:.0f} at the 99th"
        )
    all_odds = sum(each["odds"] for each in told["nodes"]) or 1.0
    lines += [
        "",
        f"{'node':<20}{'dealt':>8}{'nominal':>9}{'factor':>8}{'holds':>7}{'per s':>8}{'left by':>9}",
    ]
    for each in told["nodes"]:
        part = each["odds"] / all_odds
        lines.append(
            f"{each['name']:<20}{part:>8.1%}{each['nominal']:>9.2f}{each['factor']:>8.2f}{each['held']:>7.0f}"
            f"{each['answered_a_second']:>8.1f}{each['ejected_by']:>9}  "
            + ("cold " if each["cold"] else "")
            + "#" * round(40 * part)
        )
    return lines


def fetch_followed_plan(address: Address) -> dict[str, Any]:
    """Raise OSError or ValueError where there is no plan to be had."""
    plan = ask(address).get("plan")
    if plan is None:
        raise ValueError("it has no [planning] planners")
    return dict(plan)


def fetch_planner_status(address: Address) -> dict[str, Any]:
    """Raise OSError or ValueError where there is no status to be had."""
    import msgpack

    from topazbank.planning.wire import STATUS_METHOD

    unpacker = msgpack.Unpacker()
    with socket.create_connection(address, _WAIT_S) as sock:
        sock.settimeout(_WAIT_S)
        sock.sendall(msgpack.packb([0, 1, STATUS_METHOD, []]))
        while data := sock.recv(65536):
            unpacker.feed(data)
            for _, _, error, result in unpacker:
                if error is not None:
                    raise ValueError(str(error))
                return dict(result)
    raise ValueError("the connection ended")


def record_run(address: Address, out: Path, seconds: float) -> int:
    """Ask a planner every second and keep what it tells; give the number of records.

    A planner that does not answer is left out for that second: a run's record shows its failures as gaps.
    """
    kept, began = 0, time.monotonic()
    with out.open("w", encoding="utf-8") as file:
        while (at := time.monotonic() - began) < seconds:
            try:
                told = fetch_planner_status(address)
            except (OSError, ValueError) as fault:
                print(f"at {at:.0f} s: nothing from {address[0]}:{address[1]}: {fault}", file=sys.stderr)
            else:
                file.write(json.dumps({"at_s": round(at, 3), **told}) + "\n")
                file.flush()
                kept += 1
            time.sleep(max(at + _EVERY_S - (time.monotonic() - began), 0.0))
    return kept


def plot_run(source: Path, out: Path) -> list[str]:
    """Draw a record, and give its table; raise ValueError or OSError where it holds none."""
    with source.open(encoding="utf-8") as file:
        courses = record.samples_by_server(record.read_records(file))
    from topazbank.planning.plot import draw_run

    draw_run(courses, out)
    return [*record.accuracy_table(record.share_accuracy(courses)), "", f"drawn: {out}"]


def _lines(given: argparse.Namespace) -> list[str]:
    if given.what == "plot":
        return plot_run(Path(given.source), given.out or Path(given.source).with_suffix(".png"))
    address = parse_address(given.source)
    if given.what == "show":
        return plan_lines(fetch_followed_plan(address))
    if given.what == "status":
        return status_lines(fetch_planner_status(address))
    out = given.out or Path("planner.jsonl")
    return [f"{record_run(address, out, given.seconds)} records in {out}"]


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="topazbank.plan", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("what", choices=("show", "status", "record", "plot"))
    parser.add_argument("source", metavar="HOST:PORT|FILE", help="who is asked, or the record to draw")
    parser.add_argument("--out", type=Path, metavar="FILE", help="of record and plot")
    parser.add_argument("--seconds", type=float, default=60.0, help="that record goes on")
    given = parser.parse_args(argv)
    try:
        lines = _lines(given)
    except ImportError:
        print("plots need the extra 'plots': pip install 'topazbank[plots]'", file=sys.stderr)
        return 1
    except (OSError, ValueError) as fault:
        print(f"nothing from {given.source}: {fault}", file=sys.stderr)
        return 1
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
