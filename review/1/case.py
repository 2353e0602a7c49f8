"""A MessagePack-RPC client that reads large answers at 2 MB a second loses calls whose lodges have run."""

from __future__ import annotations

import asyncio
import random
import socket
import threading
import time
from pathlib import Path

import msgpack

from review.standin.case import run_case
from review.standin.fleet import Discovery, Message, Runs, Server
from review.standin.platform import Record, Sidecar

SERVERS = 6
CALLS = 120  # in progress at once on one connection
ANSWER_BYTES = 60_000  # under the 64 KiB of the protocol page
BUDGET_S = 4.0
BYTES_PER_S = (
    2_000_000.0  # of the slow reader: thirty times the 64 kB a second that the pages name for a body
)
PIECE_BYTES = 16_384
SILENCE_S = 15.0  # after this the client gives up on the connection


class Client(threading.Thread):
    """A desk tool: one connection, calls sent at once, answers read steadily in a thread of its own."""

    def __init__(self, address: tuple[str, int], record: Record, bytes_per_s: float | None) -> None:
        super().__init__(daemon=True)
        self.answers: dict[int, str] = {}
        self.ended = ""  # how the sidecar ended the connection; "": it did not
        self._address = address
        self._record = record
        self._bytes_per_s = bytes_per_s

    def run(self) -> None:
        """Send all calls, then read until each has its answer or the connection ends."""
        unpacker = msgpack.Unpacker(max_buffer_size=1 << 28)
        received, started = 0, time.monotonic()
        with socket.create_connection(self._address) as sock:
            sock.settimeout(SILENCE_S)
            for number in range(CALLS):
                envelope = {"id": f"lodge-{number}", "budget": BUDGET_S}
                sock.sendall(msgpack.packb([0, number, "lodge", [envelope, b"declaration"]]))
            self._record(f"client: sent {CALLS} calls on one connection")
            while len(self.answers) < CALLS:
                try:
                    data = sock.recv(PIECE_BYTES)
                except OSError as error:
                    self.ended = repr(error)
                    break
                if not data:
                    self.ended = "end of the connection"
                    break
                received += len(data)
                unpacker.feed(data)
                for _, number, error, _ in unpacker:
                    self.answers[number] = "served" if error is None else f"error {error[0]}"
                    self._record(f"client: lodge-{number}: {self.answers[number]}")
                if self._bytes_per_s is not None:
                    time.sleep(max(0.0, started + received / self._bytes_per_s - time.monotonic()))
        seconds = time.monotonic() - started
        self._record(f"client: read {received} bytes in {seconds:.2f} s; connection: {self.ended or 'open'}")


async def case(record: Record, trouble: bool) -> list[str]:
    """Return the calls that the sidecar took and never answered."""
    chance = random.Random(1)
    runs = Runs()
    discovery = Discovery(record)
    await discovery.start()

    def work_s(message: Message) -> float:
        return chance.uniform(0.05, 0.6)

    for number in range(SERVERS):
        server = Server(f"node-{number}", record, runs, work_s, lambda name, message: b"r" * ANSWER_BYTES)
        await server.start()
        discovery.put(server.entry(group=number // 3))
    sidecar = Sidecar(record, discovery.address)
    try:
        await sidecar.start()
        await sidecar.wait_ready()
        await asyncio.sleep(1.0)
        client = Client(sidecar.listen, record, BYTES_PER_S if trouble else None)
        client.start()
        while client.is_alive():
            await asyncio.sleep(0.05)
    finally:
        await sidecar.end()
    if not client.answers:
        raise RuntimeError("no call was answered at all")
    if not client.ended:
        return []
    return [
        f"lodge-{number} was taken, ran {len(runs.of(f'lodge-{number}'))} times and was never answered: {client.ended}"
        for number in range(CALLS)
        if number not in client.answers
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
