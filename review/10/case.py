"""Answers without a length that stop on the way: the server hangs in the middle of its answer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin2"))

from kit import (
    Case,
    HttpMessage,
    Registry,
    Server,
    Sidecar,
    free_port,
    new_id,
    now,
    play_case,
    request_head,
    sidecar_config,
)

CLASSES = (("check", 3.0), ("amend", 2.0), ("lodge", 4.0))
REQUESTS = 5  # of each class
LATE_S = 0.5  # up to here an answer after its time earns nothing; later, or never, its request is lost
SLACK_S = 0.05


async def stop_on_the_way(server: Server, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Begin an answer in chunks, and never go on; the connection stays open."""
    await asyncio.sleep(server.work_s)
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
    server.record(f"server {server.name}: {request.id} half answered")


async def answer_whole(server: Server, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Give the same answer whole."""
    await asyncio.sleep(server.work_s)
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
    await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")
    server.record(f"server {server.name}: {request.id} answered")


async def ask(case: Case, sidecar: Sidecar, name: str, budget_s: float) -> None:
    """Send a request; its answer, or the end of the connection, has to come in time."""
    ident = new_id(f"{name}-")
    reader, writer = await asyncio.open_connection(*sidecar.address)
    writer.write(request_head(name, ident, budget_s))
    sent_at, received = now(), b""
    case.record(f"client: {ident} sent")
    try:
        async with asyncio.timeout(budget_s + LATE_S + SLACK_S):
            while not received.endswith(b"\r\n0\r\n\r\n"):
                data = await reader.read(65536)
                if not data:
                    break
                received += data
    except TimeoutError:
        case.broke(
            f"lost: {ident} has no final answer {now() - sent_at:.2f} s after it was sent, its time was "
            f"{budget_s:.2f} s; received so far: {received!r}, and the connection is open"
        )
    except OSError:
        pass
    case.record(f"client: {ident} received {len(received)} bytes, {now() - sent_at:.2f} s after it was sent")
    writer.close()


async def play(case: Case) -> None:
    """Send requests of each class on connections of their own."""
    work = stop_on_the_way if case.trouble else answer_whole
    servers = [Server(f"s{number}", case.record, group=1 + number // 4, work=work) for number in range(8)]
    for server in servers:
        await server.start()
    registry = Registry(servers, case.record)
    await registry.start()
    sidecar = case.sidecar(sidecar_config(free_port(), registry.address, registry.snapshot()))
    sidecar.start()
    await sidecar.wait_ready()
    await asyncio.gather(
        *(ask(case, sidecar, name, budget_s) for name, budget_s in CLASSES for _ in range(REQUESTS))
    )


if __name__ == "__main__":
    sys.exit(play_case(Path(__file__).parent, play))
