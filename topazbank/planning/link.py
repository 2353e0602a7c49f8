"""A forwarder's connection to one planner: sends summaries and receives plans over MessagePack-RPC.

A forwarder sends each summary to every planner, so that standbys know the fleet when they take over.  At most one call
is in flight to each planner.  If a planner does not respond in time, the link reconnects with exponential backoff and
jitter.  Nothing here delays a request.
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

RESPONSE_TIMEOUT_S = 1.0
BACKOFF_MIN_S, BACKOFF_MAX_S = 0.1, 5.0  # jitter adds up to 100 %
PERIOD_US_MIN, PERIOD_US_MAX = US_PER_S // 50, 10 * US_PER_S  # limits of the period that a planner requests
_MESSAGE_ID_MASK = 0xFFFFFFFF
_REQUEST, _RESPONSE = 0, 1  # MessagePack-RPC's message types

PlanCallback = Callable[[int, Plan], None]  # receives the time at which the plan was requested, and the plan


class PlannerLink(asyncio.Protocol):
    """The connection to one planner; `send` reopens it after it is lost."""

    def __init__(self, address: Address, now: Callable[[], int], on_plan: PlanCallback, seed: int) -> None:
        self.address = address
        self.period_us: int | None = None  # between summaries, as the planner requests; None: no response yet
        self.responses = 0
        self.invalid_responses = 0
        self._now, self._on_plan = now, on_plan
        self._random = random.Random(seed)
        self._transport: asyncio.Transport | None = None
        self._unpacker: Any = None
        self._connecting: asyncio.Task[None] | None = None
        self._backoff_s = BACKOFF_MIN_S
        self._connect_not_before_s = 0.0
        self._message_id = 0
        self._requested_at: int | None = None  # time of the call in flight; None: no call is in flight
        self._timeout: asyncio.TimerHandle | None = None

    def send(self, summary: bytes) -> None:
        """Send a summary unless a call is in flight; without a connection, open one instead."""
        loop = asyncio.get_running_loop()
        if self._transport is None:
            if self._connecting is None and loop.time() >= self._connect_not_before_s:
                self._connecting = loop.create_task(self._connect())
            return
        if self._requested_at is not None:
            return
        self._message_id = (self._message_id + 1) & _MESSAGE_ID_MASK
        self._requested_at = self._now()
        self._timeout = loop.call_later(RESPONSE_TIMEOUT_S, self._abort)
        self._transport.write(msgpack.packb([_REQUEST, self._message_id, SUMMARY_METHOD, [summary]]))

    def stop(self) -> None:
        """Close the connection and cancel any connection attempt."""
        if self._connecting is not None:
            self._connecting.cancel()
        self._end_call()
        self._abort()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self._back_off()
        finally:
            self._connecting = None

    def _back_off(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._connect_not_before_s = now_s + self._backoff_s * (1.0 + self._random.random())
        self._backoff_s = min(2.0 * self._backoff_s, BACKOFF_MAX_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio.Protocol callback: store the transport and create the message decoder."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * DOCUMENT_BYTES_MAX)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio.Protocol callback: end the call in flight and back off."""
        self._transport = None
        self._end_call()
        self._back_off()

    def data_received(self, data: bytes) -> None:
        """asyncio.Protocol callback: handle each complete message; abort the connection on an invalid one."""
        try:
            self._unpacker.feed(data)
            for message in self._unpacker:
                self._handle_response(message)
        except Exception as error:  # msgpack raises errors of many types
            self.invalid_responses += 1
            log.warning("planner %s:%d: invalid response: %r", *self.address, error)
            self._abort()

    def _handle_response(self, message: Any) -> None:
        message_type, message_id, error, result = message
        if message_type != _RESPONSE or message_id != self._message_id or self._requested_at is None:
            return  # a late or duplicate response
        requested_at = self._requested_at
        self._end_call()
        if error is not None:
            self.invalid_responses += 1
            log.warning("planner %s:%d: summary rejected: %.120r", *self.address, error)
            return
        document, period_us = result
        self.responses += 1
        self._backoff_s = BACKOFF_MIN_S
        self.period_us = max(PERIOD_US_MIN, min(int(period_us), PERIOD_US_MAX))
        if document is not None:  # None: the planner is a standby
            self._handle_plan(requested_at, document)

    def _handle_plan(self, requested_at: int, document: Any) -> None:
        try:
            plan = decode_plan(document)
        except InvalidDocument as error:
            self.invalid_responses += 1
            log.warning("planner %s:%d: invalid plan: %s", *self.address, error)
            return
        self._on_plan(requested_at, plan)

    def _end_call(self) -> None:
        self._requested_at = None
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
