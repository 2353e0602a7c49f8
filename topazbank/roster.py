"""Prints the endpoint list that a sidecar uses: `python -m topazbank.roster HOST:PORT`.

The sidecar's operator file must enable it: `[admin]` with `roster = true`.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from typing import Any

from topazbank.core.net import Address, parse_address

_TIMEOUT_S = 5.0
_REPORT_PATH = "/admin/roster"
_HTTP_OK = 200


def format_endpoint_table(report: dict[str, Any]) -> list[str]:
    """Format the sources and the endpoints in a sidecar's report, one per line."""
    lines = [f"{'source':<12}{'can know':<10}{'last contact':>14}"]
    lines += [_source_row(source) for source in report["sources"]]
    lines += ["", f"{'node':<20}{'state':<10}{'address':<22}{'speaks':<13}{'source':<12}{'told':>12}"]
    lines += [_endpoint_row(endpoint) for endpoint in report["nodes"]]
    return lines


def _source_row(source: dict[str, Any]) -> str:
    age = "never" if source["age_s"] is None else f"{source['age_s']:.1f} s ago"
    return f"{source['source']:<12}{'yes' if source['can_know'] else 'no':<10}{age:>14}"


def _endpoint_row(endpoint: dict[str, Any]) -> str:
    return (
        f"{endpoint['name']:<20}{endpoint['state']:<10}{endpoint['address']:<22}{endpoint['protocol']:<13}"
        f"{endpoint['source']:<12}{endpoint['age_s']:>8.1f} s ago"
    )


def fetch_admin_report(address: Address) -> dict[str, Any]:
    """Fetch a sidecar's report on its own state, decoded from JSON; raise OSError or ValueError on failure."""
    connection = http.client.HTTPConnection(*address, timeout=_TIMEOUT_S)
    try:
        connection.request("GET", _REPORT_PATH)
        response = connection.getresponse()
        body = response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from None
    finally:
        connection.close()
    if response.status != _HTTP_OK:
        raise ValueError(f"expected status 200, not {response.status}; requires [admin] roster = true")
    return dict(json.loads(body))


def main(argv: list[str] | None = None) -> int:
    """Print the endpoint list of the sidecar named on the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="topazbank.roster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("address", metavar="HOST:PORT", help="the sidecar's listen address")
    arguments = parser.parse_args(argv)
    try:
        report = fetch_admin_report(parse_address(arguments.address))
    except (OSError, ValueError) as error:
        print(f"can't fetch the endpoint list from {arguments.address}: {error}", file=sys.stderr)
        return 1
    print("\n".join(format_endpoint_table(report)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
