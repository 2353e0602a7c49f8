"""What a fleet's sidecars are asked and told, noted as it happens: the judge goes by these notes."""

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
IDLE_CONNECTIONS_MAX = 64  # of a sidecar's clients that are kept open between calls


def now() -> float:
    return time.monotonic()  # as event loops count, and the same in all processes of the machine


class LoadGenerator:
    """The clients of some sidecars; every call and what came of it is noted."""

    def __init__(self, chance: random.Random, prefix: str = "c", protocols: Sequence[str] = (HTTP,)) -> None:
        """`prefix`: of the calls' ids, so that several processes' do not meet; `protocols`: spoken by turns."""
        self._protocols = protocols
        self.calls: list[CallRecord] = []
        self._random = chance
        self._prefix = prefix
        self._callers: dict[int, list[Client]] = defaultdict(list)  # at rest, CLIENT_CONNECTIONS each
        self._out: set[asyncio.Task[None]] = set()

    async def load(
        self,
        rate: float,
        over: asyncio.Event,
        there: Callable[[], Sequence[int]],
        address: Callable[[int], Address],
    ) -> None:
        """Calls at a steady rate whatever comes of them, spread over the sidecars that are there."""
        began, count = now(), 0
        while not over.is_set():
            sidecars = there()
            if sidecars:
                number = self._random.choice(sidecars)
                self._one(number, address(number))
            count += 1
            await asyncio.sleep(max(began + count / rate - now(), 0))
        await asyncio.gather(*self._out)

    def _one(self, number: int, address: Address) -> None:
        kind = self._random.choices(REQUEST_CLASSES, CLASS_WEIGHTS)[0]
        ident = f"{self._prefix}-{len(self.calls):06}"
        key = f"key-{ident}" if kind == "amend" else None
        called = CallRecord(ident, kind, key, now(), DEADLINES_S[kind], sidecar=number)
        self.calls.append(called)
        body = b"" if kind == "check" else b"declaration"
        path = f"/api/{self._random.getrandbits(64):016x}"
        wish = ClientCall(kind, ident, path, body, called.budget_s, None, key)
        task = asyncio.get_running_loop().create_task(self._call(number, address, called, wish))
        self._out.add(task)
        task.add_done_callback(self._out.discard)

    async def _call(self, number: int, address: Address, called: CallRecord, wish: ClientCall) -> None:
        callers = self._callers[number]
        one = callers.pop() if callers else new_client(self._random.choice(self._protocols), address)
        got = await one.call(wish)
        called.verdict, called.body, called.answered_at = got.verdict, got.body, now()
        callers = self._callers[number]
        if len(callers) < IDLE_CONNECTIONS_MAX:
            callers.insert(self._random.randint(0, len(callers)), one)  # protocols stay mixed
        else:
            one.close()

    def leave(self, number: int) -> None:
        """Close the connections to a sidecar that are at rest."""
        for each in self._callers.pop(number, []):
            each.close()

    def stop(self) -> None:
        for task in self._out:
            task.cancel()
        for number in list(self._callers):
            self.leave(number)


class EndpointNoticeLog:
    """What each sidecar was told of nodes, and when."""

    def __init__(self, everyone: Callable[[], set[str]]) -> None:
        """`everyone`: the names of all nodes that there are, also those that a list leaves out."""
        self.words: list[EndpointNotice] = []
        self._everyone = everyone

    def overhear(self, wiring: Components, number: int) -> Components:
        """The same wiring, with its source's words noted as the sidecar's of this number."""

        def source(config: SidecarConfig, told: Callable[[EndpointList | None], None]) -> Any:
            def hear(what: EndpointList | None) -> None:
                if what is not None:
                    self.hear(number, what)
                told(what)

            return made(config, hear)

        made = wiring.endpoint_source
        return replace(wiring, endpoint_source=source)

    def hear(self, number: int, told: EndpointList) -> None:
        at, said = now(), set()
        for line in told.entries:
            said.add(line.server.name)
            self.words.append(
                EndpointNotice(at, number, line.server.name, line.server.state is ServerState.READY)
            )
        if told.complete:
            self.words += [EndpointNotice(at, number, name, False) for name in self._everyone() - said]
