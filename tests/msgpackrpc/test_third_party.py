"""Interoperability of the sidecar with a published client and server (aio-msgpack-rpc)."""

from __future__ import annotations

import asyncio
from typing import Any

import aio_msgpack_rpc
import pytest
from helpers import settings
from loopback import CLASSES, LIMITS, Pair, answer, ask, play, request, until, use, world

from testbed.wire import HTTP, MSGPACK_RPC
from topazbank.core.components import SidecarConfig
from topazbank.core.sidecar import Sidecar
from topazbank.discovery.list_format import parse_list
from topazbank.operator_config import MsgpackRpcConfig, OperatorConfig
from topazbank.wiring import build_components


def envelope(request_id: str, **more: Any) -> dict[str, Any]:
    return {"id": request_id, "budget": 5.0, "path": "/api/7f"} | more


@pytest.mark.parametrize("nodes", [HTTP, MSGPACK_RPC])
def test_the_published_client_receives_results_and_errors(nodes: str) -> None:
    async def scenario() -> None:
        use(Pair(MSGPACK_RPC, nodes))
        async with world(
            lambda request_line, headers, body: answer(200, headers["x-call-id"].encode() + body)
        ) as system:
            reader, writer = await asyncio.open_connection(*system.sidecar.listener.address)
            client = aio_msgpack_rpc.Client(reader, writer)
            calls = [client.call("pay", envelope(f"c-{n}"), b"\xff%d" % n) for n in range(20)]
            results = await asyncio.gather(*calls)
            assert [result["body"] for result in results] == [b"c-%d\xff%d" % (n, n) for n in range(20)]
            assert await client.call("health.ready") == {"ready": True}
            with pytest.raises(aio_msgpack_rpc.error.RPCResponseError) as raised:
                await client.call("look", {"id": "x", "budget": -1})
            assert raised.value.args[0][0] == 400
            system.servers[0].script = lambda *_: answer(500, b"")
            with pytest.raises(aio_msgpack_rpc.error.RPCResponseError) as raised:
                await client.call("pay", envelope("f"), b"x")
            assert raised.value.args[0] == [500, "failed", {}]
            system.servers[0].script = lambda *_: answer(503, b"", X_Rejected="1")
            with pytest.raises(aio_msgpack_rpc.error.RPCResponseError) as raised:
                await client.call("pay", envelope("r", budget=0.3), b"x")
            assert raised.value.args[0][:2] == [503, "refused"]
            client.close()

    play(scenario())


class Handler:
    """The server methods that aio-msgpack-rpc calls, one for each request class."""

    def __init__(self) -> None:
        self.executed: list[tuple[str, str, bytes]] = []

    async def pay(self, fields: dict[str, Any], body: bytes) -> dict[str, Any]:
        self.executed.append(("pay", fields["id"], body))
        await asyncio.sleep(0.001)
        return {"body": b"paid " + body}

    def look(self, fields: dict[str, Any], body: bytes = b"") -> bytes:
        self.executed.append(("look", fields["id"], body))
        return b"looked"

    def amend(self, fields: dict[str, Any], body: bytes) -> None:
        self.executed.append(("amend", fields["idempotency_key"], body))
        raise RuntimeError("it broke")


@pytest.mark.parametrize("clients", [HTTP, MSGPACK_RPC])
def test_the_published_server_serves_calls(clients: str) -> None:
    async def scenario() -> None:
        use(Pair(clients, MSGPACK_RPC))
        handler = Handler()
        server = await asyncio.start_server(aio_msgpack_rpc.Server(handler), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        entry = {"name": "s-0", "address": f"{host}:{port}", "status": "active", "protocol": MSGPACK_RPC}
        endpoint_list = parse_list({"index": 1, "snapshot": True, "endpoints": [entry]})
        balancer_settings = settings(classes=CLASSES, limits=LIMITS)
        config = SidecarConfig(("127.0.0.1", 0), ("127.0.0.1", 9), 7, 256, balancer_settings, endpoint_list)
        sidecar = Sidecar(
            config,
            build_components(OperatorConfig(MsgpackRpcConfig(accepts_clients=True, calls_servers=True))),
        )
        sidecar_task = asyncio.create_task(sidecar.run(asyncio.Event()))
        await until(lambda: sidecar._balancer._started)
        address = sidecar.listener.address
        requests = [ask(address, request("pay", body=b"%d" % n, X_Call_Id=f"c-{n}")) for n in range(10)]
        assert [response[2] for response in await asyncio.gather(*requests)] == [
            b"paid %d" % n for n in range(10)
        ]
        assert (await ask(address, request("look", X_Call_Id="l")))[2] == b"looked"
        assert (await ask(address, request("amend", body=b"x", X_Call_Id="a", budget="1.0")))[0] in (500, 503)
        assert [execution for execution in handler.executed if execution[0] == "pay"] == [
            ("pay", f"c-{n}", b"%d" % n) for n in range(10)
        ]
        sidecar_task.cancel()
        await asyncio.gather(sidecar_task, return_exceptions=True)
        server.close()

    play(scenario())
