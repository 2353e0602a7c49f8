"""Budgets of a fleet: what a process holds and keeps, and whether the parts ever passed the whole.

python -m topazbank.quota show HOST:PORT
python -m topazbank.quota audit FILE ... [--plot FILE.png]
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence
from typing import Any

from topazbank.cluster.__main__ import fetch_status
from topazbank.quota.audit import Account, BadLedger, audit, read
from topazbank.quota.rules import RATE, THOUSANDTHS


def amount(value: int, kind: str) -> str:
    """A part as operators read it: units a second, or units."""
    return f"{value / THOUSANDTHS:g}/s" if kind == RATE else f"{value}"


def table(told: dict[str, Any]) -> list[str]:
    """A line for each budget, and one for each slice that is kept here."""
    lines = [f"{told['name']}, process {told['pid']}"]
    lines.append(f"{'budget':<20}{'whole':>10}{'holds':>12}{'spent':>9}{'refused':>9}  from")
    for name, each in told["budgets"].items():
        kind = each["kind"]
        parts = ", ".join(f"{k} {amount(part[0], kind)}" for k, part in each["from"].items() if part[0])
        whole = f"{each['whole']}/s" if kind == RATE else str(each["whole"])
        held = amount(each["holds"], kind)
        lines.append(
            f"{name:<20}{whole:>10}{held:>12}{each['spent']:>9}{each['refused']:>9}  {parts or 'its floor'}"
        )
    for name, each in told["budgets"].items():
        if "keeps" not in each:
            continue
        kept, kind = each["keeps"], each["kind"]
        quiet = (
            f", QUIET for {kept['quiet_s']:.1f} s: it may have forgotten what it gave"
            if kept["quiet_s"]
            else ""
        )
        given, slice_ = amount(kept["given"][0], kind), amount(kept["slice"][0], kind)
        lines.append(f"keeps of {name}: {given} given of {slice_} to {len(kept['holders'])}{quiet}")
    return lines


def report(accounts: dict[str, Account]) -> list[str]:
    """What the ledgers say, a line for each budget and one for each breach."""
    head = f"{'budget':<20}{'processes':>10}{'whole':>10}{'most held':>11}{'spent':>9}{'refused':>9}"
    lines = [f"{head}{'most ahead':>12}"]
    for name, each in accounts.items():
        ahead = f"{each.most_spent:.1f} of {each.burst}" if each.kind == RATE else "-"
        lines.append(
            f"{name:<20}{len(each.processes):>10}{amount(each.whole, each.kind):>10}"
            f"{amount(each.most_held, each.kind):>11}{each.spent:>9}{each.refused:>9}{ahead:>12}"
        )
        lines += [f"  PASSED THE WHOLE {text}" for text in each.breaches]
    return lines


def _lines(files: Sequence[str]) -> Iterator[str]:
    for path in files:
        with open(path, encoding="utf-8") as file:
            yield from file


def draw(accounts: dict[str, Account], path: str) -> None:
    """The parts over time against the whole."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(accounts), 1, figsize=(10, 3.5 * len(accounts)), squeeze=False)
    for axis, (name, each) in zip(axes[:, 0], accounts.items(), strict=True):
        began = each.times[0][0] if each.times else 0
        at = [(when - began) / 1e6 for when, _ in each.times]
        axis.step(at, [held for _, held in each.times], where="post", label="held")
        axis.axhline(each.shared, color="red", linestyle="--", label="whole, less floors")
        axis.set(title=name, xlabel="s", ylabel="thousandths a second" if each.kind == RATE else "units")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="topazbank.quota", description=(__doc__ or "").split("\n")[0])
    commands = parser.add_subparsers(dest="what", required=True)
    shown = commands.add_parser("show", help="what a sidecar holds and keeps by now")
    shown.add_argument("address", metavar="HOST:PORT", help="where the sidecar listens for clients")
    audited = commands.add_parser("audit", help="add up the ledgers of all processes")
    audited.add_argument("files", nargs="+", metavar="FILE")
    audited.add_argument("--plot", metavar="FILE", help="draw the parts over time (extra `plots`)")
    given = parser.parse_args(argv)
    if given.what == "show":
        try:
            told = fetch_status(given.address)["budgets"]
        except (OSError, ValueError) as fault:
            print(f"no budgets from {given.address}: {fault}", file=sys.stderr)
            return 1
        print("\n".join(table(told)) if told else "no budgets are set there")
        return 0
    try:
        accounts = audit(read(_lines(given.files)))
    except (OSError, BadLedger) as fault:
        print(f"can't audit: {fault}", file=sys.stderr)
        return 1
    print("\n".join(report(accounts)))
    if given.plot:
        draw(accounts, given.plot)
    broken = any(each.breaches for each in accounts.values())
    print("PASSED THE WHOLE" if broken else "never more than the whole")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
