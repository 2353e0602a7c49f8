"""The registry of the platform, over HTTP: watches and fetches.  When to ask is not decided here."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from topazbank.core.endpoint_source import EndpointList, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery.list_format import parse_list
from topazbank.estimation import poll_schedule
from topazbank.estimation.fleet_size import FleetSize
from topazbank.http.connection import Connection, HttpResponse, connect, message

log = logging.getLogger(__name__)

_PATH = "/registry/instances"
# And what it may take beyond that.  Its news counts as told 2 s after the wait, and most of that is for the next call,
# which may have to wait its turn behind those of all others whose watches fell silent at the same moment.
_LATE_S = 0.3
_DIAL_S = 1.5  # for a connection to come up: the kernel asks once more after a second
_CALL_S = 5.0  # what a call that does not wait may take
_POLLS_MOST = 3  # polls out at a time; beyond that the oldest is given up
_POLL_AGAIN_S = 0.15  # a poll that was begun so lately is not doubled
_IDLE_S = 0.1  # between watches that come back at once with nothing, well within the 200 ms of one watch
_LIST_MOST = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Answered:
    """What came of one call."""

    told: EndpointList | None  # None: it failed
    silent: bool = False  # and nothing came in its time


class RegistrySource:
    """Follows the list while that is wanted; each call has a connection of its own.

    Two kinds of calls: polls, which do not wait, until one is answered; from then on a watch, which waits for news.
    A watch that ends or falls silent ends with polls again.  Polls are begun as `follow` asks for them, beside those
    that are still out: one that is lost on its way keeps none from being answered.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        told: Callable[[EndpointList | None], None],
        others: FleetSize | None = None,
        seed: int | None = None,
    ) -> None:
        """`version`: of the list as last held; `others`: that share the registry; `seed`: of what is chance."""
        self._address = address
        self._others = others or FleetSize(1)
        self._random = random.Random(seed)
        self._version: int | None = version  # None: the whole list is needed, whatever was heard before
        self._told = told
        self._stopped = False
        self._heard_at: float | None = None
        self._failed = False  # whether the last call was in vain
        self._watch: asyncio.Task[None] | None = None
        # Those that are out, the oldest first, each with the version that it knows.
        self._polls: dict[asyncio.Task[None], int | None] = {}
        self._polled_at = -math.inf
        self._fetches: set[asyncio.Task[None]] = set()  # as many as the balancer asks for, each for _CALL_S

    def watch(self, wanted: bool) -> None:
        """Begin to follow the list, or end that; while no call has been answered another poll is begun beside it."""
        if not wanted:
            self._end_calls()
        elif not self._stopped and self._watch is None and not self._polled_just_now():
            self._poll()

    def fetch(self) -> None:
        """Ask once for the whole list."""
        task = asyncio.get_running_loop().create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def move(self, address: Address) -> None:
        """Ask for the whole list at another place from now on, and at once: what was heard may be behind.

        Where the place is the same, whole lists that are asked for already are waited for still: however often it is
        named anew, a slow service has its time to answer.
        """
        if address != self._address:
            for fetch in self._fetches:
                fetch.cancel()
            self._end_calls()
        self._address, self._version = address, None
        self._end_watch()
        self._end_polls(lambda known: known is not None)
        if self._stopped:
            return
        if len(self._polls) < _POLLS_MOST:
            self._poll()
        self._tell(None)  # no answer yet: more polls are to follow until there is one

    def stop(self) -> None:
        self._stopped = True
        self._end_calls()

    def status(self) -> tuple[SourceStatus, ...]:
        return (SourceStatus("registry", not self._failed and self._heard_at is not None, self._heard_at),)

    def source_of(self, name: str) -> str:
        return "registry"

    # -- Polls and watches ----------------------------------------------------------------------------

    def _polled_just_now(self) -> bool:
        return bool(self._polls) and asyncio.get_running_loop().time() < self._polled_at + _POLL_AGAIN_S

    def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        self._polled_at = loop.time()
        while len(self._polls) >= _POLLS_MOST:
            self._end_poll(next(iter(self._polls)))
        self._polls[loop.create_task(self._catch_up(self._version))] = self._version

    async def _catch_up(self, version: int | None) -> None:
        """One poll; with its answer the watch begins, and the other polls end."""
        target = _PATH if version is None else f"{_PATH}?after={version}&wait_ms=0"
        began = asyncio.get_running_loop().time()
        answer = await self._ask(target, _CALL_S)
        this = asyncio.current_task()
        assert this is not None
        self._polls.pop(this, None)
        if answer.told is None:
            self._tell(None)
            return
        self._end_polls()
        self._watch = this
        self._take(answer.told)
        await self._pause_if_idle(version, began)
        await self._keep_watch()

    async def _keep_watch(self) -> None:
        """Call again as soon as a call is answered: later than 200 ms it would be a new watch.

        One that fell silent is followed by a poll at once, since what the silence kept back is late already.
        """
        loop = asyncio.get_running_loop()
        while True:
            began, version = loop.time(), self._version
            wait_s = poll_schedule.jittered_watch_timeout_s(self._others.upper_bound, self._random.random())
            target = f"{_PATH}?after={version}&wait_ms={int(wait_s * 1000)}"
            answer = await self._ask(target, wait_s + _LATE_S)
            if answer.told is None:
                break
            self._take(answer.told)
            await self._pause_if_idle(version, began)
        self._watch = None
        self._tell(None)
        if answer.silent:
            self.watch(True)

    async def _pause_if_idle(self, version: int | None, began: float) -> None:
        """Guards against spinning on a service that does not wait."""
        if self._version == version and asyncio.get_running_loop().time() < began + _IDLE_S:
            await asyncio.sleep(_IDLE_S)

    def _end_calls(self) -> None:
        self._end_watch()
        self._end_polls()

    def _end_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _end_polls(self, which: Callable[[int | None], bool] = lambda known: True) -> None:
        """End polls that are out, by the version that they know."""
        for poll, known in list(self._polls.items()):
            if which(known):
                self._end_poll(poll)

    def _end_poll(self, poll: asyncio.Task[None]) -> None:
        del self._polls[poll]
        poll.cancel()

    # -- Calls ----------------------------------------------------------------------------------------

    async def _fetch(self) -> None:
        told = (await self._ask(_PATH, _CALL_S)).told
        if told is None:
            self._tell(None)
        else:
            self._take(told)

    def _take(self, told: EndpointList) -> None:
        self._version = told.version
        self._tell(told)

    def _tell(self, told: EndpointList | None) -> None:
        """Pass on what was heard; a defect there must not end the watch, as none would begin after it."""
        self._failed = told is None
        if told is not None:
            self._heard_at = asyncio.get_running_loop().time()
        try:
            self._told(told)
        except Exception:
            log.exception("a list could not be taken")

    async def _ask(self, target: str, limit_s: float) -> Answered:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(limit_s):
                told = self._read(await self._call(target))
        except TimeoutError:
            log.warning("discovery: no answer in %.1f s to %s", limit_s, target)
            return Answered(None, silent=True)
        except (OSError, ValueError, RecursionError) as fault:
            reason = fault or type(fault).__name__
            log.warning("discovery: %s after %.2f s to %s", reason, loop.time() - began, target)
            return Answered(None)
        except Exception:
            # A defect.  Guards against a watch that ends without a word: none would begin after it.
            log.exception("discovery: a call could not be read")
            return Answered(None)
        self._log_answer(told, loop.time() - began)
        return Answered(told)

    def _log_answer(self, told: EndpointList, took_s: float) -> None:
        """Log news, and the first answer after a failed call; a watch that ran out with nothing says nothing."""
        if told.version == self._version and not self._failed:
            return
        heard_at = self._heard_at
        now = asyncio.get_running_loop().time()
        age = "first" if heard_at is None else f"{now - heard_at:.2f} s after the last"
        states = Counter(line.server.state.value for line in told.entries)
        counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items())) or "none"
        what = "whole list" if told.complete else "changes"
        known = "nothing" if self._version is None else str(self._version)
        log.info(
            "discovery: %s, version %s to %d: %s; took %.2f s, %s",
            what, known, told.version, counts, took_s, age,
        )  # fmt: skip

    @staticmethod
    def _read(response: HttpResponse | None) -> EndpointList:
        if response is None:
            raise ConnectionResetError("the connection broke")
        if response.status != 200:
            raise ConnectionRefusedError(f"status {response.status}")
        return parse_list(json.loads(response.body))

    async def _call(self, target: str) -> HttpResponse | None:
        connection = await self._dial()
        try:
            return await self._exchange(connection, target)
        finally:
            connection.abort()

    async def _dial(self) -> Connection:
        """Unlike a silent watch, a connection that does not come up has kept nothing back: its call has failed."""
        try:
            async with asyncio.timeout(_DIAL_S):
                return await connect(self._address, _LIST_MOST)
        except TimeoutError:
            raise ConnectionError("no connection comes up") from None

    async def _exchange(self, connection: Connection, target: str) -> HttpResponse | None:
        answer: asyncio.Future[HttpResponse | None] = asyncio.get_running_loop().create_future()
        host = f"{self._address[0]}:{self._address[1]}".encode()
        call = message(b"GET %b HTTP/1.1" % target.encode(), [(b"Host", host), (b"Connection", b"close")])

        def ended(response: HttpResponse | None) -> None:
            if not answer.done():
                answer.set_result(response)

        connection.request(call, ended)
        return await answer
