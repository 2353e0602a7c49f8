"""The demonstration's clients: calls over both protocols at a constant rate, with counted outcomes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from testbed.clients import Client, ClientCall, new_client
from testbed.demo.fleet import PROTOCOLS
from testbed.wire import HTTP, MSGPACK_RPC, Address

REQUEST_CLASSES, CLASS_WEIGHTS = ("check", "amend", "lodge"), (6, 1, 3)
RATE = 700  # calls per second, both protocols together
DEADLINE_S = 2.0
RPC_CONNECTIONS = 2  # shared by all MessagePack-RPC clients
HTTP_CONNECTIONS = 64  # initial connections; more are opened on demand


class DemoClients:
    """Starts calls that alternate between the protocols."""

    def __init__(self, target: Address, seed: int) -> None:
        self._random = random.Random(seed)
        self._target = target
        self._clients: dict[str, list[Client]] = {
            HTTP: [new_client(HTTP, target) for _ in range(HTTP_CONNECTIONS)],
            MSGPACK_RPC: [new_client(MSGPACK_RPC, target) for _ in range(RPC_CONNECTIONS)],
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self.outcomes: Counter[tuple[str, str, str]] = Counter()  # calls by protocol, class and outcome
        self.protocol_and_class: dict[str, tuple[str, str]] = {}  # by request id
        self.count = 0

    async def run(self, seconds: float) -> None:
        """Start calls at the configured rate for a duration, then wait until all have completed."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + seconds:
            self._start_call()
            await asyncio.sleep(max(started_at + self.count / RATE - loop.time(), 0))
        await asyncio.gather(*self._tasks)

    def _start_call(self) -> None:
        self.count += 1
        protocol = PROTOCOLS[self.count % 2]
        request_class = self._random.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        request_id = f"{protocol[0]}{self.count:07x}"
        key = f"key-{request_id}" if request_class == "amend" else None
        body = b"" if request_class == "check" else b"declaration " + request_id.encode()
        self.protocol_and_class[request_id] = (protocol, request_class)
        path = f"/api/{self._random.getrandbits(64):016x}"
        call = ClientCall(request_class, request_id, path, body, DEADLINE_S, None, key)
        task = asyncio.get_running_loop().create_task(self._call(protocol, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, protocol: str, call: ClientCall) -> None:
        clients = self._clients[protocol]
        if protocol == HTTP:  # one call at a time on a connection
            client = clients.pop() if clients else new_client(HTTP, self._target)
        else:
            client = clients[int(call.request_id[1:], 16) // 2 % len(clients)]
        result = await client.call(call)
        if protocol == HTTP:
            clients.append(client)
        self.outcomes[protocol, call.request_class, result.outcome] += 1

    def close(self) -> None:
        """Close all connections."""
        for clients in self._clients.values():
            for client in clients:
                client.close()
