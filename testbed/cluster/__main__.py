"""Plays the failure scenes of a tier over real processes, or in played time, and judges them.

    python -m testbed.cluster [SCENE ...] [--sidecars 5] [--seed 1] [--seeds 1] [--pace 1.0] [--played] [--off]

Without a scene all are played.  One line a scene; what was done to whom and when goes to --notes FILE as JSON lines.
The last line is PASSED, or FAILED with the scene, what was wrong and the seed; exit code 0 or 1.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
from collections.abc import Sequence
from dataclasses import asdict

from testbed.cluster.harness import Rig
from testbed.cluster.invariants import Found
from testbed.cluster.scenarios import SCENES
from testbed.cluster.virtual_time import Played
from testbed.fleet.invariants import InvariantReport

HEAD = f"{'scene':<22}{'seed':>5}{'false gone':>11}{'known s':>9}{'equal s':>9}{'doubted':>9}{'back':>6}"
CALLS = f"{'calls':>8}{'served':>9}{'lost':>6}{'rules':>7}"


def row(name: str, seed: int, found: Found, verdicts: InvariantReport | None) -> str:
    known = f"{max(found.known_s):.2f}" if found.known_s else "-"
    equal = f"{found.equal_s:.2f}" if found.equal_s is not None else "never"
    line = (
        f"{name:<22}{seed:>5}{found.false_gone:>11}{known:>9}{equal:>9}{found.suspected:>9}{found.flaps:>6}"
    )
    if verdicts is not None:
        counts = verdicts.outcomes
        line += f"{verdicts.call_count:>8}{verdicts.served_ratio:>9.2%}{counts['lost']:>6}{len(verdicts.violations):>7}"
    return line


def wrong(found: Found, verdicts: InvariantReport | None) -> list[str]:
    return found.faults + (verdicts.violations if verdicts is not None else [])


def play_all(given: argparse.Namespace) -> list[str]:
    """Played time; what was wrong, a line each."""
    bad = []
    for seed in range(given.seed, given.seed + given.seeds):
        for name in given.scenes or SCENES:
            script = SCENES[name](given.sidecars, random.Random(seed), given.pace)
            rig = Played(given.sidecars, seed)
            found = rig.play(script)
            print(row(name, seed, found, None), flush=True)
            _note(given.notes, name, seed, [asdict(each) for each in rig.done])
            bad += [f"{name}, {each}, seed {seed}" for each in wrong(found, None)]
    return bad


async def play_processes(given: argparse.Namespace) -> list[str]:
    """Real processes, which live on from scene to scene."""
    bad = []
    for seed in range(given.seed, given.seed + given.seeds):
        rig = Rig(given.sidecars, seed, not given.off, given.rate)
        try:
            await rig.start()
            for name in given.scenes or SCENES:
                script = SCENES[name](given.sidecars, random.Random(seed), given.pace)
                found, verdicts = await rig.play(script)
                print(row(name, seed, found, verdicts), flush=True)
                _note(given.notes, name, seed, [asdict(each) for each in rig.done])
                bad += [f"{name}, {each}, seed {seed}" for each in wrong(found, verdicts)]
        finally:
            await rig.stop()
    return bad


def _note(path: str | None, name: str, seed: int, done: list[dict[str, object]]) -> None:
    if path is not None:
        with open(path, "a", encoding="utf-8") as file:
            file.write(json.dumps({"scene": name, "seed": seed, "done": done}) + "\n")


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="testbed.cluster", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("scenes", nargs="*", metavar="SCENE", help=", ".join(SCENES))
    parser.add_argument("--sidecars", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="play as many seeds, from --seed on")
    parser.add_argument(
        "--pace", type=float, default=1.0, help="how long a scene's parts last, of their usual"
    )
    parser.add_argument("--rate", type=float, default=60.0, help="calls a second")
    parser.add_argument("--played", action="store_true", help="in played time, the deciding modules alone")
    parser.add_argument(
        "--off", action="store_true", help="the same with membership off: the calls alone count"
    )
    parser.add_argument("--notes", metavar="FILE", help="append what was done to whom and when")
    given = parser.parse_args(argv)
    for name in given.scenes:
        if name not in SCENES:
            parser.error(f"{name}: no scene; one of {', '.join(SCENES)} is wanted")
    print(HEAD + ("" if given.played else CALLS), flush=True)
    bad = play_all(given) if given.played else asyncio.run(play_processes(given))
    print(f"FAILED: {bad[0]}" + (f" (and {len(bad) - 1} more)" if bad[1:] else "") if bad else "PASSED")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
