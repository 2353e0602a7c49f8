"""A client over MessagePack-RPC that reads its answers slowly, and sends further calls meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgpack

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
    sidecar_config,
)

CHECKS = 120  # at once; the sidecar's own page allows 128 in progress
ANSWER_BYTES = 60_000  # under the 64 KiB of the pages
READ_BYTES_PER_S = 200_000  # three times the slowest pace that the pages name
RECEIVE_BUFFER_BYTES = 64 * 1024
LODGES = 5
LODGE_S = 1.4  # 35 % of the class's time, within the site's 34 to 100 %
LODGES_AT_S = 1.0
INTERVAL_S = 0.2
SLACK_S = 0.05 + 0.15  # what the pages add to each time, and how long a sidecar may be held up before a write
LIMIT_S = 80.0


@dataclass
class Call:
    """A call of the client."""

    ident: str
    name: str
    budget_s: float
    sent_at: float
    answered_at: float | None = None


async def answer(server: Server, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Answer a check with a long body, a lodge with a short one."""
    await asyncio.sleep(server.work_s)
    length = ANSWER_BYTES if request.headers["x-call-class"] == "check" else 20
    server.reply(request, writer, b"x" * length)


class Client:
    """A client with one connection over MessagePack-RPC."""

    def __init__(self, case: Case, sidecar: Sidecar) -> None:
        self.case = case
        self.sidecar = sidecar
        self.calls: list[Call] = []  # by message id

    async def connect(self) -> None:
        """Connect with a receive buffer of a stated size."""
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._sock, self.sidecar.address)

    async def send(self, name: str, budget_s: float, count: int = 1) -> None:
        """Send calls in one write."""
        data = b""
        for _ in range(count):
            call = Call(new_id(f"{name}-"), name, budget_s, now())
            envelope: dict[str, Any] = {"id": call.ident, "budget": budget_s}
            data += msgpack.packb([0, len(self.calls), name, [envelope]])
            self.calls.append(call)
        await asyncio.get_running_loop().sock_sendall(self._sock, data)
        for call in self.calls[-count:]:
            call.sent_at = now()
            self.case.record(f"client: {call.ident} sent, its time is {budget_s:.2f} s")

    async def read(self, bytes_per_s: float) -> None:
        """Read all answers at a pace."""
        unpacker = msgpack.Unpacker(raw=False)
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(self._sock, 16384):
            unpacker.feed(data)
            for _, msgid, error, _ in unpacker:
                call = self.calls[msgid]
                call.answered_at = now()
                status = 200 if error is None else error[0]
                self.case.record(f"client: {call.ident} answered {status} after {now() - call.sent_at:.2f} s")
            await asyncio.sleep(len(data) / bytes_per_s)


async def play(case: Case) -> None:
    """Ask for much, read slowly, and send lodges meanwhile."""
    servers = [Server(f"s{number}", case.record, group=1 + number // 4, work=answer) for number in range(8)]
    for server in servers:
        await server.start()
    registry = Registry(servers, case.record)
    await registry.start()
    sidecar = case.sidecar(sidecar_config(free_port(), registry.address, registry.snapshot()))
    sidecar.start()
    await sidecar.wait_ready()
    client = Client(case, sidecar)
    await client.connect()
    reading = asyncio.create_task(client.read(READ_BYTES_PER_S if case.trouble else 1e9))
    await client.send("check", 3.0, CHECKS)
    await asyncio.sleep(LODGES_AT_S)
    for _ in range(LODGES):
        await client.send("lodge", LODGE_S)
        await asyncio.sleep(INTERVAL_S)
    limit = now() + LIMIT_S
    lodges = [call for call in client.calls if call.name == "lodge"]
    while now() < limit and any(call.answered_at is None for call in lodges):
        await asyncio.sleep(0.05)
    reading.cancel()
    with contextlib.suppress(asyncio.CancelledError, OSError):
        await reading
    judge(case, servers, lodges)


def judge(case: Case, servers: list[Server], lodges: list[Call]) -> None:
    """Nothing is sent to a server for a call whose time is over, and no server is told more time than is left."""
    came = {arrival.ident: arrival for server in servers for arrival in server.arrivals}
    for call in lodges:
        arrival = came.get(call.ident)
        if arrival is None:
            continue
        over_s = arrival.at - call.sent_at - call.budget_s
        if over_s > SLACK_S:
            case.broke(
                f"lost: {call.ident} came to {arrival.server} {over_s:.2f} s after its time of {call.budget_s:.2f} s, "
                f"which was told that its client waits for {arrival.budget_s:.2f} s more"
            )


if __name__ == "__main__":
    sys.exit(play_case(Path(__file__).parent, play))
