"""Large bodies that come slowly: what the sidecar holds of them, in memory and in $TMPDIR, against its memory limit."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin2"))

from kit import (
    Case,
    Registry,
    Server,
    Sidecar,
    free_port,
    new_id,
    now,
    play_case,
    read_answer,
    request_head,
    sidecar_config,
)

CLIENTS = 12
LARGE_BYTES = 32 * 1024 * 1024  # the largest body that the pages name
SMALL_BYTES = 64 * 1024  # the largest of an ordinary day
LARGE_S = 32.0  # 1 MB a second, sixteen times the slowest pace that the pages name
SMALL_S = 0.5
PIECES = 128
AMEND_S = 2.0
CHECKS_PER_S = 20.0
MEMORY_MB = 192
MIB = 1024 * 1024
PLATFORM_INTERVAL_S = 0.1


def held_bytes(sidecar: Sidecar) -> tuple[int, int]:
    """Return what the process has in memory of its own, and the space of its files in $TMPDIR, with or without a name.

    Pages that it shares with other programs, such as those of libraries, are not counted.
    """
    process = Path(f"/proc/{sidecar.pid}")
    memory = 0
    files: dict[int, int] = {}
    try:
        for line in (process / "status").read_text().splitlines():
            if line.startswith(("RssAnon:", "RssShmem:")):
                memory += int(line.split()[1]) * 1024
        for descriptor in (process / "fd").iterdir():
            try:
                if os.readlink(descriptor).startswith(str(sidecar.tmpdir)):
                    status = descriptor.stat()
                    files[status.st_ino] = status.st_blocks * 512
            except OSError:
                continue  # closed meanwhile
        for path in sidecar.tmpdir.rglob("*"):
            status = path.lstat()
            files[status.st_ino] = status.st_blocks * 512
    except OSError:
        pass  # the process has ended
    return memory, sum(files.values())


async def upload(case: Case, sidecar: Sidecar, size: int, seconds: float) -> int:
    """Send an amend with a large body in pieces, and return the status of its answer."""
    ident = new_id("amend-")
    reader, writer = await asyncio.open_connection(*sidecar.address)
    writer.write(request_head("amend", ident, AMEND_S, size))
    started_at, sent = now(), 0
    for piece in range(1, PIECES + 1):
        upto = size * piece // PIECES
        writer.write(b"x" * (upto - sent))
        sent = upto
        await writer.drain()
        await asyncio.sleep(max(started_at + seconds * piece / PIECES - now(), 0))
    case.record(f"client: {ident} sent, {size} bytes")
    answer = await read_answer(reader)
    case.record(f"client: {ident} answered {answer.status}")
    writer.close()
    return answer.status


async def checks(case: Case, sidecar: Sidecar) -> None:
    """Send small requests one after another on a kept connection, as long as that lasts."""
    reader, writer = await asyncio.open_connection(*sidecar.address)
    while True:
        ident = new_id("check-")
        writer.write(request_head("check", ident, 3.0))
        try:
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            case.record(f"client: {ident} got no answer: {error!r}")
            return
        case.record(f"client: {ident} answered {answer.status}")
        await asyncio.sleep(1 / CHECKS_PER_S)


async def play(case: Case) -> None:
    """Upload, and watch the memory as the platform does."""
    servers = [Server(f"s{number}", case.record, group=1 + number // 4) for number in range(8)]
    for server in servers:
        await server.start()
    registry = Registry(servers, case.record)
    await registry.start()
    sidecar = case.sidecar(sidecar_config(free_port(), registry.address, registry.snapshot()))
    sidecar.start()
    await sidecar.wait_ready()
    size, seconds = (LARGE_BYTES, LARGE_S) if case.trouble else (SMALL_BYTES, SMALL_S)
    uploads = [asyncio.create_task(upload(case, sidecar, size, seconds)) for _ in range(CLIENTS)]
    checking = asyncio.create_task(checks(case, sidecar))
    most = logged_at = 0.0
    while not all(task.done() for task in uploads):
        await asyncio.sleep(PLATFORM_INTERVAL_S)
        memory, files = held_bytes(sidecar)
        most = max(most, (memory + files) / MIB)
        if now() >= logged_at + 1.0:
            logged_at = now()
            case.record(
                f"platform: {memory / MIB:.1f} MiB in memory, {files / MIB:.1f} MiB in files of $TMPDIR"
            )
        if memory + files > MEMORY_MB * MIB:
            case.broke(
                f"crash: {memory / MIB:.1f} MiB in memory and {files / MIB:.1f} MiB in files of $TMPDIR are over "
                f"memory_mb = {MEMORY_MB}; the platform kills the sidecar"
            )
            sidecar.end()
            break
        if sidecar.has_ended():
            case.broke("crash: the sidecar has ended")
            break
    if case.broken:
        await asyncio.wait([checking], timeout=2.0)
    checking.cancel()
    results = await asyncio.gather(*uploads, return_exceptions=True)
    case.record(f"most held: {most:.1f} MiB; uploads: {', '.join(map(str, results))}")


if __name__ == "__main__":
    sys.exit(play_case(Path(__file__).parent, play))
