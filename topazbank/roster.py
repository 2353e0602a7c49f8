"""Prints the roster as a sidecar sees it: `python -m topazbank.roster HOST:PORT`.

The sidecar's operator file must allow it: `[admin]` with `roster = true`.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from typing import Any

from topazbank.core.net import Address, parse_address

_WAIT_S = 5.0


def table(told: dict[str, Any]) -> list[str]:
    """The sources and the nodes, a line each."""
    lines = [f"{'source':<12}{'can know':<10}{'last in touch':>14}"]
    for each in told["sources"]:
        age = "never" if each["age_s"] is None else f"{each['age_s']:.1f} s ago"
        lines.append(f"{each['source']:<12}{'yes' if each['can_know'] else 'no':<10}{age:>14}")
    lines += ["", f"{'node':<20}{'state':<10}{'address':<22}{'speaks':<13}{'source':<12}{'told':>12}"]
    for each in told["nodes"]:
        lines.append(
            f"{each['name']:<20}{each['state']:<10}{each['address']:<22}{each['protocol']:<13}"
            f"{each['source']:<12}{each['age_s']:>8.1f} s ago"
        )
    return lines


def ask(address: Address) -> dict[str, Any]:
    """A sidecar's account of itself; raise OSError or ValueError where there is none."""
    connection = http.client.HTTPConnection(*address, timeout=_WAIT_S)
    try:
        connection.request("GET", "/admin/roster")
        answer = connection.getresponse()
        body = answer.read()
    except http.client.HTTPException as fault:
        raise OSError(str(fault)) from None
    finally:
        connection.close()
    if answer.status != 200:
        raise ValueError(f"status {answer.status}; is [admin] roster on?")
    return dict(json.loads(body))


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="topazbank.roster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("address", metavar="HOST:PORT", help="where the sidecar listens")
    given = parser.parse_args(argv)
    try:
        told = ask(parse_address(given.address))
    except (OSError, ValueError) as fault:
        print(f"no roster from {given.address}: {fault}", file=sys.stderr)
        return 1
    print("\n".join(table(told)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
