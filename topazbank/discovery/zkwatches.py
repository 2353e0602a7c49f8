"""Watches of a ZooKeeper session, which the client restores at each member it connects to; no I/O."""

from __future__ import annotations

from topazbank.discovery import zkwire
from topazbank.discovery.zkwire import WatchEvent

_STRING_LENGTH_BYTES = 4  # length prefix of each path on the wire


class WatchRegistry:
    """Watched paths, by the kind of read that set the watch; a watch fires once."""

    def __init__(self) -> None:
        self._data: set[str] = set()  # bounded by the number of znodes read
        self._children: set[str] = set()

    def add_data(self, path: str) -> None:
        """Register the watch set by a read of a znode's data."""
        self._data.add(path)

    def add_children(self, path: str) -> None:
        """Register the watch set by a read of a znode's children."""
        self._children.add(path)

    def discard_data(self, path: str) -> None:
        """Remove a data watch that was not set because its read was rejected."""
        self._data.discard(path)

    def discard_children(self, path: str) -> None:
        """Remove a child watch that was not set because its read was rejected."""
        self._children.discard(path)

    def event_received(self, event: WatchEvent, path: str) -> None:
        """Remove the watches that have fired."""
        if event is not WatchEvent.CHILDREN_CHANGED:
            self._data.discard(path)
        if event in (WatchEvent.CHILDREN_CHANGED, WatchEvent.DELETED):
            self._children.discard(path)

    def clear(self) -> None:
        """Remove all watches, which ended with their session."""
        self._data.clear()
        self._children.clear()

    def encode_set_watches(self, last_zxid: int) -> list[bytes]:
        """Return the bodies of the SetWatches requests that restore all watches, each of a bounded size.

        The server immediately reports changes to these paths since `last_zxid`.
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
