"""The pairs of client and node protocol that tests run under: HTTP at both ends unless a test asks for more."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loopback import PAIRS, Pair, use

from standins.wire import HTTP, MSGPACK_RPC


@pytest.fixture(autouse=True)
def _both_http() -> Iterator[None]:
    use(Pair())
    yield
    use(Pair())


@pytest.fixture(params=PAIRS, ids=str)
def each_pair(request: pytest.FixtureRequest, _both_http: None) -> Pair:
    """Runs the test under all four pairs."""
    use(request.param)
    return request.param  # type: ignore[no-any-return]


@pytest.fixture(params=[HTTP, MSGPACK_RPC])
def each_client(request: pytest.FixtureRequest, _both_http: None) -> str:
    """Runs the test with clients of each protocol before HTTP nodes."""
    use(Pair(client=request.param))
    return request.param  # type: ignore[no-any-return]


@pytest.fixture(params=[HTTP, MSGPACK_RPC])
def each_node(request: pytest.FixtureRequest, _both_http: None) -> str:
    """Runs the test with nodes of each protocol behind HTTP clients."""
    use(Pair(nodes=request.param))
    return request.param  # type: ignore[no-any-return]
