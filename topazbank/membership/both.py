"""Several membership sources behind one: each tells, merge.py decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

from topazbank.core.members import Source, Standing, Told
from topazbank.core.net import Address
from topazbank.membership.merge import Merge

_WAIT_S = 2.0  # how long the first list waits for all sources; the one of before the start holds meanwhile

Make = Callable[[Callable[[Told | None], None]], Source]


class Several:
    """Sources by name, in their precedence."""

    def __init__(self, makers: Mapping[str, Make], told: Callable[[Told | None], None]) -> None:
        self._merge = Merge(list(makers))
        self._told = told
        self._failed: set[str] = set()  # sources that could not say when they were last asked
        self._sources = {name: make(partial(self._heard, name)) for name, make in makers.items()}
        self._waited: asyncio.TimerHandle | None = None

    def _heard(self, name: str, told: Told | None) -> None:
        if told is None:
            self._failed.add(name)
            self._pass_on(self._merge.cannot_know(name))
            if len(self._failed) == len(self._sources):
                self._failed.clear()
                self._told(None)  # nobody can say
            else:
                self._sources[name].follow(True)
            return
        self._failed.discard(name)
        self._pass_on(self._merge.told(name, told))

    def _pass_on(self, news: Told | None) -> None:
        if news is not None:
            self._told(news)

    def _waited_enough(self) -> None:
        for name in self._sources:
            self._pass_on(self._merge.cannot_know(name))

    def follow(self, wanted: bool) -> None:
        if wanted and self._waited is None:
            self._waited = asyncio.get_running_loop().call_later(_WAIT_S, self._waited_enough)
        for each in self._sources.values():
            each.follow(wanted)

    def fetch(self) -> None:
        for each in self._sources.values():
            each.fetch()

    def move(self, address: Address) -> None:
        for each in self._sources.values():
            each.move(address)

    def stop(self) -> None:
        if self._waited is not None:
            self._waited.cancel()
        for each in self._sources.values():
            each.stop()

    def standing(self) -> tuple[Standing, ...]:
        return tuple(standing for each in self._sources.values() for standing in each.standing())

    def source_of(self, name: str) -> str:
        return self._merge.source_of(name) or "-"
