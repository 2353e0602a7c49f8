"""Large bodies that clients write slowly are kept in $TMPDIR, which counts as memory, until the sidecar is killed."""

from __future__ import annotations

import asyncio
import os
import signal
import stat
import time
from pathlib import Path

from review.standin.case import run_case
from review.standin.fleet import Discovery, Runs, Server, read_message, request
from review.standin.platform import Record, Sidecar

SERVERS = 4
MEMORY_MB = 192  # the most that the pages name
CLIENTS = 10
BODY_BYTES = 30_000_000  # the pages name up to 32 MB
SMALL_BODY_BYTES = 1_000_000
FAST_BYTES_PER_S = 8_000_000.0  # until the last part of a body
SLOW_BYTES_PER_S = 200_000.0  # three times the slowest pace that the pages name
SLOW_PART_BYTES = 3_000_000
PIECE_BYTES = 50_000
BUDGET_S = 4.0
WATCHED_S = 35.0


def memory_bytes(process: int, folder: Path) -> tuple[int, int]:
    """What the platform counts: the process's resident memory, and the files that it holds in $TMPDIR."""
    resident = int(Path(f"/proc/{process}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    files: dict[tuple[int, int], int] = {}
    opened = [Path(f"/proc/{process}/fd") / name for name in os.listdir(f"/proc/{process}/fd")]
    for path in [*opened, *folder.rglob("*")]:
        try:
            if path in opened and not os.readlink(path).startswith(str(folder)):
                continue
            status = path.stat()
        except OSError:
            continue  # closed meanwhile
        if stat.S_ISREG(status.st_mode):
            files[status.st_dev, status.st_ino] = status.st_blocks * 512
    return resident, sum(files.values())


async def platform(sidecar: Sidecar, record: Record, process: asyncio.subprocess.Process) -> list[str]:
    """Count the sidecar's memory; kill it if that goes over the limit, as the platform does."""
    folder = (sidecar.folder / "tmp").resolve()
    highest, ends_at = 0, time.monotonic() + WATCHED_S
    while time.monotonic() < ends_at and process.returncode is None:
        resident, files = memory_bytes(process.pid, folder)
        if resident + files > highest + 5_000_000:
            highest = resident + files
            record(f"platform: memory {resident / 1e6:.0f} MB, files in $TMPDIR {files / 1e6:.0f} MB")
        if resident + files > MEMORY_MB * 1024 * 1024:
            sidecar.signal(process, signal.SIGKILL)
            said = f"{resident / 1e6:.0f} MB and {files / 1e6:.0f} MB of files in $TMPDIR"
            return [f"over memory_mb = {MEMORY_MB}, killed: {said}"]
        await asyncio.sleep(0.1)
    return [] if process.returncode is None else [f"the sidecar ended by itself: {process.returncode}"]


async def client(number: int, sidecar: Sidecar, record: Record, size: int) -> None:
    """Send one `lodge` with a large body, its last part slowly; read the answer."""
    call_id = f"lodge-{number}"
    data = request(call_id, "lodge", BUDGET_S, bytes([65 + number]) * size)
    started_at = asyncio.get_running_loop().time()
    try:
        reader, writer = await asyncio.open_connection(*sidecar.listen)
        due_s = 0.0
        for start in range(0, len(data), PIECE_BYTES):
            slow = start > len(data) - SLOW_PART_BYTES
            writer.write(data[start : start + PIECE_BYTES])
            await writer.drain()
            due_s += PIECE_BYTES / (SLOW_BYTES_PER_S if slow else FAST_BYTES_PER_S)
            await asyncio.sleep(started_at + due_s - asyncio.get_running_loop().time())
        record(f"client: {call_id}: all of {len(data)} bytes written")
        answer = await read_message(reader)
        record(f"client: {call_id}: answered {answer.status}")
        writer.close()
    except (asyncio.IncompleteReadError, OSError) as error:
        record(f"client: {call_id}: connection ended: {error!r}")


async def case(record: Record, trouble: bool) -> list[str]:
    """Return how the sidecar crashed."""
    runs = Runs()
    discovery = Discovery(record)
    await discovery.start()
    for number in range(SERVERS):
        server = Server(f"node-{number}", record, runs, lambda message: 0.05)
        await server.start()
        discovery.put(server.entry())
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    sidecar = Sidecar(record, discovery.address, limits=limits)
    try:
        process = await sidecar.start()
        await sidecar.wait_ready()
        await asyncio.sleep(1.0)
        watching = asyncio.create_task(platform(sidecar, record, process))
        size = BODY_BYTES if trouble else SMALL_BODY_BYTES
        clients = [client(number, sidecar, record, size) for number in range(CLIENTS)]
        await asyncio.gather(*clients)
        broken = await watching
    finally:
        await sidecar.end()
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
