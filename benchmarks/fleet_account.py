"""Where a fleet's worth was lost, by cause and by second, from the traces of all its sidecars.

    python -m benchmarks.fleet_account LOGS [--step 1.0] [--servers]

LOGS is a folder of the sidecars' logs, one file each, written with `[trace]` on (docs/operators/size.md). Lost is
what first tries asked for less what came in time; a client's repeat is part of its first try, so the causes are told
by tries and the loss by worth. Causes that come with no attempt sent are decisions; the others are what became of
attempts.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

from topazbank.core.trace import MARK

S = 1_000_000
CONNECTED = ("delivered", "error", "full")  # the connection is still there after these
COUNTED = ("dial", "probe", "tell", "follow", "resend")
BELIEFS = ("window", "load", "over", "hopeless", "late", "reach")


@dataclass(slots=True)
class Try:
    """One request at one sidecar."""

    at: int
    kind: str
    again: bool
    sent: int = 0
    ends: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Slot:
    """What was asked for in one step of time, by all sidecars."""

    offered: float = 0.0  # worth of first tries
    in_time: float = 0.0  # worth answered in time, repeats too
    tries: int = 0
    firsts: int = 0
    causes: Counter[str] = field(default_factory=Counter)  # tries that did not come in time
    counts: Counter[str] = field(default_factory=Counter)
    spent: list[float] = field(default_factory=list)  # parts of the aim that answers took
    beliefs: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    served_by: Counter[str] = field(default_factory=Counter)


class Account:
    """Reads the traces of a fleet."""

    def __init__(self, step_s: float) -> None:
        self._step = int(step_s * S)
        self.slots: dict[int, Slot] = defaultdict(Slot)
        self.sidecars = self.lives = self.dropped = 0
        self.kinds: dict[str, tuple[float, int]] = {}
        self.by_kind: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])  # offered, in time
        self.cold: set[str] = set()  # servers that were sent to while they were cold

    def read(self, path: Path) -> None:
        """One sidecar's log, with all its lives."""
        self.sidecars += 1
        live: dict[int, Try] = {}
        idle: Counter[str] = Counter()
        for what, at, *rest in lines(path):
            slot = self.slots[at // self._step]
            if what == "start":
                self.lives += 1
                self._cut_off(live)
                idle.clear()
                self.kinds |= {name: (worth, aim) for name, worth, aim in rest[1]}
            elif what == "arrived":
                self._arrived(live, slot, at, rest)
            elif what == "send":
                self._sent(live, slot, idle, rest)
            elif what == "ended":
                self._ended(live, idle, at, rest)
            elif what in ("refuse", "fail", "gone"):
                self._answered(live, slot, what, rest)
            elif what == "dropped":
                self.dropped += rest[0]
            elif what in COUNTED:
                slot.counts[what] += 1
        self._cut_off(live)

    def _arrived(self, live: dict[int, Try], slot: Slot, at: int, rest: list[Any]) -> None:
        ident, kind, _, again, _ = rest
        live[ident] = Try(at, kind, again)
        slot.tries += 1
        worth = self.kinds.get(kind, (1.0, 0))[0]
        if not again:
            slot.firsts += 1
            slot.offered += worth
            self.by_kind[kind][0] += worth

    def _sent(self, live: dict[int, Try], slot: Slot, idle: Counter[str], rest: list[Any]) -> None:
        ident, server, cold, _ = rest
        if cold:
            self.cold.add(server)
        if idle[server] > 0:
            idle[server] -= 1
        else:
            slot.counts["dial"] += 1
        if ident in live:
            live[ident].sent += 1
            slot.counts["resend"] += live[ident].sent > 1

    def _ended(self, live: dict[int, Try], idle: Counter[str], at: int, rest: list[Any]) -> None:
        ident, _, server, outcome, _, answered = rest
        idle[server] += outcome in CONNECTED
        found = live.get(ident)
        if found is None:
            return
        found.ends.append(outcome)
        if not answered:
            return
        del live[ident]
        worth, aim = self.kinds.get(found.kind, (1.0, 1))
        slot = self.slots[found.at // self._step]
        spent = (at - found.at) / max(aim, 1)
        slot.spent.append(spent)
        if outcome == "delivered" and spent <= 1.0:
            slot.in_time += worth
            self.by_kind[found.kind][1] += worth
            slot.served_by[server] += 1
        else:
            slot.causes["late" if outcome == "delivered" else f"answered {outcome}"] += 1

    def _answered(self, live: dict[int, Try], slot: Slot, what: str, rest: list[Any]) -> None:
        found = live.pop(rest[0], None)
        if found is None:
            return
        cause = {"refuse": "refused", "fail": "failed", "gone": "client left"}[what]
        if not found.sent:
            cause += ", nothing sent"
        elif found.ends:
            cause += f" after {found.ends[-1]}"
        else:
            cause += ", attempt out"
        self.slots[found.at // self._step].causes[cause] += 1
        for name, value in (rest[1] if len(rest) > 1 else {}).items():
            if value is not None:
                slot.beliefs[name].append(value)

    def _cut_off(self, live: dict[int, Try]) -> None:
        """The sidecar ended with these: it was killed, or the day was over."""
        for found in live.values():
            self.slots[found.at // self._step].causes["sidecar ended"] += 1
        live.clear()


def lines(path: Path) -> Iterator[list[Any]]:
    """The traced lines of a log, in order; what is cut short at its end is passed over."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for line in file:
            _, mark, text = line.partition(MARK + "[")
            if mark:
                try:
                    yield json.loads("[" + text)
                except ValueError:
                    continue


def show(account: Account) -> None:
    slots = [(at, slot) for at, slot in sorted(account.slots.items()) if slot.tries or slot.counts]
    if not slots:
        sys.exit("no traced lines: is [trace] on in the operator file?")
    whole = sum(slot.offered for _, slot in slots) or 1.0
    first = next((at for at, slot in slots if slot.tries), slots[0][0])
    causes: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    print(f"{account.sidecars} sidecars, {account.lives} lives; lost, in 100 parts of what was asked for")
    print(
        f"{'s':>5} {'tries':>6} {'firsts':>6} {'lost':>6} {'refused':>8} {'late':>5} {'else':>5} {'median':>7}"
        f" {'dials':>6} {'probes':>6} {'tells':>6} {'lists':>6} {'resent':>6}  beliefs on refusing (medians)"
    )
    for at, slot in slots:
        causes += slot.causes
        counts += slot.counts
        refused, late = slot.causes["refused, nothing sent"], slot.causes["late"]
        beliefs = " ".join(
            f"{name} {median(slot.beliefs[name]):.2f}" for name in BELIEFS if slot.beliefs.get(name)
        )
        print(
            f"{(at - first) * account._step / S:5.1f} {slot.tries:6} {slot.firsts:6}"
            f" {100 * (slot.offered - slot.in_time) / whole:6.2f} {refused:8} {late:5}"
            f" {sum(slot.causes.values()) - refused - late:5}"
            f" {median(slot.spent) if slot.spent else 0.0:7.2f}"
            + "".join(f" {slot.counts[name]:6}" for name in COUNTED)
            + f"  {beliefs}"
        )
    lost = sum(slot.offered - slot.in_time for _, slot in slots)
    print(
        f"all: lost {100 * lost / whole:.2f} of 100; by class: "
        + ", ".join(
            f"{kind} {100 * (1 - got / max(asked, 1e-9)):.1f}% of its own"
            for kind, (asked, got) in sorted(account.by_kind.items())
        )
    )
    tries = sum(slot.tries for _, slot in slots)
    print(
        f"tries that did not come in time, of {tries}: "
        + ", ".join(f"{name} {n}" for name, n in causes.most_common())
    )
    firsts = sum(slot.firsts for _, slot in slots)
    print(
        "for each 1,000 first tries: "
        + ", ".join(f"{name} {1000 * counts[name] / max(firsts, 1):.1f}" for name in COUNTED)
    )
    if account.dropped:
        print(f"{account.dropped} lines went beyond the trace's bound: all figures are too small")


def show_servers(account: Account) -> None:
    """What servers answered in time, by whether they were ever cold."""
    print(f"{'s':>5} {'warm':>5} {'a server':>9} {'cold':>5} {'a server':>9}")
    slots = sorted(account.slots.items())
    for at, slot in slots:
        once_cold = [n for name, n in slot.served_by.items() if name in account.cold]
        never = [n for name, n in slot.served_by.items() if name not in account.cold]
        print(
            f"{(at - slots[0][0]) * account._step / S:5.1f} {len(never):5} {sum(never) / max(len(never), 1):9.1f}"
            f" {len(once_cold):5} {sum(once_cold) / max(len(once_cold), 1):9.1f}"
        )


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.fleet_account", description=__doc__)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds of a line")
    parser.add_argument("--servers", action="store_true", help="what cold and warm servers answered")
    given = parser.parse_args()
    account = Account(given.step)
    for path in sorted(given.logs.glob("*.log")):
        account.read(path)
    show(account)
    if given.servers:
        show_servers(account)
    return 0


if __name__ == "__main__":
    sys.exit(main())
