"""The proxy between parts of a fleet: it forwards, delays, holds one direction and cuts."""

from __future__ import annotations

import asyncio

import pytest
from loopback import play

from testbed.fleet.proxy import Proxy
from testbed.wire import TcpServer


class Echo(TcpServer):
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()


def test_the_proxy_forwards_delays_holds_one_direction_and_cuts() -> None:
    async def scenario() -> None:
        echo = Echo()
        await echo.start()
        proxy = Proxy(echo.address)
        await proxy.start()
        reader, writer = await asyncio.open_connection(*proxy.address)
        writer.write(b"one")
        assert await reader.read(100) == b"one"
        proxy.delay_s = 0.2
        began = asyncio.get_running_loop().time()
        writer.write(b"two")
        assert await reader.read(100) == b"two"
        assert asyncio.get_running_loop().time() - began >= 0.4  # each way
        proxy.delay_s = 0.0
        proxy.hold(forth=False)
        writer.write(b"three")
        held = asyncio.create_task(reader.read(100))
        await asyncio.sleep(0.1)
        assert not held.done()
        proxy.heal()
        assert await held == b"three"
        proxy.cut()
        with pytest.raises((ConnectionError, AssertionError)):
            assert await reader.read(100)
        again = await asyncio.open_connection(*proxy.address)
        with pytest.raises((ConnectionError, AssertionError)):
            assert await again[0].read(100)
        for each in (writer, again[1]):
            each.close()
        proxy.stop()
        echo.stop()

    play(scenario())
