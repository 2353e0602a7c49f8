"""CombinedSource: a source that fails is retried at an interval while others respond."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from loopback import FakeDiscovery, answer, play, until
from test_discovery import entry

from topazbank.core.endpoint_source import EndpointList, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery import combined
from topazbank.discovery.combined import CombinedSource
from topazbank.discovery.registry import RegistrySource

RETRY_S = 0.2
FAILED_CALLS = 4


class IdleSource:
    """A connected source that publishes nothing."""

    def __init__(self, on_update: Callable[[EndpointList | None], None]) -> None: ...

    def watch(self, wanted: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return ()

    def source_of(self, name: str) -> str:
        return "idle"


@pytest.mark.parametrize("failure", [answer(503, b""), b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{"])
def test_a_failed_registry_is_retried_at_an_interval_while_another_source_is_connected(
    failure: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The registry returns errors while another source is connected.

    The receiver of the combined list is notified of failures, and polls again, only when every source has failed.
    Without a separate retry the registry would never be called again; without an interval it would be called in a busy
    loop.
    """
    monkeypatch.setattr(combined, "_RETRY_S", RETRY_S)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        service = FakeDiscovery()
        await service.start()
        updates: list[EndpointList | None] = []
        source = CombinedSource(
            {
                "registry": lambda on_update: RegistrySource(service.address, 1, on_update),
                "other": IdleSource,
            },
            updates.append,
        )
        source.watch(True)
        started_at = loop.time()
        for _ in range(FAILED_CALLS):
            service.answers.put_nowait(failure)
        await until(lambda: service.called(FAILED_CALLS + 1))
        assert loop.time() - started_at >= FAILED_CALLS * RETRY_S
        service.say(7, [entry(status="leaving")])
        await until(lambda: any(updates))
        assert not source._retry_timers
        source.stop()
        service.stop()

    play(scenario())
