"""Watches what the processes of one sidecar hold together, as the platform counts it."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

_INTERVAL_S = 0.05
_BYTES_PER_KIB = 1024
_BLOCK_BYTES = 512  # unit of st_blocks
_DELETED = " (deleted)"  # the kernel's mark of an open file without a name


@dataclass(frozen=True, slots=True)
class Usage:
    """What processes hold at one time."""

    resident_bytes: int = 0
    file_bytes: int = 0
    descriptors: int = 0

    @property
    def total_bytes(self) -> int:
        """Memory and files together: the platform counts files as memory."""
        return self.resident_bytes + self.file_bytes


def usage(pids: Iterable[int]) -> Usage:
    """Return what processes hold now; one that has ended holds nothing."""
    resident, descriptors = 0, 0
    files: dict[int, int] = {}
    for pid in pids:
        process = Path(f"/proc/{pid}")
        with contextlib.suppress(OSError):
            resident += _resident_bytes(process)
            for descriptor in (process / "fd").iterdir():
                descriptors += 1
                with contextlib.suppress(OSError):  # closed meanwhile
                    if os.readlink(descriptor).endswith(_DELETED):
                        status = descriptor.stat()
                        files[status.st_ino] = status.st_blocks * _BLOCK_BYTES
    return Usage(resident, sum(files.values()), descriptors)


def _resident_bytes(process: Path) -> int:
    for line in (process / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _BYTES_PER_KIB
    return 0


class MemoryWatch:
    """Samples the usage of processes while it is entered."""

    def __init__(self, pids: list[int]) -> None:
        self.pids = pids  # may grow while it watches
        self.peak = Usage()  # the one with the most memory
        self.descriptors_max = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> MemoryWatch:
        self._task = asyncio.get_running_loop().create_task(self._sample())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _sample(self) -> None:
        while True:
            now = usage(self.pids)
            self.peak = max(self.peak, now, key=lambda each: each.total_bytes)
            self.descriptors_max = max(self.descriptors_max, now.descriptors)
            await asyncio.sleep(_INTERVAL_S)
