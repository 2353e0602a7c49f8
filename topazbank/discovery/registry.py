"""The platform's registry as an endpoint source, over HTTP: polls and watches.

Which of them follows which is decided here; when a poll is due, by estimation/poll_schedule.py.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from topazbank.core.endpoint_source import EndpointList, SourceStatus
from topazbank.core.net import Address
from topazbank.discovery import registry_client
from topazbank.discovery.registry_client import RegistryError, RegistryTimeoutError, list_target
from topazbank.estimation import poll_schedule
from topazbank.estimation.fleet_size import FleetSize

log = logging.getLogger(__name__)

# Beyond a watch's own wait.  Changes must be received 2 s after that wait, and most of this is left to the next call,
# which may queue behind those of all sidecars whose watches timed out at the same moment.
_WATCH_MARGIN_S = 0.3
_CALL_TIMEOUT_S = 5.0  # of a call that does not wait for changes
_CONCURRENT_POLLS_MAX = 3  # beyond that the oldest is cancelled
_POLL_INTERVAL_MIN_S = 0.15  # a poll begun more recently is not joined by another
_IDLE_PAUSE_S = 0.1  # between watches that end at once without changes; within the 200 ms of one watch


@dataclass(frozen=True, slots=True)
class _CallResult:
    endpoints: EndpointList | None  # None: the call failed
    timed_out: bool = False


class RegistrySource:
    """Follows the list while that is wanted; each call has a connection of its own.

    There are two kinds of calls: polls, which do not wait, until one is answered; from then on a watch, which waits for
    changes.  A watch that fails or times out is followed by polls again.  `watch` starts another poll beside those
    without an answer yet: one that is lost delays none of the others.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_update: Callable[[EndpointList | None], None],
        fleet_size: FleetSize | None = None,
        seed: int | None = None,
    ) -> None:
        """`version`: of the list last held; `fleet_size`: sidecars of this registry; `seed`: of the watches' jitter."""
        self._address = address
        self._fleet_size = fleet_size or FleetSize(1)
        self._random = random.Random(seed)
        self._version: int | None = version  # None: a snapshot is needed
        self._on_update = on_update
        self._stopped = False
        self._last_contact_at: float | None = None
        self._last_call_failed = False
        self._watch: asyncio.Task[None] | None = None
        # The oldest first, each with the version that it asked from; bounded by _CONCURRENT_POLLS_MAX.
        self._polls: dict[asyncio.Task[None], int | None] = {}
        self._last_poll_at = -math.inf
        self._fetches: set[asyncio.Task[None]] = set()  # one for each `fetch` within _CALL_TIMEOUT_S

    # -- EndpointSource --------------------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        """Begin or end following the list; while no call has been answered, start another poll beside it."""
        if not wanted:
            self._cancel_calls()
        elif not self._stopped and self._watch is None and not self._polled_recently():
            self._start_poll()

    def fetch(self) -> None:
        """Request one snapshot."""
        task = asyncio.get_running_loop().create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def move(self, address: Address) -> None:
        """Request a snapshot at another address at once: what was received may be behind.

        Where the address is the same, requests for a snapshot go on: a slow registry keeps its time to answer,
        however often it is named again.
        """
        if address != self._address:
            for fetch in self._fetches:
                fetch.cancel()
            self._cancel_calls()
        self._address, self._version = address, None
        self._cancel_watch()
        self._cancel_delta_polls()
        if self._stopped:
            return
        if len(self._polls) < _CONCURRENT_POLLS_MAX:
            self._start_poll()
        self._publish(None)  # so that the receiver asks for more polls until one is answered

    def stop(self) -> None:
        """End all calls but requested snapshots, for good."""
        self._stopped = True
        self._cancel_calls()

    def status(self) -> tuple[SourceStatus, ...]:
        """See EndpointSource."""
        in_contact = not self._last_call_failed and self._last_contact_at is not None
        return (SourceStatus("registry", in_contact, self._last_contact_at),)

    def source_of(self, name: str) -> str:
        """See EndpointSource."""
        return "registry"

    # -- Polls and watches -----------------------------------------------------------------------------

    def _polled_recently(self) -> bool:
        now = asyncio.get_running_loop().time()
        return bool(self._polls) and now < self._last_poll_at + _POLL_INTERVAL_MIN_S

    def _start_poll(self) -> None:
        loop = asyncio.get_running_loop()
        self._last_poll_at = loop.time()
        while len(self._polls) >= _CONCURRENT_POLLS_MAX:
            self._cancel_poll(next(iter(self._polls)))
        self._polls[loop.create_task(self._poll(self._version))] = self._version

    async def _poll(self, version: int | None) -> None:
        """One poll; once it is answered, the other polls end and the watch begins, in the same task."""
        started_at = asyncio.get_running_loop().time()
        result = await self._call(list_target(version, 0.0), _CALL_TIMEOUT_S)
        this = asyncio.current_task()
        assert this is not None
        self._polls.pop(this, None)
        if result.endpoints is None:
            self._publish(None)
            return
        self._cancel_polls()
        self._watch = this
        self._accept(result.endpoints)
        await self._pause_if_idle(version, started_at)
        await self._run_watch()

    async def _run_watch(self) -> None:
        """Watch again as soon as a watch is answered: after more than 200 ms it would count as a new one.

        A watch that times out is followed by a poll at once, since the changes that it withheld are late already.
        """
        loop = asyncio.get_running_loop()
        while True:
            started_at, version = loop.time(), self._version
            wait_s = poll_schedule.jittered_watch_timeout_s(
                self._fleet_size.upper_bound, self._random.random()
            )
            result = await self._call(list_target(version, wait_s), wait_s + _WATCH_MARGIN_S)
            if result.endpoints is None:
                break
            self._accept(result.endpoints)
            await self._pause_if_idle(version, started_at)
        self._watch = None
        self._publish(None)
        if result.timed_out:
            self.watch(True)

    async def _pause_if_idle(self, version: int | None, started_at: float) -> None:
        """Guards against a busy loop with a registry that answers watches at once and without changes."""
        if self._version == version and asyncio.get_running_loop().time() < started_at + _IDLE_PAUSE_S:
            await asyncio.sleep(_IDLE_PAUSE_S)

    def _cancel_calls(self) -> None:
        self._cancel_watch()
        self._cancel_polls()

    def _cancel_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _cancel_polls(self) -> None:
        for poll in list(self._polls):
            self._cancel_poll(poll)

    def _cancel_delta_polls(self) -> None:
        """Cancel polls that asked for changes, and leave those for a snapshot."""
        for poll, version in list(self._polls.items()):
            if version is not None:
                self._cancel_poll(poll)

    def _cancel_poll(self, poll: asyncio.Task[None]) -> None:
        del self._polls[poll]
        poll.cancel()

    # -- Calls -----------------------------------------------------------------------------------------

    async def _fetch(self) -> None:
        endpoints = (await self._call(list_target(None, 0.0), _CALL_TIMEOUT_S)).endpoints
        if endpoints is None:
            self._publish(None)
        else:
            self._accept(endpoints)

    def _accept(self, endpoints: EndpointList) -> None:
        self._version = endpoints.version
        self._publish(endpoints)

    def _publish(self, endpoints: EndpointList | None) -> None:
        """Pass on a call's result.

        Guards against an exception in the receiver: it would end the watch, and no other would begin.
        """
        self._last_call_failed = endpoints is None
        if endpoints is not None:
            self._last_contact_at = asyncio.get_running_loop().time()
        try:
            self._on_update(endpoints)
        except Exception:
            log.exception("discovery: the receiver failed to process a list")

    async def _call(self, target: str, timeout_s: float) -> _CallResult:
        """Make a call and log its result; failures are results, not exceptions."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            endpoints = await registry_client.call(self._address, target, timeout_s)
        except RegistryError as error:
            log.warning("discovery: %s after %.2f s to %s", error, loop.time() - started_at, target)
            return _CallResult(None, timed_out=isinstance(error, RegistryTimeoutError))
        except Exception:
            # Guards against a defect in reading the response: it would end the watch, and no other would begin.
            log.exception("discovery: a response could not be read")
            return _CallResult(None)
        self._log_result(endpoints, loop.time() - started_at)
        return _CallResult(endpoints)

    def _log_result(self, endpoints: EndpointList, took_s: float) -> None:
        """Log changes, and the first answer after a failed call; a watch that ended without changes is not logged."""
        if endpoints.version == self._version and not self._last_call_failed:
            return
        now = asyncio.get_running_loop().time()
        last_contact_at = self._last_contact_at
        age = "first" if last_contact_at is None else f"{now - last_contact_at:.2f} s after the last"
        states = Counter(line.server.state.value for line in endpoints.entries)
        counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items())) or "none"
        kind = "snapshot" if endpoints.complete else "delta"
        former = "nothing" if self._version is None else str(self._version)
        log.info(
            "discovery: %s, version %s to %d: %s; took %.2f s, %s",
            kind, former, endpoints.version, counts, took_s, age,
        )  # fmt: skip
