"""Several membership sources behind one: each tells, merge.py decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

from topazbank.core.endpoint_list import PendingUpdates
from topazbank.core.endpoint_source import EndpointList, EndpointSource, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery.merge import Merge

# Between the calls of a source that has failed while others answer: two fit before its news count as told, 6 s after it
# could be reached.
_AGAIN_S = 1.5
_WAIT_S = 2.0  # how long the first list waits for all sources; the one of before the start holds meanwhile

Make = Callable[[Callable[[EndpointList | None], None]], EndpointSource]


class CombinedSource:
    """Sources by name, in their precedence."""

    def __init__(self, makers: Mapping[str, Make], told: Callable[[EndpointList | None], None]) -> None:
        self._merge = Merge(list(makers))
        self._told = told
        self._listings = {name: PendingUpdates() for name in makers}
        self._whole = dict.fromkeys(makers, False)  # whether what waits there is of a whole list
        self._stepping: set[str] = set()  # sources whose next step is due in the loop's next turn
        self._failed: set[str] = set()  # sources that could not say when they were last asked
        self._sources = {name: make(partial(self._heard, name)) for name, make in makers.items()}
        self._waited: asyncio.TimerHandle | None = None
        self._calls: dict[str, asyncio.TimerHandle] = {}  # the next call of each source that was last in vain

    def _heard(self, name: str, told: EndpointList | None) -> None:
        if told is None:
            self._failed.add(name)
            self._pass_on(self._merge.cannot_know(name))
            if len(self._failed) == len(self._sources):
                self._failed.clear()
                self._told(None)  # nobody can say
            self._call_later(name)
            return
        self._failed.discard(name)
        self._end_calls(name)
        listing = self._listings[name]
        listing.receive(asyncio.get_running_loop().time(), told)
        self._whole[name] |= told.complete
        self._step(name)

    def _call_later(self, name: str) -> None:
        """Whoever listens asks again only once no source can say: one alone is called here until it answers."""
        if name not in self._calls:
            self._calls[name] = asyncio.get_running_loop().call_later(_AGAIN_S, self._call_again, name)

    def _call_again(self, name: str) -> None:
        self._sources[name].watch(True)
        self._calls[name] = asyncio.get_running_loop().call_later(_AGAIN_S, self._call_again, name)

    def _end_calls(self, name: str) -> None:
        call = self._calls.pop(name, None)
        if call is not None:
            call.cancel()

    def _step(self, name: str) -> None:
        """Pass on some of what a source told now, and the rest in the loop's next turns."""
        listing = self._listings[name]
        lines = listing.take_batch()
        if lines:
            self._pass_on(self._merge.told(name, EndpointList(listing.version, False, lines)))
        if listing.has_pending():
            if name not in self._stepping:
                self._stepping.add(name)
                asyncio.get_running_loop().call_soon(self._next_step, name)
        elif self._whole[name]:
            self._whole[name] = False
            self._pass_on(self._merge.spoke(name))

    def _next_step(self, name: str) -> None:
        self._stepping.discard(name)
        self._step(name)

    def _pass_on(self, news: EndpointList | None) -> None:
        if news is not None:
            self._told(news)

    def _waited_enough(self) -> None:
        for name in self._sources:
            self._pass_on(self._merge.cannot_know(name))

    def watch(self, wanted: bool) -> None:
        if wanted and self._waited is None:
            self._waited = asyncio.get_running_loop().call_later(_WAIT_S, self._waited_enough)
        for each in self._sources.values():
            each.watch(wanted)

    def fetch(self) -> None:
        for each in self._sources.values():
            each.fetch()

    def move(self, address: Address) -> None:
        for each in self._sources.values():
            each.move(address)

    def stop(self) -> None:
        if self._waited is not None:
            self._waited.cancel()
        for name, source in self._sources.items():
            self._end_calls(name)
            source.stop()

    def status(self) -> tuple[SourceStatus, ...]:
        return tuple(standing for each in self._sources.values() for standing in each.status())

    def source_of(self, name: str) -> str:
        return self._merge.source_of(name) or "-"
