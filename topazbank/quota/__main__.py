"""Shows a sidecar's leases and grants of fleet-wide quotas, and audits ledgers for exceeded limits.

python -m topazbank.quota show HOST:PORT
python -m topazbank.quota audit FILE ... [--plot FILE.png]
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence

from topazbank.cluster.__main__ import fetch_status
from topazbank.quota.audit import audit
from topazbank.quota.ledger_records import BadLedger, read_ledgers
from topazbank.quota.report import audit_table, plot, status_table


def _read_lines(paths: Sequence[str]) -> Iterator[str]:
    for path in paths:
        with open(path, encoding="utf-8") as file:
            yield from file


def _show(address: str) -> int:
    """Print the quotas of the sidecar at this address; returns the exit code."""
    try:
        status = fetch_status(address)["budgets"]
    except (OSError, ValueError) as error:
        print(f"can't read quotas from {address}: {error}", file=sys.stderr)
        return 1
    print("\n".join(status_table(status)) if status else "no quotas are configured")
    return 0


def _audit(paths: Sequence[str], plot_path: str | None) -> int:
    """Print the audit of these ledgers; returns exit code 1 if a limit was exceeded or a ledger can't be read."""
    try:
        audits = audit(read_ledgers(_read_lines(paths)))
    except (OSError, BadLedger) as error:
        print(f"audit failed: {error}", file=sys.stderr)
        return 1
    print("\n".join(audit_table(audits)))
    if plot_path:
        plot(audits, plot_path)
    is_exceeded = any(result.violations for result in audits.values())
    print("LIMIT EXCEEDED" if is_exceeded else "no limit was exceeded")
    return 1 if is_exceeded else 0


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; returns the exit code."""
    parser = argparse.ArgumentParser(prog="topazbank.quota", description=(__doc__ or "").split("\n")[0])
    commands = parser.add_subparsers(dest="command", required=True)
    show = commands.add_parser("show", help="show a sidecar's current leases and grants")
    show.add_argument("address", metavar="HOST:PORT", help="the sidecar's client address")
    audit_command = commands.add_parser("audit", help="check the ledgers of all processes against the limits")
    audit_command.add_argument("files", nargs="+", metavar="FILE")
    audit_command.add_argument(
        "--plot", metavar="FILE", help="plot the held amounts over time (requires the `plots` extra)"
    )
    options = parser.parse_args(argv)
    if options.command == "show":
        return _show(options.address)
    return _audit(options.files, options.plot)


if __name__ == "__main__":
    sys.exit(main())
