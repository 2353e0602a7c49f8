"""HTTP calls to the platform's registry, each on its own connection."""

from __future__ import annotations

import asyncio
import json

from topazbank.core.endpoint_source import EndpointList
from topazbank.core.memory_budget import MemoryBudget
from topazbank.core.net import Address
from topazbank.core.partial_responses import PartialResponses
from topazbank.discovery.list_format import parse_list
from topazbank.http.connection import UpstreamConnection, connect
from topazbank.http.messages import HttpResponse, format_message

_LIST_PATH = "/registry/instances"
_CONNECT_TIMEOUT_S = 1.5  # the kernel retransmits a lost SYN after 1 s
_LIST_BYTES_MAX = 8 * 1024 * 1024
_HTTP_OK = 200


class RegistryError(Exception):
    """A call failed: no connection, an incomplete response, a status other than 200 or a malformed list."""


class RegistryTimeoutError(RegistryError):
    """The connection was established, but no complete response arrived before the timeout."""


def list_target(version: int | None, wait_s: float) -> str:
    """The request target for changes after `version`; the registry waits up to `wait_s` for a change.

    Without a version, it requests a snapshot, for which the registry does not wait.
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
        raise RegistryTimeoutError(f"no response within {timeout_s:.1f} s") from None
    except (OSError, ValueError, RecursionError) as error:
        raise RegistryError(str(error) or type(error).__name__) from error


def _parse(response: HttpResponse | None) -> EndpointList:
    if response is None:
        raise RegistryError("connection closed before the response was complete")
    if response.status != _HTTP_OK:
        raise RegistryError(f"status: expected {_HTTP_OK}, not {response.status}")
    return parse_list(json.loads(response.body))


async def _get(address: Address, target: str) -> HttpResponse | None:
    connection = await _connect(address)
    try:
        return await _exchange(connection, address, target)
    finally:
        connection.abort()


async def _connect(address: Address) -> UpstreamConnection:
    """Connect to the registry.

    A connect timeout is not a RegistryTimeoutError: no watch was sent, so no changes are overdue.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await connect(address, _LIST_BYTES_MAX, PartialResponses(MemoryBudget()))
    except TimeoutError:
        raise RegistryError(f"no connection within {_CONNECT_TIMEOUT_S} s") from None


async def _exchange(connection: UpstreamConnection, address: Address, target: str) -> HttpResponse | None:
    response: asyncio.Future[HttpResponse | None] = asyncio.get_running_loop().create_future()
    host = f"{address[0]}:{address[1]}".encode()
    request = format_message(
        b"GET %b HTTP/1.1" % target.encode(), [(b"Host", host), (b"Connection", b"close")]
    )

    def response_received(result: HttpResponse | None) -> None:
        if not response.done():
            response.set_result(result)

    connection.request(request, response_received)
    return await response
