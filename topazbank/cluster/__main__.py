"""Prints the tier as a sidecar sees it: `python -m topazbank.cluster show HOST:PORT`.

The sidecar's operator file must allow it: `[admin]` with `roster = true`.
"""

from __future__ import annotations

import argparse
import sys
import time
from typing import Any

from topazbank.core.net import parse_address
from topazbank.roster import ask


def table(told: dict[str, Any], now_ms: int) -> list[str]:
    """The sidecar's own standing, then a line for each other member."""
    touch = "CUT OFF: of whom it does not hear it can't tell" if told["cut_off"] else "in touch"
    lines = [f"{told['name']}: {touch}; {told['sure']:.0%} of the tier answers, counted as {told['goes_by']}"]
    if told["taken"]:
        lines.append("ANOTHER PROCESS HAS THIS NAME: this one takes no part")
    if told["troubles"]:
        lines.append(f"own troubles: {told['troubles']} of 8; stood still {told['stalls']} times")
    lines += [
        "",
        f"{'member':<14}{'is':<12}{'state':<11}{'up since':>10}{'word':>10}  {'address':<22}suspected by",
    ]
    for each in told["members"]:
        up = f"{max(now_ms - each['life'], 0) / 1000:.0f} s"
        word = "none" if each["age_s"] is None else f"{each['age_s']:.1f} s"
        by = ""
        if each["suspected_s"] is not None:
            by = f"{', '.join(each['by'])} for {each['suspected_s']:.1f} s"
        lines.append(
            f"{each['name']:<14}{each['answer']:<12}{each['state']:<11}{up:>10}{word:>10}  {each['address']:<22}{by}"
        )
    return lines


def fetch_status(address: str) -> dict[str, Any]:
    """The sidecar's account of its tier; raise OSError or ValueError where there is none."""
    told = ask(parse_address(address)).get("tier")
    if told is None:
        raise ValueError("[tier] is off there")
    return dict(told)


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="topazbank.cluster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("what", choices=["show"])
    parser.add_argument("address", metavar="HOST:PORT", help="where the sidecar listens for clients")
    given = parser.parse_args(argv)
    try:
        told = fetch_status(given.address)
    except (OSError, ValueError) as fault:
        print(f"no tier from {given.address}: {fault}", file=sys.stderr)
        return 1
    print("\n".join(table(told, time.time_ns() // 1_000_000)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
