"""Runs the failure scenarios of a cluster over real processes, or in virtual time, and judges them.

    python -m testbed.cluster [SCENARIO ...] [--sidecars 5] [--seed 1] [--seeds 1] [--pace 1.0] [--played] [--off]

Without a scenario all are run, with a line of results for each.  What was done to whom and when goes to --notes FILE as
JSON lines.  The last line is PASSED, or FAILED with the scenario, what was wrong and the seed; exit code 0 or 1.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
from collections.abc import Sequence
from dataclasses import asdict

from testbed.cluster.harness import ClusterHarness
from testbed.cluster.invariants import FaultRecord, Outcome
from testbed.cluster.scenarios import SCENARIOS
from testbed.cluster.virtual_time import VirtualCluster
from testbed.fleet.invariants import InvariantReport

HEADER = (
    f"{'scenario':<22}{'seed':>5}{'false dead':>11}{'known s':>9}{'equal s':>9}{'suspected':>10}{'flaps':>7}"
)
CALLS_HEADER = f"{'calls':>8}{'served':>9}{'lost':>6}{'rules':>7}"


def result_line(name: str, seed: int, outcome: Outcome, verdicts: InvariantReport | None) -> str:
    """Return a scenario's line of the table."""
    known = f"{max(outcome.detection_s):.2f}" if outcome.detection_s else "-"
    equal = f"{outcome.convergence_s:.2f}" if outcome.convergence_s is not None else "never"
    line = (
        f"{name:<22}{seed:>5}{outcome.false_deaths:>11}{known:>9}{equal:>9}"
        f"{outcome.suspicions:>10}{outcome.flaps:>7}"
    )
    if verdicts is not None:
        lost, rules = verdicts.outcomes["lost"], len(verdicts.violations)
        line += f"{verdicts.call_count:>8}{verdicts.served_ratio:>9.2%}{lost:>6}{rules:>7}"
    return line


def run_in_virtual_time(arguments: argparse.Namespace) -> list[str]:
    """Run the scenarios; return what was wrong, a line each."""
    failures = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        for name in arguments.scenarios or SCENARIOS:
            scenario = SCENARIOS[name](arguments.sidecars, random.Random(seed), arguments.pace)
            cluster = VirtualCluster(arguments.sidecars, seed)
            outcome = cluster.run_scenario(scenario)
            print(result_line(name, seed, outcome, None), flush=True)
            _write_notes(arguments.notes, name, seed, cluster.applied)
            failures += [f"{name}, {violation}, seed {seed}" for violation in outcome.violations]
    return failures


async def run_processes(arguments: argparse.Namespace) -> list[str]:
    """Run the scenarios over real processes, which live on from one to the next; return what was wrong."""
    failures = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        harness = ClusterHarness(arguments.sidecars, seed, not arguments.off, arguments.rate)
        try:
            await harness.start()
            for name in arguments.scenarios or SCENARIOS:
                scenario = SCENARIOS[name](arguments.sidecars, random.Random(seed), arguments.pace)
                outcome, verdicts = await harness.run_scenario(scenario)
                print(result_line(name, seed, outcome, verdicts), flush=True)
                _write_notes(arguments.notes, name, seed, harness.applied)
                wrong = outcome.violations + verdicts.violations
                failures += [f"{name}, {violation}, seed {seed}" for violation in wrong]
        finally:
            await harness.stop()
    return failures


def _write_notes(path: str | None, name: str, seed: int, applied: Sequence[FaultRecord]) -> None:
    if path is not None:
        done = [asdict(record) for record in applied]
        with open(path, "a", encoding="utf-8") as file:
            file.write(json.dumps({"scenario": name, "seed": seed, "done": done}) + "\n")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="testbed.cluster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO", help=", ".join(SCENARIOS))
    parser.add_argument("--sidecars", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="run this many seeds, from --seed on")
    parser.add_argument(
        "--pace", type=float, default=1.0, help="factor of the durations of a scenario's parts"
    )
    parser.add_argument("--rate", type=float, default=60.0, help="calls a second")
    parser.add_argument("--played", action="store_true", help="in virtual time, the failure detectors alone")
    parser.add_argument("--off", action="store_true", help="with membership off: only the calls are judged")
    parser.add_argument("--notes", metavar="FILE", help="append what was done to whom and when")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = _parser()
    arguments = parser.parse_args(argv)
    for name in arguments.scenarios:
        if name not in SCENARIOS:
            parser.error(f"{name}: no scenario; choose from {', '.join(SCENARIOS)}")
    print(HEADER + ("" if arguments.played else CALLS_HEADER), flush=True)
    failures = run_in_virtual_time(arguments) if arguments.played else asyncio.run(run_processes(arguments))
    if not failures:
        print("PASSED")
        return 0
    print(f"FAILED: {failures[0]}" + (f" (and {len(failures) - 1} more)" if failures[1:] else ""))
    return 1


if __name__ == "__main__":
    sys.exit(main())
