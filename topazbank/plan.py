"""Shows a forwarder's plan or a planner's status; records and plots a planner's run.

python -m topazbank.plan show HOST:PORT      a forwarder; its operator file must set [admin] roster = true
python -m topazbank.plan status HOST:PORT    a planner
python -m topazbank.plan record HOST:PORT --out run.jsonl [--seconds 60]
python -m topazbank.plan plot run.jsonl --out run.png    each server's planned share against its capacity
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
from topazbank.roster import fetch_admin_report

_TIMEOUT_S = 5.0
_RECORD_PERIOD_S = 1.0  # a planner's rates are averages over about this time
_RECEIVE_BYTES = 65536
_BAR_CHARACTERS = 40  # length of the bar for a share of 1

Status = dict[str, Any]  # JSON, as a forwarder's status page or a planner's status call returns it


def plan_lines(plan: Status) -> list[str]:
    """Format the plan that a forwarder follows, and the plans that it rejected, as lines of text."""
    age = "-" if plan["age_s"] is None else f"{plan['age_s']:.2f} s"
    lines = [
        f"forwarder {plan['forwarder']}: epoch {plan['epoch']} of planner {plan['planner'] or '-'}, "
        f"sequence {plan['sequence']}, age {age}, trust {plan['trust']:.2f}",
        f"newest plan: {plan['last']}",
    ]
    if plan["refused"]:
        rejected = ", ".join(f"{count} {reason.lower()}" for reason, count in plan["refused"].items())
        lines.append(f"rejected plans: {rejected}")
    return [*lines, *_link_lines(plan), *_share_lines(plan)]


def _link_lines(plan: Status) -> list[str]:
    lines = ["", f"{'planner':<24}{'answers':>9}{'bad':>6}{'period':>10}"]
    for link in plan["planners"]:
        period = "-" if link["period_s"] is None else f"{link['period_s']:.2f} s"
        lines.append(f"{link['address']:<24}{link['answered']:>9}{link['bad']:>6}{period:>10}")
    return lines


def _share_lines(plan: Status) -> list[str]:
    lines = ["", f"{'node':<20}{'drawn':>8}{'wait':>8}{'room':>8}{'cold':>7}"]
    total = sum(share["odds"] for share in plan["shares"].values()) or 1.0
    for name, share in plan["shares"].items():
        ratio = share["odds"] / total
        lines.append(
            f"{name:<20}{ratio:>8.1%}{share['wait']:>8.2f}{share['room']:>8.1f}{share['cold']:>7.2f}  "
            + _bar(ratio)
        )
    return lines


def status_lines(status: Status) -> list[str]:
    """Format a planner's status as lines of text; each bar shows a server's share of the next requests."""
    leadership = "does not lead" if status["epoch"] is None else f"leads by epoch {status['epoch']}"
    lines = [
        f"planner {status['planner']} {leadership}; highest epoch seen: {status['highest_epoch_seen']}",
        f"{status['forwarders']} forwarders, summary period {status['period_us'] / 1e6:.2f} s, "
        f"{status['summaries_shed']} summaries shed; {status['bytes_in']} bytes in, {status['bytes_out']} out",
    ]
    if status["p50_us"] is not None:
        p50_ms, p99_ms = status["p50_us"] / 1e3, status["p99_us"] / 1e3
        lines.append(f"response time: p50 {p50_ms:.0f} ms, p99 {p99_ms:.0f} ms")
    return [*lines, *_server_lines(status)]


def _server_lines(status: Status) -> list[str]:
    header = f"{'node':<20}{'dealt':>8}{'nominal':>9}{'factor':>8}{'holds':>7}{'per s':>8}{'ejected':>9}"
    lines = ["", header]
    total = sum(server["odds"] for server in status["nodes"]) or 1.0
    for server in status["nodes"]:
        ratio = server["odds"] / total
        lines.append(
            f"{server['name']:<20}{ratio:>8.1%}{server['nominal']:>9.2f}{server['factor']:>8.2f}"
            f"{server['held']:>7.0f}{server['answered_a_second']:>8.1f}{server['ejected_by']:>9}  "
            + ("cold " if server["cold"] else "")
            + _bar(ratio)
        )
    return lines


def _bar(ratio: float) -> str:
    return "#" * round(_BAR_CHARACTERS * ratio)


def fetch_followed_plan(address: Address) -> Status:
    """Fetch the plan that the forwarder at this address follows; raise OSError or ValueError on failure."""
    plan = fetch_admin_report(address).get("plan")
    if plan is None:
        raise ValueError("[planning] planners: missing in the forwarder's operator file")
    return dict(plan)


def fetch_planner_status(address: Address) -> Status:
    """Fetch the status of the planner at this address; raise OSError or ValueError on failure."""
    import msgpack

    from topazbank.planning.wire import STATUS_METHOD

    unpacker = msgpack.Unpacker()
    with socket.create_connection(address, _TIMEOUT_S) as sock:
        sock.settimeout(_TIMEOUT_S)
        sock.sendall(msgpack.packb([0, 1, STATUS_METHOD, []]))
        while data := sock.recv(_RECEIVE_BYTES):
            unpacker.feed(data)
            for _, _, error, result in unpacker:
                if error is not None:
                    raise ValueError(str(error))
                return dict(result)
    raise ValueError("connection closed before the response")


def record_run(address: Address, out: Path, seconds: float) -> int:
    """Write a planner's status to a file every second; return the number of records.

    A poll that fails adds no record, so the planner's failures show as gaps in the run.
    """
    records, started_s = 0, time.monotonic()
    with out.open("w", encoding="utf-8") as file:
        while (at_s := time.monotonic() - started_s) < seconds:
            try:
                status = fetch_planner_status(address)
            except (OSError, ValueError) as error:
                print(f"at {at_s:.0f} s: no status from {address[0]}:{address[1]}: {error}", file=sys.stderr)
            else:
                file.write(json.dumps({"at_s": round(at_s, 3), **status}) + "\n")
                file.flush()
                records += 1
            time.sleep(max(at_s + _RECORD_PERIOD_S - (time.monotonic() - started_s), 0.0))
    return records


def plot_run(source: Path, out: Path) -> list[str]:
    """Plot a recorded run and return its accuracy table; raise OSError or ValueError on failure."""
    with source.open(encoding="utf-8") as file:
        samples = record.samples_by_server(record.read_records(file))
    from topazbank.planning.plot import draw_run

    draw_run(samples, out)
    return [*record.accuracy_table(record.share_accuracy(samples)), "", f"plot written to {out}"]


def _run(arguments: argparse.Namespace) -> list[str]:
    if arguments.what == "plot":
        return plot_run(Path(arguments.source), arguments.out or Path(arguments.source).with_suffix(".png"))
    address = parse_address(arguments.source)
    if arguments.what == "show":
        return plan_lines(fetch_followed_plan(address))
    if arguments.what == "status":
        return status_lines(fetch_planner_status(address))
    out = arguments.out or Path("planner.jsonl")
    return [f"{record_run(address, out, arguments.seconds)} records written to {out}"]


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(prog="topazbank.plan", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("what", choices=("show", "status", "record", "plot"))
    parser.add_argument(
        "source", metavar="HOST:PORT|FILE", help="the process to query, or the recorded run to plot"
    )
    parser.add_argument("--out", type=Path, metavar="FILE", help="output file of record and plot")
    parser.add_argument("--seconds", type=float, default=60.0, help="duration of record")
    arguments = parser.parse_args(argv)
    try:
        lines = _run(arguments)
    except ImportError:
        print("plot requires the extra 'plots': pip install 'topazbank[plots]'", file=sys.stderr)
        return 1
    except (OSError, ValueError) as error:
        print(f"error: {arguments.source}: {error}", file=sys.stderr)
        return 1
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
