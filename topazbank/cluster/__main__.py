"""Prints the cluster as a sidecar sees it: `python -m topazbank.cluster show HOST:PORT`.

The sidecar's operator file must allow it: `[admin]` with `roster = true`.
"""

from __future__ import annotations

import argparse
import sys
import time
from typing import Any

from topazbank.cluster.local_health import LOCAL_HEALTH_MAX
from topazbank.core.net import parse_address
from topazbank.roster import fetch_admin_report


def status_lines(status: dict[str, Any], now_ms: int) -> list[str]:
    """Return the sidecar's own state, then a line for each other member; `now_ms`: Unix milliseconds."""
    return [
        *_own_lines(status),
        "",
        f"{'member':<14}{'is':<12}{'state':<11}{'up since':>10}{'heard':>10}  {'address':<22}suspected by",
        *(_member_line(member, now_ms) for member in status["members"]),
    ]


def _own_lines(status: dict[str, Any]) -> list[str]:
    reach = "ISOLATED: it can't judge other members" if status["cut_off"] else "connected"
    size = f"cluster size in use: {status['goes_by']}"
    lines = [f"{status['name']}: {reach}; {status['sure']:.0%} of the cluster answers, {size}"]
    if status["taken"]:
        lines.append("ANOTHER PROCESS HAS THIS NAME: this one takes no part")
    if status["troubles"]:
        score = f"{status['troubles']} of {LOCAL_HEALTH_MAX}"
        lines.append(f"own trouble: {score}; stalled {status['stalls']} times")
    return lines


def _member_line(member: dict[str, Any], now_ms: int) -> str:
    up = f"{max(now_ms - member['life'], 0) / 1000:.0f} s"
    heard = "never" if member["age_s"] is None else f"{member['age_s']:.1f} s"
    suspected = ""
    if member["suspected_s"] is not None:
        suspected = f"{', '.join(member['by'])} for {member['suspected_s']:.1f} s"
    name, answer, state, address = (member[key] for key in ("name", "answer", "state", "address"))
    return f"{name:<14}{answer:<12}{state:<11}{up:>10}{heard:>10}  {address:<22}{suspected}"


def fetch_status(address: str) -> dict[str, Any]:
    """Return the status of a sidecar's cluster; raise OSError or ValueError where there is none."""
    status = fetch_admin_report(parse_address(address)).get("tier")
    if status is None:
        raise ValueError("[tier] is off there")
    return dict(status)


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(prog="topazbank.cluster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("command", choices=["show"])
    parser.add_argument("address", metavar="HOST:PORT", help="where the sidecar listens for clients")
    arguments = parser.parse_args(argv)
    try:
        status = fetch_status(arguments.address)
    except (OSError, ValueError) as error:
        print(f"no cluster status from {arguments.address}: {error}", file=sys.stderr)
        return 1
    print("\n".join(status_lines(status, time.time_ns() // 1_000_000)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
