"""The pairs of client and server protocols that tests run with: HTTP on both sides unless a test wants more."""

from __future__ import annotations

from collections.abc import Iterator

import known_red
import pytest
from loopback import PAIRS, Pair, use

from testbed.wire import HTTP, MSGPACK_RPC


@pytest.fixture(autouse=True)
def _both_http() -> Iterator[None]:
    use(Pair())
    yield
    use(Pair())


@pytest.fixture(params=PAIRS, ids=str)
def each_pair(request: pytest.FixtureRequest, _both_http: None) -> Pair:
    """Run the test with all four pairs."""
    use(request.param)
    return request.param  # type: ignore[no-any-return]


@pytest.fixture(params=[HTTP, MSGPACK_RPC])
def each_client(request: pytest.FixtureRequest, _both_http: None) -> str:
    """Run the test with clients of each protocol and HTTP servers."""
    use(Pair(client=request.param))
    return request.param  # type: ignore[no-any-return]


@pytest.fixture(params=[HTTP, MSGPACK_RPC])
def each_node(request: pytest.FixtureRequest, _both_http: None) -> str:
    """Run the test with servers of each protocol and HTTP clients."""
    use(Pair(nodes=request.param))
    return request.param  # type: ignore[no-any-return]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the tests on the list of known failures, accept their failures, and fail if one of them passes."""
    listed = known_red.read()
    for item in items:
        for known in listed:
            if known.covers(item.nodeid):
                reason = f"known failure: {known.cause} (issue {known.issue})"
                item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of known failures, so that no run hides it."""
    for known in known_red.read():
        terminalreporter.write_line(f"KNOWN RED: {known.test}: {known.cause} (issue {known.issue})")
