"""What sources told of the list, taken in steps; no I/O, time is an argument (seconds, monotonic).

A whole list of thousands would hold the event loop while requests wait for it.  It is compared with what was taken
before and given out in steps of bounded size, what takes nodes away first: nothing new may go there.  A later word on a
node replaces one that still waits, so what waits is never more than one line a node.
"""

from __future__ import annotations

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, as_removed

BATCH_SIZE = 100  # lines a step: about a millisecond


class PendingUpdates:
    """The list as it was taken so far, and what still waits."""

    def __init__(self) -> None:
        self.version = 0  # the newest that was told
        self.applied_version = 0  # the newest of which nothing waits any more
        self._taken: dict[str, DiscoveredServer] = {}
        self._leaving: dict[
            str, DiscoveredServer
        ] = {}  # wait: nodes that take nothing new; at most one line a node
        self._others: dict[str, DiscoveredServer] = {}  # wait: the rest, likewise
        self._told_at: dict[str, float] = {}  # when each node that is listed was last told of
        self._displaced: set[str] = set()  # names whose address another has; of those that are told still

    def receive(self, now: float, told: EndpointList) -> None:
        """Hear a list or changes; they wait until they are taken."""
        self.version = told.version
        if told.complete:
            self._whole(now, told.entries)
            return
        for line in told.entries:
            name = line.server.name
            self._wait(name, line)
            if line.server.state is ServerState.REMOVED:
                self._told_at.pop(name, None)
            else:
                self._told_at[name] = now

    def _whole(self, now: float, lines: list[DiscoveredServer]) -> None:
        self._leaving.clear()
        self._others.clear()
        listed = {line.server.name: line for line in lines}
        # Gone first.  The displaced come last: until their address is looked at anew they would count as there.
        for name in self._taken.keys() - listed.keys():
            self._leaving[name] = as_removed(self._taken[name])
        for name in self._displaced & listed.keys():
            listed[name] = listed.pop(name)
        self._displaced &= listed.keys()
        for name, line in listed.items():
            if line.server.state is ServerState.READY:
                self._others[name] = line
            else:
                self._leaving[name] = line
        self._told_at = dict.fromkeys(listed, now)

    def _wait(self, name: str, line: DiscoveredServer) -> None:
        self._leaving.pop(name, None)
        self._others.pop(name, None)
        ready = line.server.state is ServerState.READY
        (self._others if ready else self._leaving)[name] = line

    def applied(self) -> list[DiscoveredServer]:
        """The list as it was taken so far."""
        return list(self._taken.values())

    def has_pending(self) -> bool:
        return bool(self._leaving or self._others)

    def is_pending(self, name: str) -> bool:
        """Whether a word on this node still waits."""
        return name in self._leaving or name in self._others

    def take_batch(self, most: int = BATCH_SIZE) -> list[DiscoveredServer]:
        """The next lines that say something new, at most so many are looked at."""
        lines = []
        for _ in range(most):
            waiting = self._leaving or self._others
            if not waiting:
                break
            name = next(iter(waiting))
            line = waiting.pop(name)
            if self._taken.get(name) == line:
                continue
            self._displaced.discard(name)
            if line.server.state is ServerState.REMOVED:
                self._taken.pop(name, None)
            else:
                self._taken[name] = line
            lines.append(line)
        if not self.has_pending():
            self.applied_version = self.version
        return lines

    def mark_superseded(self, name: str) -> None:
        """Another node has this one's address: it is taken anew when it is next told."""
        self._taken.pop(name, None)
        self._displaced.add(name)

    def updated_at(self, name: str, default: float) -> float:
        return self._told_at.get(name, default)
