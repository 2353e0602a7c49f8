"""One HTTP call to the platform's registry, on a connection of its own."""

from __future__ import annotations

import asyncio
import json

from topazbank.core.endpoint_source import EndpointList
from topazbank.core.net import Address
from topazbank.discovery.list_format import parse_list
from topazbank.http.connection import UpstreamConnection, connect
from topazbank.http.messages import HttpResponse, format_message

_LIST_PATH = "/registry/instances"
_CONNECT_TIMEOUT_S = 1.5  # the kernel repeats a lost SYN after 1 s
_LIST_BYTES_MAX = 8 * 1024 * 1024
_HTTP_OK = 200


class RegistryError(Exception):
    """A call failed: no connection, no complete response, another status than 200 or a malformed list."""


class RegistryTimeoutError(RegistryError):
    """A connection came up and no response arrived in time."""


def list_target(version: int | None, wait_s: float) -> str:
    """The request target for changes after a version, which waits for them for `wait_s` at most.

    Without a version it is that of a snapshot, which does not wait.
    """
    if version is None:
        return _LIST_PATH
    return f"{_LIST_PATH}?after={version}&wait_ms={int(wait_s * 1000)}"


async def call(address: Address, target: str, timeout_s: float) -> EndpointList:
    """Get a list; raise RegistryTimeoutError after `timeout_s`, RegistryError for any other failure."""
    try:
        async with asyncio.timeout(timeout_s):
            return _parse(await _get(address, target))
    except TimeoutError:
        raise RegistryTimeoutError(f"no answer in {timeout_s:.1f} s") from None
    except (OSError, ValueError, RecursionError) as error:
        raise RegistryError(str(error) or type(error).__name__) from error


def _parse(response: HttpResponse | None) -> EndpointList:
    if response is None:
        raise RegistryError("the connection closed before the response was complete")
    if response.status != _HTTP_OK:
        raise RegistryError(f"status {response.status}")
    return parse_list(json.loads(response.body))


async def _get(address: Address, target: str) -> HttpResponse | None:
    connection = await _connect(address)
    try:
        return await _exchange(connection, address, target)
    finally:
        connection.abort()


async def _connect(address: Address) -> UpstreamConnection:
    """A connection that can't be established is an error and not a timeout: the registry has withheld no change."""
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await connect(address, _LIST_BYTES_MAX)
    except TimeoutError:
        raise RegistryError("the connection can't be established") from None


async def _exchange(connection: UpstreamConnection, address: Address, target: str) -> HttpResponse | None:
    response: asyncio.Future[HttpResponse | None] = asyncio.get_running_loop().create_future()
    host = f"{address[0]}:{address[1]}".encode()
    request = format_message(
        b"GET %b HTTP/1.1" % target.encode(), [(b"Host", host), (b"Connection", b"close")]
    )

    def response_received(received: HttpResponse | None) -> None:
        if not response.done():
            response.set_result(received)

    connection.request(request, response_received)
    return await response
