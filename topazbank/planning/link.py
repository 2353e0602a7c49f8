"""A forwarder's connections to planners: summaries out, plans in, by MessagePack-RPC over connections it opens.

Every planner hears every summary, so that standbys are warm.  One call is out to each planner at a time; one that does
not answer is dialled again, after longer and longer with jitter.  Nothing here holds a request up.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

import msgpack

from topazbank.core.net import Address
from topazbank.planning.plan import US_PER_S, Plan
from topazbank.planning.wire import DOCUMENT_BYTES_MAX, SUMMARY_METHOD, InvalidDocument, decode_plan

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 1.0  # a planner that takes longer is dialled again
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.1, 5.0  # between dials of one that is not there, with jitter of as much
PERIOD_US_MIN, PERIOD_US_MAX = US_PER_S // 50, 10 * US_PER_S  # microseconds: what a planner may ask for

Hear = Callable[[int, Plan], None]  # when the plan was asked for, and the plan


class PlannerLink(asyncio.Protocol):
    """The connection to one planner, opened again when it has ended."""

    def __init__(self, address: Address, now: Callable[[], int], hear: Hear, seed: int) -> None:
        self.address = address
        self.period_us: int | None = None  # microseconds that it asks to be left between summaries
        self.responses = 0
        self.invalid_responses = 0  # answers that were none
        self._now, self._hear = now, hear
        self._random = random.Random(seed)
        self._transport: asyncio.Transport | None = None
        self._unpacker: Any = None
        self._dial: asyncio.Task[None] | None = None
        self._backoff_s = BACKOFF_MIN_S
        self._dial_at = 0.0
        self._msgid = 0
        self._asked_at: int | None = None  # of the call that is out
        self._late: asyncio.TimerHandle | None = None

    def send(self, summary: bytes) -> None:
        """Send a summary unless the last one is unanswered yet; dial where there is no connection."""
        loop = asyncio.get_running_loop()
        if self._transport is None:
            if self._dial is None and loop.time() >= self._dial_at:
                self._dial = loop.create_task(self._open())
            return
        if self._asked_at is not None:
            return
        self._msgid = (self._msgid + 1) & 0xFFFFFFFF
        self._asked_at = self._now()
        self._late = loop.call_later(RESPONSE_TIMEOUT_S, self._drop)
        self._transport.write(msgpack.packb([0, self._msgid, SUMMARY_METHOD, [summary]]))

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self._wait_longer()
        finally:
            self._dial = None

    def _wait_longer(self) -> None:
        loop = asyncio.get_running_loop()
        self._dial_at = loop.time() + self._backoff_s * (1.0 + self._random.random())
        self._backoff_s = min(2.0 * self._backoff_s, BACKOFF_MAX_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * DOCUMENT_BYTES_MAX)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._over()
        self._wait_longer()

    def data_received(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self._answer(message)
        except Exception as bad:  # msgpack raises what its parts do
            self.invalid_responses += 1
            log.warning("planner %s:%d makes no sense: %r", *self.address, bad)
            self._drop()

    def _answer(self, message: Any) -> None:
        kind, msgid, error, result = message
        if kind != 1 or msgid != self._msgid or self._asked_at is None:
            return  # late, or twice
        asked_at = self._asked_at
        self._over()
        if error is not None:
            self.invalid_responses += 1
            log.warning("planner %s:%d does not take the summary: %.120r", *self.address, error)
            return
        document, period = result
        self.responses += 1
        self._backoff_s = BACKOFF_MIN_S
        self.period_us = max(PERIOD_US_MIN, min(int(period), PERIOD_US_MAX))
        if document is None:
            return  # a standby
        try:
            plan = decode_plan(document)
        except InvalidDocument as bad:
            self.invalid_responses += 1
            log.warning("planner %s:%d sent no plan: %s", *self.address, bad)
            return
        self._hear(asked_at, plan)

    def _over(self) -> None:
        self._asked_at = None
        if self._late is not None:
            self._late.cancel()
            self._late = None

    def _drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def stop(self) -> None:
        if self._dial is not None:
            self._dial.cancel()
        self._over()
        self._drop()
