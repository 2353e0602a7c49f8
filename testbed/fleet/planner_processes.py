"""Planners as processes of their own, which can be stopped and killed."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
from pathlib import Path

from testbed.fleet.child_process import ROOT
from testbed.ports import free_addresses, private_loopback_host
from testbed.wire import Address, format_address
from topazbank.plan import fetch_planner_status


class PlannerProcesses:
    """Planner processes, by number; the lowest rank that runs leads."""

    def __init__(self, count: int, registry: Address, folder: Path) -> None:
        self.addresses = free_addresses(private_loopback_host(), count)
        self._registry = registry
        self._folder = folder
        self._processes: list[subprocess.Popen[str] | None] = [None] * count

    def start(self, number: int) -> None:
        """Start a planner's process."""
        path = self._folder / f"planner-{number}.toml"
        path.write_text(
            f'[planning]\nlisten = "{format_address(self.addresses[number])}"\nelect = "static"\nrank = {number}\n',
            encoding="utf-8",
        )
        command = [sys.executable, "-m", "topazbank.planning.server", "--operator", str(path)]
        command += ["--registry", format_address(self._registry), "--name", f"p-{number}"]
        quiet = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
        self._processes[number] = subprocess.Popen(command, cwd=ROOT, text=True, **quiet)  # type: ignore[call-overload]

    def send(self, number: int, what: signal.Signals) -> None:
        """Send a signal to a planner's process, if it runs."""
        process = self._processes[number]
        if process is not None:
            process.send_signal(what)

    def kill(self, number: int) -> None:
        """Kill a planner's process, if it runs."""
        process, self._processes[number] = self._processes[number], None
        if process is not None:
            process.kill()  # ends a stopped process too
            process.wait()

    def stop(self) -> None:
        """Kill all planners' processes."""
        for number in range(len(self._processes)):
            self.kill(number)

    async def leader(self) -> int | None:
        """Return the planner that leads with the highest epoch, out of those that answer, or None."""
        epochs: dict[int, int] = {}
        for number, process in enumerate(self._processes):
            if process is None:
                continue
            with contextlib.suppress(OSError, ValueError):
                status = await asyncio.to_thread(fetch_planner_status, self.addresses[number])
                if status["epoch"] is not None:
                    epochs[number] = status["epoch"]
        return max(epochs, key=epochs.__getitem__) if epochs else None
