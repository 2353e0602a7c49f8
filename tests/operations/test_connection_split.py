"""The split of a connection limit between two processes of one sidecar."""

from __future__ import annotations

import pytest

from topazbank.operations.connection_split import split_connection_limit


@pytest.mark.parametrize("open_connections", range(0, 200, 7))
def test_both_processes_together_stay_within_the_limit(open_connections: int) -> None:
    split = split_connection_limit(160, open_connections)
    assert split.old + split.new == 160 and split.new >= 40
    assert split.old >= min(open_connections, 120)
