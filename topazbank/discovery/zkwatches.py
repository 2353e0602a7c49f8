"""The watches of a ZooKeeper session, which the client sets again at every member that it connects to; no I/O."""

from __future__ import annotations

from topazbank.discovery import zkwire
from topazbank.discovery.zkwire import WatchEvent

_STRING_LENGTH_BYTES = 4  # what precedes each path on the wire


class WatchRegistry:
    """Paths with a watch, by the read that set it; a watch reports once."""

    def __init__(self) -> None:
        self._data: set[str] = set()  # bounded by the znodes that the session's user reads
        self._children: set[str] = set()

    def add_data(self, path: str) -> None:
        """A read of a znode's data sets a watch."""
        self._data.add(path)

    def add_children(self, path: str) -> None:
        """A read of a znode's children sets a watch."""
        self._children.add(path)

    def discard_data(self, path: str) -> None:
        """The read was refused: no watch was set."""
        self._data.discard(path)

    def discard_children(self, path: str) -> None:
        """The read was refused: no watch was set."""
        self._children.discard(path)

    def event_received(self, event: WatchEvent, path: str) -> None:
        """Forget the watches that have reported."""
        if event is not WatchEvent.CHILDREN_CHANGED:
            self._data.discard(path)
        if event in (WatchEvent.CHILDREN_CHANGED, WatchEvent.DELETED):
            self._children.discard(path)

    def clear(self) -> None:
        """The session has expired, and its watches with it."""
        self._data.clear()
        self._children.clear()

    def encode_set_watches(self, last_zxid: int) -> list[bytes]:
        """Bodies of the requests that set all watches again, each of a bounded size.

        The server reports at once what happened to a path after `last_zxid`.
        """
        data, children = sorted(self._data), sorted(self._children)
        bodies = []
        while data or children:
            batch: list[str] = []
            size_bytes = 0
            while data and size_bytes < zkwire.SET_WATCHES_BYTES_MAX:
                batch.append(data.pop())
                size_bytes += len(batch[-1]) + _STRING_LENGTH_BYTES
            bodies.append(zkwire.encode_set_watches(last_zxid, batch, [], children))
            children = []
        return bodies
