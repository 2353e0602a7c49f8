"""Prints the cluster status that a sidecar reports: `python -m topazbank.cluster show HOST:PORT`.

The sidecar's operator file must enable this: `[admin]` with `roster = true`.
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
    """Return lines on the sidecar itself, then one for each other member; `now_ms`: Unix milliseconds."""
    return [
        *_sidecar_lines(status),
        "",
        f"{'member':<14}{'is':<12}{'state':<11}{'uptime':>10}{'heard':>10}  {'address':<22}suspected by",
        *(_member_line(member, now_ms) for member in status["members"]),
    ]


def _sidecar_lines(status: dict[str, Any]) -> list[str]:
    connectivity = "ISOLATED: presence of other members is unknown" if status["cut_off"] else "connected"
    size = f"cluster size in use: {status['goes_by']}"
    lines = [f"{status['name']}: {connectivity}; {status['sure']:.0%} of expected members present, {size}"]
    if status["taken"]:
        lines.append("ANOTHER PROCESS HAS THIS NAME: this process does not participate in the cluster")
    if status["troubles"]:
        score = f"{status['troubles']} of {LOCAL_HEALTH_MAX}"
        lines.append(f"local health score: {score} (0 is healthy); stalled {status['stalls']} times")
    return lines


def _member_line(member: dict[str, Any], now_ms: int) -> str:
    uptime = f"{max(now_ms - member['life'], 0) / 1000:.0f} s"
    last_seen = "never" if member["age_s"] is None else f"{member['age_s']:.1f} s"
    suspected_by = ""
    if member["suspected_s"] is not None:
        suspected_by = f"{', '.join(member['by'])} for {member['suspected_s']:.1f} s"
    name, answer, state, address = (member[key] for key in ("name", "answer", "state", "address"))
    return f"{name:<14}{answer:<12}{state:<11}{uptime:>10}{last_seen:>10}  {address:<22}{suspected_by}"


def fetch_status(address: str) -> dict[str, Any]:
    """Return the cluster status of a sidecar; raise OSError or ValueError if it is unavailable."""
    status = fetch_admin_report(parse_address(address)).get("tier")
    if status is None:
        raise ValueError("[tier] is disabled on this sidecar")
    return dict(status)


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(prog="topazbank.cluster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("command", choices=["show"])
    parser.add_argument(
        "address", metavar="HOST:PORT", help="address on which the sidecar listens for clients"
    )
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
