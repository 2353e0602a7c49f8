"""Starts the project's sidecar by the command of the deploy file, with settings of a small deployment."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def free_port(host: str = HOST) -> int:
    """Return a port that nothing listens on now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def settings() -> dict[str, Any]:
    """The settings of port-of-spain-lodge, as the page on the simulator's wire prints them."""
    return {
        "bounds": {
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 40000,
            "dialTimeoutUs": 250000,
            "idleCloseUs": 60000000,
            "maxOpen": 20000,
            "maxRetryAfterUs": 2000000,
            "mayCancel": True,
            "mayTell": False,
            "probing": True,
            "retryAfter": True,
            "secondCopies": False,
            "sendCap": 3,
            "streamsPerConn": 1,
        },
        "clientHabits": {"marksRetry": True},
        "discovery": "on_request",
        "domain": {"warmKeys": False},
        "family": "mesh",
        "goal": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
        "groupSize": 3,
        "guarantees": {
            "answerSlackUs": 20000,
            "askWithinUs": 10000000,
            "coldFrom": 0.14,
            "coldUs": 22000000,
            "drainGraceUs": 500000,
            "fallMultiple": 3.0,
            "fallUs": 2000000,
        },
        "kinds": ["fast-single", "plain-single", "slow-dual"],
        "lanes": [
            {
                "giveUpUs": 3000000,
                "group": "all",
                "lateValue": 0.25,
                "memorySpanUs": 5000000,
                "name": "check",
                "promiseUs": 750000,
                "repeat": "read_like",
                "streaming": False,
                "worth": 1.0,
            },
            {
                "giveUpUs": 2000000,
                "group": "cell",
                "lateValue": 0.25,
                "memorySpanUs": 2000000,
                "name": "amend",
                "promiseUs": 600000,
                "repeat": "idempotency_key",
                "streaming": False,
                "worth": 3.0,
            },
            {
                "giveUpUs": 4000000,
                "group": "all",
                "lateValue": 0.25,
                "memorySpanUs": 5000000,
                "name": "lodge",
                "promiseUs": 1200000,
                "repeat": "non_idempotent",
                "streaming": False,
                "worth": 10.0,
            },
        ],
        "layers": ["lodge-fleet"],
        "me": 0,
        "overShareWorth": 0.1,
        "prices": {
            "connection": 0.0,
            "crossZone": 0.03,
            "discovery": 0.0,
            "handshake": 0.0,
            "lateFail": 0.05,
            "moves": 0.0,
            "origin": 0.0,
            "peer": 0.01,
            "probe": 0.05,
            "waste": 0.02,
        },
        "quantumUs": 5000,
        "realms": [],
        "report": {"columns": ["qps", "util"], "source": "piggyback"},
        "tier": 0,
        "weights": "silent",
        "worthBy": "request",
        "zone": "couva",
        "zones": ["couva"],
    }


class Record:
    """What was sent, answered and run, with the seconds since the start; written to record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


class Sidecar:
    """One sidecar at one client address; it may have two processes during an upgrade."""

    def __init__(self, record: Record, discovery: tuple[str, int], **changes: Any) -> None:
        self.record = record
        self.listen = (HOST, free_port())
        self.processes: list[asyncio.subprocess.Process] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.operator_file: Path | None = None  # in place of the deploy file's
        (self.folder / "tmp").mkdir()
        self.config = {
            "name": "n0",
            "listen": f"{self.listen[0]}:{self.listen[1]}",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": settings(),
        } | changes
        self.write_config()

    def write_config(self) -> None:
        """Replace the configuration file."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.folder / "config.json")

    async def start(self, operator: tuple[str, int] | None = None) -> asyncio.subprocess.Process:
        """Start `run` of the deploy file once, with `operator` as the operators' address."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        if self.operator_file is not None:
            run = run.replace("deploy/operator.toml", str(self.operator_file))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment |= {
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        if operator is not None:
            environment["RELAY_OPERATOR"] = f"{operator[0]}:{operator[1]}"
        with (self.folder / "log.txt").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record(f"platform: started process {len(self.processes)} of the sidecar")
        return process

    async def is_ready(self) -> bool:
        """Ask GET /health/ready on a connection of its own; whether it answered 200."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 200")

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait for the first yes; raise TimeoutError without one."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self.record("platform: /health/ready says yes")

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.record(f"platform: {number.name} to process {self.processes.index(process) + 1}")
        process.send_signal(number)

    async def end(self) -> None:
        """End all processes, and copy the log's last lines to the record."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for line in (
            (self.folder / "log.txt").read_text(encoding="utf-8", errors="replace").splitlines()[-60:]
        ):
            self.record(f"log: {line}")
        self._folder.cleanup()


async def operator_call(address: tuple[str, int], command: str) -> str:
    """Make one call at the operators' address; return its answer, "" without one."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(command.encode() + b"\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return ""
    return line.decode().strip()
