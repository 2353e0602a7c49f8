"""Plays crowds against a sidecar with limits, and judges its processes and its sound clients."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from testbed.crowds.limited_sidecar import ROOT, LimitedSidecar
from testbed.crowds.memory_watch import MemoryWatch, Usage
from testbed.crowds.witness import Testimony, Witness
from testbed.wire import HTTP, MSGPACK_RPC, Address

MEMORY_MB = 96  # half of what the users' pages name, as on days with limits cut by half
DESCRIPTORS = 1024
BYTES_PER_MB = 1_000_000
_START_S = 3.0  # that a crowd's process may take beside its time
_DEFECTS = ("Traceback", "violation ")  # in a log


@dataclass(slots=True)
class CrowdReport:
    """What one play has shown."""

    kinds: Sequence[str]
    peak: Usage
    descriptors: int
    testimony: Testimony
    connections: int = 0  # that the crowds have made
    broken: list[str] = field(default_factory=list)


async def run_crowd(
    address: Address, kind: str, seconds: float, seed: int, connections: int | None = None
) -> int:
    """Run a crowd in a process of its own; return how many connections it made.

    `connections`: kept busy at a time; None for the usual number of its kind.
    """
    host, port = address
    count = () if connections is None else ("--connections", str(connections))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "testbed.crowds.clients", kind, host, str(port), str(seconds), "--seed", str(seed)),
        *count,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(seconds + 10 * _START_S):
            out, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return int(json.loads(out.splitlines()[-1])["connections"])


async def play_crowds(
    folder: Path,
    kinds: Sequence[str],
    seconds: float,
    seed: int = 1,
    memory_mb: float = MEMORY_MB,
    descriptors: int = DESCRIPTORS,
    upgrades: bool = False,
) -> CrowdReport:
    """Play these crowds at once, and report what became of the sidecar and of its sound clients.

    `upgrades`: replace its process meanwhile; what both hold counts together.
    """
    async with LimitedSidecar(folder, memory_mb, descriptors) as sidecar:
        witness = Witness(sidecar.address)
        async with MemoryWatch([sidecar.pid]) as watch:
            witness.start([HTTP, MSGPACK_RPC])
            crowds = [
                run_crowd(sidecar.address, kind, seconds, seed + number) for number, kind in enumerate(kinds)
            ]
            made = asyncio.gather(*crowds)
            if upgrades:
                await asyncio.sleep(seconds / 3)
                await _upgrade(sidecar, watch)
            counts = await made
            await witness.stop()
        report = CrowdReport(kinds, watch.peak, watch.descriptors_max, witness.testimony, sum(counts))
        report.broken += _broken(sidecar, report)
    return report


async def _upgrade(sidecar: LimitedSidecar, watch: MemoryWatch) -> None:
    upgrade = asyncio.create_task(sidecar.upgrade())
    while len(watch.pids) == 1 and not upgrade.done():
        await asyncio.sleep(0.01)
        if sidecar.pid not in watch.pids:
            watch.pids.append(sidecar.pid)
    await upgrade


def _broken(sidecar: LimitedSidecar, report: CrowdReport) -> list[str]:
    broken = list(report.testimony.broken)
    if sidecar.process is not None and sidecar.process.returncode is not None:
        broken.append(f"the process has ended with {sidecar.process.returncode}")
    if report.peak.total_bytes > sidecar.memory_mb * BYTES_PER_MB:
        broken.append(f"{report.peak.total_bytes / BYTES_PER_MB:.1f} MB of {sidecar.memory_mb}")
    if report.descriptors > sidecar.descriptors:
        broken.append(f"{report.descriptors} descriptors of {sidecar.descriptors}")
    log = sidecar.log_path.read_text(encoding="utf-8", errors="replace")
    broken += [f"log: {line}" for line in log.splitlines() if any(defect in line for defect in _DEFECTS)][:5]
    return broken
