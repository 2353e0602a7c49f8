"""The endpoint source for the platform's registry: HTTP polls and watches.

This module decides the order of polls and watches; estimation/poll_schedule.py decides when a poll is due.
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

# Time allowed for a watch's response after the watch's own wait.  Changes must be received within 2 s of that wait.
# Most of the 2 s is reserved for the next call, which may queue behind the calls of all sidecars whose watches timed
# out at the same moment.
_WATCH_MARGIN_S = 0.3
_CALL_TIMEOUT_S = 5.0  # for a call that does not wait for changes
_CONCURRENT_POLLS_MAX = 3  # a further poll cancels the oldest
_POLL_INTERVAL_MIN_S = 0.15  # minimum time between the starts of concurrent polls
# Pause between watches that return at once without changes.  It is less than the 200 ms after which a watch counts as a
# new one.
_IDLE_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class _CallResult:
    endpoints: EndpointList | None  # None: the call failed
    timed_out: bool = False


class RegistrySource:
    """Follows the registry's endpoint list; each call uses its own connection.

    There are two kinds of calls.  Polls do not wait for changes and are sent until one is answered.  After that a
    watch, which waits for changes, is repeated.  After a watch fails or times out, polls are sent again.  `watch`
    starts a poll in addition to those still in flight, so that a lost poll does not delay the others.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_update: Callable[[EndpointList | None], None],
        fleet_size: FleetSize | None = None,
        seed: int | None = None,
    ) -> None:
        """`version`: of the last list; `fleet_size`: sidecars of this registry; `seed`: for the jitter of watches."""
        self._address = address
        self._fleet_size = fleet_size or FleetSize(1)
        self._random = random.Random(seed)
        self._version: int | None = version  # None: the next call requests a snapshot
        self._on_update = on_update
        self._stopped = False
        self._last_contact_at: float | None = None
        self._last_call_failed = False
        self._watch: asyncio.Task[None] | None = None
        # Polls in flight, oldest first, each with the version that it sent; at most _CONCURRENT_POLLS_MAX.
        self._polls: dict[asyncio.Task[None], int | None] = {}
        self._last_poll_at = -math.inf
        # `fetch` calls in flight, each for at most _CALL_TIMEOUT_S.
        self._fetches: set[asyncio.Task[None]] = set()

    # -- EndpointSource --------------------------------------------------------------------------------

    def watch(self, wanted: bool) -> None:
        """Start or stop following the list; while no poll has been answered, start an additional one."""
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
        """Request a snapshot from `address` at once, since the current list may be stale.

        If the address is unchanged, snapshot requests in flight continue: a slow registry keeps its full time to answer
        even if its address is set repeatedly.
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
        self._publish(None)  # the receiver then starts further polls until one is answered

    def stop(self) -> None:
        """Permanently stop all calls except `fetch` calls."""
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
        """Poll once; on success, cancel the other polls and watch in this same task."""
        started_at = asyncio.get_running_loop().time()
        result = await self._call(list_target(version, 0.0), _CALL_TIMEOUT_S)
        task = asyncio.current_task()
        assert task is not None
        self._polls.pop(task, None)
        if result.endpoints is None:
            self._publish(None)
            return
        self._cancel_polls()
        self._watch = task
        self._accept(result.endpoints)
        await self._pause_if_idle(version, started_at)
        await self._run_watch()

    async def _run_watch(self) -> None:
        """Repeat the watch as soon as it is answered: after more than 200 ms it would count as a new watch.

        After a watch times out, a poll is sent at once, since the changes that the watch should have returned are late.
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
        """Pause to avoid a busy loop with a registry that answers watches at once without changes."""
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
        """Cancel polls that request changes; polls that request a snapshot continue."""
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
        """Pass a call's result to the receiver.

        An exception in the receiver is logged, since it would otherwise end the watch without starting another call.
        """
        self._last_call_failed = endpoints is None
        if endpoints is not None:
            self._last_contact_at = asyncio.get_running_loop().time()
        try:
            self._on_update(endpoints)
        except Exception:
            log.exception("discovery: the receiver failed to process a list")

    async def _call(self, target: str, timeout_s: float) -> _CallResult:
        """Make a call and log its result; a failure is returned, not raised."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            endpoints = await registry_client.call(self._address, target, timeout_s)
        except RegistryError as error:
            log.warning(
                "discovery: call failed: %s; after %.2f s, request target %s",
                error,
                loop.time() - started_at,
                target,
            )
            return _CallResult(None, timed_out=isinstance(error, RegistryTimeoutError))
        except Exception:
            # A defect in reading the response would otherwise end the watch without starting another call.
            log.exception("discovery: unexpected error while reading a response")
            return _CallResult(None)
        self._log_result(endpoints, loop.time() - started_at)
        return _CallResult(endpoints)

    def _log_result(self, endpoints: EndpointList, elapsed_s: float) -> None:
        """Log changes and the first response after a failed call, but not a watch that ended without changes."""
        if endpoints.version == self._version and not self._last_call_failed:
            return
        now = asyncio.get_running_loop().time()
        last_contact_at = self._last_contact_at
        age = "first" if last_contact_at is None else f"{now - last_contact_at:.2f} s after the last"
        states = Counter(entry.server.state.value for entry in endpoints.entries)
        counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items())) or "none"
        kind = "snapshot" if endpoints.complete else "delta"
        previous_version = "nothing" if self._version is None else str(self._version)
        log.info(
            "discovery: %s, version %s to %d: %s; took %.2f s, %s",
            kind, previous_version, endpoints.version, counts, elapsed_s, age,
        )  # fmt: skip
