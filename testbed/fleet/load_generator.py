"""The load on a fleet's sidecars and the endpoint updates they get, recorded as they happen for the invariants."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from testbed.clients import Client, ClientCall, new_client
from testbed.fleet.invariants import CallRecord, EndpointNotice
from testbed.wire import HTTP, Address
from topazbank.balancing.events import ServerState
from topazbank.core.components import Components, SidecarConfig
from topazbank.core.endpoint_source import EndpointList

REQUEST_CLASSES, CLASS_WEIGHTS = ("check", "amend", "lodge"), (6, 1, 3)
DEADLINES_S = {"check": 2.0, "amend": 2.0, "lodge": 2.5}
IDLE_CONNECTIONS_MAX = 64  # kept open between calls, for each sidecar


def now() -> float:
    """Return the monotonic time in seconds: event loops use it too, and all processes of a machine share it."""
    return time.monotonic()


class LoadGenerator:
    """The clients of some sidecars; each call and its result are recorded."""

    def __init__(self, chance: random.Random, prefix: str = "c", protocols: Sequence[str] = (HTTP,)) -> None:
        """`prefix`: of the requests' ids, so that those of several processes differ; `protocols`: drawn by chance."""
        self._protocols = protocols
        self.resends_unread = False  # whether clients send again if a new connection ends without an answer
        self.calls: list[CallRecord] = []
        self._random = chance
        self._prefix = prefix
        self._idle_clients: dict[int, list[Client]] = defaultdict(list)  # by sidecar
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        rate: float,
        over: asyncio.Event,
        running_sidecars: Callable[[], Sequence[int]],
        address: Callable[[int], Address],
    ) -> None:
        """Start calls at a steady rate until `over`, whatever their results; then wait for the last ones.

        `rate`: calls a second over all the running sidecars; `address`: where the sidecar of a number listens.
        """
        started_at, count = now(), 0
        while not over.is_set():
            sidecars = running_sidecars()
            if sidecars:
                number = self._random.choice(sidecars)
                self._start_call(number, address(number))
            count += 1
            await asyncio.sleep(max(started_at + count / rate - now(), 0))
        await asyncio.gather(*self._tasks)

    def _start_call(self, number: int, address: Address) -> None:
        request_class = self._random.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        request_id = f"{self._prefix}-{len(self.calls):06}"
        key = f"key-{request_id}" if request_class == "amend" else None
        record = CallRecord(request_id, request_class, key, now(), DEADLINES_S[request_class], sidecar=number)
        self.calls.append(record)
        body = b"" if request_class == "check" else b"declaration"
        path = f"/api/{self._random.getrandbits(64):016x}"
        call = ClientCall(request_class, request_id, path, body, record.deadline_s, None, key)
        task = asyncio.get_running_loop().create_task(self._call(number, address, record, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, number: int, address: Address, record: CallRecord, call: ClientCall) -> None:
        idle = self._idle_clients[number]
        client = idle.pop() if idle else self._new_client(address)
        result = await client.call(call)
        record.outcome, record.body, record.answered_at = result.outcome, result.body, now()
        record.reason, record.shut_unread = result.reason, result.shut_unread
        idle = self._idle_clients[number]  # another list if `close_idle` ran meanwhile
        if len(idle) < IDLE_CONNECTIONS_MAX:
            idle.insert(self._random.randint(0, len(idle)), client)  # at random: protocols stay mixed
        else:
            client.close()

    def _new_client(self, address: Address) -> Client:
        return new_client(self._random.choice(self._protocols), address, self.resends_unread)

    def close_idle(self, number: int) -> None:
        """Close the idle connections to a sidecar."""
        for client in self._idle_clients.pop(number, []):
            client.close()

    def stop(self) -> None:
        """Cancel the calls in flight and close all idle connections."""
        for task in self._tasks:
            task.cancel()
        for number in list(self._idle_clients):
            self.close_idle(number)


class EndpointNoticeLog:
    """What each sidecar was notified of backends, and when."""

    def __init__(self, all_names: Callable[[], set[str]]) -> None:
        """`all_names`: the names of all backends that exist, also of those that a list leaves out."""
        self.notices: list[EndpointNotice] = []
        self._all_names = all_names

    def observe(self, components: Components, number: int) -> Components:
        """Return the same components, with the updates of their endpoint source recorded for this sidecar."""

        def observed_source(config: SidecarConfig, notify: Callable[[EndpointList | None], None]) -> Any:
            def record_and_notify(update: EndpointList | None) -> None:
                if update is not None:
                    self.record(number, update)
                notify(update)

            return original_source(config, record_and_notify)

        original_source = components.endpoint_source
        return replace(components, endpoint_source=observed_source)

    def record(self, number: int, update: EndpointList) -> None:
        """Record an update that the sidecar of this number got now."""
        at, listed = now(), set()
        for entry in update.entries:
            listed.add(entry.server.name)
            is_ready = entry.server.state is ServerState.READY
            self.notices.append(EndpointNotice(at, number, entry.server.name, is_ready))
        if update.complete:
            missing = self._all_names() - listed
            self.notices += [EndpointNotice(at, number, name, False) for name in missing]
