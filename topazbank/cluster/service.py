"""Runs cluster membership: connects the failure detector to datagrams, timers and the rest of the program."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from topazbank.balancing.fleet import FleetQuota
from topazbank.cluster.changes import MemberChange
from topazbank.cluster.failure_detector import FailureDetector
from topazbank.cluster.handover import handover_from_json, handover_to_json
from topazbank.cluster.member import (
    ENDED_GENERATIONS_MAX,
    Generations,
    MemberState,
    ProcessGeneration,
    ident_of,
)
from topazbank.cluster.naming import MemberNames
from topazbank.cluster.outbox import OutgoingMessage
from topazbank.cluster.rate_limit import RateLimit
from topazbank.cluster.settings import ProtocolSettings
from topazbank.cluster.status import change_status, member_status
from topazbank.cluster.view import View
from topazbank.cluster.wire import InvalidMessage, Message, decode, encode
from topazbank.core.components import SidecarConfig
from topazbank.core.net import Address
from topazbank.estimation.fleet_size import FleetSize
from topazbank.operator_config import ClusterConfig
from topazbank.quota.service import QuotaService
from topazbank.quota.wire import is_quota_message

log = logging.getLogger(__name__)

DATAGRAMS_PER_SECOND_MAX = 500  # the excess is dropped without being decoded
LOG_LINES_PER_SECOND_MAX = 10
_STATUS_CHANGES_MAX = 512  # the status lists the latest changes
_TIMER_MIN_US = 1000


class ClusterService:
    """The cluster membership of one sidecar process."""

    def __init__(
        self,
        operator: ClusterConfig,
        config: SidecarConfig,
        fleet_size: FleetSize,
        predecessor: Mapping[str, Any],
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
        wall_clock: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Create the service; `start` begins to send.

        `predecessor`: the state handed over by an earlier process of this member; empty without a hand-over.
        `clock`: monotonic microseconds.
        `wall_clock`: Unix milliseconds; it may be set back between two processes of this member.
        """
        assert config.gossip is not None
        self._clock = clock
        self._fleet_size = fleet_size
        self._configured_size = config.settings.fleet_size
        self._key = operator.key.encode()
        self._names = MemberNames(
            operator.name, config.gossip.members, config.gossip.listen, config.settings.instance
        )
        self.detector = FailureDetector(
            self._names.local_ident,
            wall_clock(),
            clock(),
            _protocol_settings(operator),
            self._names.seeds,
            self._names.addresses,
            config.seed & 0xFFFFFFFF,
            handover_from_json(predecessor),
        )
        self.view = View(self.detector)
        self._known_addresses = self.detector.addresses.all()
        self._addresses_outdated = False
        self.dropped: Counter[str] = Counter()  # datagrams by reason: flood, stranger or unreadable
        self._changes: list[dict[str, Any]] = []
        self._send: Callable[[Address, bytes], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._datagram_limit = RateLimit(DATAGRAMS_PER_SECOND_MAX)
        self._log_limit = RateLimit(LOG_LINES_PER_SECOND_MAX)
        self._sent = 0
        self._is_suspended = False
        self.quota: QuotaService | None = None  # its messages arrive on the same socket

    @property
    def name(self) -> str:
        """The local member's name."""
        return self._names.local_name

    # -- Life cycle ------------------------------------------------------------------------------------

    def start(self, send: Callable[[Address, bytes], None]) -> None:
        """Begin to send and receive; `send` transmits one datagram."""
        self._send = send
        self._tick()
        if self.quota is not None:
            self.quota.start(send)

    def stop(self) -> None:
        """Stop without notifying the other members."""
        self._cancel_timer()
        if self.quota is not None:
            self.quota.stop()
        self._send = None

    def leave(self) -> None:
        """Announce that this sidecar leaves the cluster, unless a successor process has taken over this member."""
        if self.quota is not None:
            self.quota.leave()
        if not self._is_suspended:
            self._send_all(self.detector.leave(self._clock()))

    def suspend(self) -> None:
        """Stop participating while a successor process acts as this member."""
        self._is_suspended = True
        if self.quota is not None:
            self.quota.suspend()
        self._cancel_timer()

    def resume(self) -> None:
        """Participate again after the successor process has ended."""
        if not self._is_suspended or self._send is None:
            return
        self._is_suspended = False
        log.info("cluster: resumed after the successor process ended")
        self.detector.resume(self._clock())
        self._tick()
        if self.quota is not None:
            self.quota.resume()

    # -- Datagrams and timers --------------------------------------------------------------------------

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Process a datagram; count and drop it unless it is a valid message from a member."""
        if self._is_suspended:
            return
        if self.quota is not None and is_quota_message(data):
            if self._is_accepted_source(source):
                self.quota.handle_datagram(data, source)
            return
        if not self._datagram_limit.allows(self._clock()):
            self.dropped["flood"] += 1
            return
        if not self._is_accepted_source(source):
            self.dropped["stranger"] += 1
            return
        message = self._decode(data)
        if message is None:
            self.dropped["unreadable"] += 1
            return
        self._finish_step(self.detector.handle(self._clock(), message, source))

    def _is_accepted_source(self, source: Address) -> bool:
        """Whether to accept messages from this address; with a key the checksum authenticates them instead."""
        return bool(self._key) or self._is_known_address(source)

    def _is_known_address(self, source: Address) -> bool:
        if source not in self._known_addresses and self._addresses_outdated:
            self._known_addresses = self.detector.addresses.all()
            self._addresses_outdated = False
        return source in self._known_addresses

    def _decode(self, data: bytes) -> Message | None:
        if len(data) > self.detector.settings.datagram_bytes:
            return None
        try:
            return decode(data, self._key)
        except InvalidMessage:
            return None

    def _tick(self) -> None:
        self._finish_step(self.detector.tick(self._clock()))

    def _finish_step(self, messages: list[OutgoingMessage]) -> None:
        """Send the messages, publish state changes, and set the next timer."""
        self._send_all(messages)
        now = self._clock()
        for change in self.detector.changes.take():
            self._publish_change(change)
        self._publish_view(now)
        self._cancel_timer()
        wait_us = max(self.detector.due - now, _TIMER_MIN_US)
        self._timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self._tick)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_all(self, messages: list[OutgoingMessage]) -> None:
        if self._send is None:
            return
        for outgoing in messages:
            self._sent += 1
            self._send(outgoing.to, encode(outgoing.message, self._key))

    # -- Publishing state changes ----------------------------------------------------------------------

    def _publish_view(self, now: int) -> None:
        was_isolated = self.view.is_isolated
        if self.view.refresh(now):
            self._fleet_size.upper_bound = max(self.view.max_cluster_size(now, self._configured_size), 1)
        if was_isolated is not self.view.is_isolated:
            connectivity = "isolated" if self.view.is_isolated else "connected"
            recent_size = self.detector.quorum.recent_size(now)
            self._log(
                f"cluster: {connectivity}, {self.view.present_count()} of {recent_size} recent members present"
            )

    def _publish_change(self, change: MemberChange) -> None:
        self._addresses_outdated = True
        name = self._names.name(change.ident)
        self._changes.append(change_status(change, name))
        del self._changes[:-_STATUS_CHANGES_MAX]
        old_state = "unknown" if change.old is None else change.old.name.lower()
        new_state = "forgotten" if change.new is None else change.new.name.lower()
        self._log(f"cluster: member {name} changed from {old_state} to {new_state}: {change.reason.value}")
        number = self._names.number(change.ident)
        if number is not None and change.new in (MemberState.DEAD, MemberState.LEFT):
            self._fleet_size.notify_departed(number)

    def _log(self, message: str) -> None:
        if self._log_limit.allows(self._clock()):
            log.info("%s", message)

    # -- Queries ---------------------------------------------------------------------------------------

    def handover_state(self) -> dict[str, Any]:
        """Return the state to hand over to a successor process."""
        return handover_to_json(self.detector.handover_state())

    def address_of(self, name: str) -> Address | None:
        """Return the address of the member with this name; None if it is unknown."""
        return self.detector.addresses.of(ident_of(name))

    def fleet_quota(self, offset_us: int) -> FleetQuota | None:
        """Return the quotas that requests are charged to; `offset_us`: the caller's clock minus this service's."""
        return self.quota.fleet_quota(offset_us) if self.quota is not None else None

    def generations(self) -> Generations:
        """Return the local generation and those known to have ended; the planners read them."""
        local = self.detector.local
        ended = self.view.ended_generations(self._clock(), ENDED_GENERATIONS_MAX)
        return Generations(ProcessGeneration(local.ident, local.generation), ended)

    def status(self) -> dict[str, Any]:
        """Return the status for operators; its keys are a stable interface."""
        now = self._clock()
        detector, names = self.detector, self._names
        return {
            "name": self.name,
            "now": now,
            "pid": os.getpid(),
            "life": detector.local.generation,
            "incarnation": detector.local.incarnation,
            "cut_off": self.view.is_isolated,
            "number": self.view.version,
            "sure": round(self.view.present_ratio(now), 3),
            "at_most": self.view.max_cluster_size(now, self._configured_size),
            "goes_by": self._fleet_size.upper_bound,
            "taken": detector.local.superseded_by is not None,
            "troubles": detector.health.score,
            "stalls": detector.stalls.count,
            "sent": self._sent,
            "dropped": dict(self.dropped),
            "budgets": self.quota.status() if self.quota is not None else None,
            "members": [
                member_status(member, names.name(member.ident), names.name_of_short)
                for member in self.view.members(now)
            ],
            "changes": self._changes,
        }


def _protocol_settings(operator: ClusterConfig) -> ProtocolSettings:
    return ProtocolSettings(
        operator.probe_period_ms * 1000,
        operator.tolerated_pause_ms * 1000,
        operator.forget_after_s * 1_000_000,
        operator.datagram_bytes_max,
    )
