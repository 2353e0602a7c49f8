"""Several sources behind one: a source that can't say is asked again, at a pace, while others can."""

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


class Silent:
    """A source that is in touch and has nothing to tell."""

    def __init__(self, told: Callable[[EndpointList | None], None]) -> None:
        self.told = told

    def watch(self, wanted: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...

    def stop(self) -> None: ...

    def status(self) -> tuple[SourceStatus, ...]:
        return ()

    def source_of(self, name: str) -> str:
        return "silent"


@pytest.mark.parametrize("failing", [answer(503, b""), b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{"])
def test_a_registry_that_fails_is_asked_again_while_another_source_is_in_touch(
    failing: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Nobody else asks: whoever listens hears of a failure only where no source can say.
    monkeypatch.setattr(combined, "_AGAIN_S", 0.2)

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        service = FakeDiscovery()
        await service.start()
        heard: list[EndpointList | None] = []
        several = CombinedSource(
            {"registry": lambda told: RegistrySource(service.address, 1, told), "other": Silent}, heard.append
        )
        several.watch(True)
        began = loop.time()
        for _ in range(4):
            service.answers.put_nowait(failing)
        await until(lambda: service.called(5))
        assert loop.time() - began >= 4 * 0.2  # not at once: it would be asked without a pause
        service.say(7, [entry(status="leaving")])
        await until(lambda: any(heard))
        assert not several._calls
        several.stop()
        service.stop()

    play(scene())
