"""Several sources at once, by precedence; no I/O.

A node stands as the first source says that has ever told of it, in the order that the operator gave.  Gone is a word
too: what the first has told gone stays gone, whatever a later one still lists, so that a slower source can't bring
back what a live quorum saw go.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from topazbank.balancing.events import ServerState
from topazbank.core.endpoint_source import DiscoveredServer, EndpointList, as_removed

GONE_MOST = 10_000  # names told gone that a source remembers; the oldest are forgotten first


@dataclass(slots=True)
class _Known:
    """What one source has told."""

    lines: dict[str, DiscoveredServer] = field(default_factory=dict)
    gone: dict[str, None] = field(default_factory=dict)  # in the order that they went
    heard: bool = False  # whether a whole list of it has come, or it has said that it can't know
    told: bool = False  # whether a whole list of it has come


class Merge:
    """The list of all sources together."""

    def __init__(self, sources: Sequence[str]) -> None:
        self._known = {name: _Known() for name in sources}
        self._told: dict[str, tuple[DiscoveredServer, str]] = {}
        self._begun = False
        self._version = 0

    def told(self, source: str, told: EndpointList) -> EndpointList | None:
        """Hear one source; give what changes in the whole, or None where nothing does."""
        known = self._known[source]
        touched = {line.server.name for line in told.entries}
        if told.complete:
            known.heard = known.told = True
            for name in known.lines.keys() - touched:
                touched.add(name)
                self._gone(known, name)
        for line in told.entries:
            name = line.server.name
            if line.server.state is ServerState.REMOVED:
                self._gone(known, name)
            else:
                known.lines[name] = line
                known.gone.pop(name, None)
        return self._news(touched)

    def spoke(self, source: str) -> EndpointList | None:
        """A source has told its whole list, in changes."""
        known = self._known[source]
        known.heard = known.told = True
        return self._news(set())

    def cannot_know(self, source: str) -> EndpointList | None:
        """A source can't say, or has been waited for long enough: the list begins without it."""
        self._known[source].heard = True
        return self._news(set())

    @staticmethod
    def _gone(known: _Known, name: str) -> None:
        known.lines.pop(name, None)
        known.gone[name] = None
        if len(known.gone) > GONE_MOST:
            del known.gone[next(iter(known.gone))]

    def _news(self, touched: set[str]) -> EndpointList | None:
        if not self._begun:
            # The first word of one alone would empty the list of what another is about to tell.
            if not all(known.heard for known in self._known.values()):
                return None
            names = {name for known in self._known.values() for name in known.lines}
            if not names and not any(known.told for known in self._known.values()):
                return None  # nobody could say
            self._begun = True
            self._told = {name: line for name in sorted(names) if (line := self._stands(name)) is not None}
            return self._next(True, [line for line, _ in self._told.values()])
        lines = []
        for name in sorted(touched):
            stands, before = self._stands(name), self._told.get(name)
            if stands == before:
                continue
            if stands is not None:
                self._told[name] = stands
                lines.append(stands[0])
            elif before is not None:
                del self._told[name]
                lines.append(as_removed(before[0]))
        return self._next(False, lines) if lines else None

    def _next(self, complete: bool, lines: list[DiscoveredServer]) -> EndpointList:
        self._version += 1
        return EndpointList(self._version, complete, lines)

    def _stands(self, name: str) -> tuple[DiscoveredServer, str] | None:
        """How a node stands, and by whose word."""
        for source, known in self._known.items():
            if name in known.lines:
                return known.lines[name], source
            if name in known.gone:
                return None
        return None

    def source_of(self, name: str) -> str | None:
        told = self._told.get(name)
        return told[1] if told is not None else None
