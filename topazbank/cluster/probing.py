"""Probes: direct pings, indirect probes through helpers, and probes made for others; no I/O, times in microseconds.

A probe begins with a ping.  If no ack arrives within a fraction of the period, helpers are asked to ping the member,
and the ping is repeated, since the first may have been lost.  The probe fails at its timeout, which grows as the local
health degrades.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from topazbank.cluster.address_book import AddressBook
from topazbank.cluster.local_health import LocalHealth
from topazbank.cluster.member import MemberRecord, ProcessGeneration
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.outbox import Outbox
from topazbank.cluster.settings import INDIRECT_PROBES, ProtocolSettings
from topazbank.cluster.wire import Message, MessageKind
from topazbank.core.net import Address

RELAYED_PROBES_MAX = 64  # concurrent probes on behalf of other members
FAILED_PROBES_MAX = 32  # failed probes remembered, to recognise late acks
_DIRECT_PROBE_RATIO = 0.4  # of a period, to wait for a direct ack; a local network needs 1 % of that
_INITIAL_PROBE_IDS = 1 << 31


@dataclass(slots=True)
class _Probe:
    """A probe by the local member.  It lasts a few periods at most, so few are in flight."""

    target: ProcessGeneration
    address: Address
    ask_helpers_at: int
    fails_at: int
    has_asked_helpers: bool = False
    helpers: int = 0
    nacks: int = 0

    @property
    def next_step_at(self) -> int:
        return self.fails_at if self.has_asked_helpers else self.ask_helpers_at


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """A probe on behalf of another member."""

    requester: Address
    requester_probe_id: int
    target: int
    nack_at: int


class Prober:
    """All probes in flight."""

    def __init__(
        self,
        table: MemberTable,
        addresses: AddressBook,
        outbox: Outbox,
        health: LocalHealth,
        settings: ProtocolSettings,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._addresses = addresses
        self._outbox = outbox
        self._health = health
        self._settings = settings
        self._last_probe_id = rng.randrange(_INITIAL_PROBE_IDS)
        self._probes: dict[int, _Probe] = {}
        self._failed: dict[int, int] = {}  # failed probe ids and the idents of their targets, oldest first
        self._relayed: dict[int, _RelayedProbe] = {}

    def clear(self) -> None:
        """Cancel all probes after a stall, which makes their timeouts meaningless."""
        self._probes.clear()
        self._relayed.clear()

    def next_step_at(self, no_later_than: int) -> int:
        """Return when the next step of any probe is due."""
        steps = [probe.next_step_at for probe in self._probes.values()]
        nacks = [relayed.nack_at for relayed in self._relayed.values()]
        return min([no_later_than, *steps, *nacks])

    # -- Probes by the local member --------------------------------------------------------------------

    def ping(self, now: int, address: Address, target: int = 0) -> int:
        """Send a ping without starting a probe, so it may go unanswered; return its probe id."""
        self._last_probe_id = (self._last_probe_id + 1) & 0xFFFFFFFF
        self._outbox.send(now, address, MessageKind.PING, self._last_probe_id, target)
        return self._last_probe_id

    def ping_member(self, now: int, record: MemberRecord) -> None:
        """Ping a member, if its address is known, without starting a probe: it may go unanswered."""
        address = self._addresses.of_record(record)
        if address is not None:
            self.ping(now, address, record.ident)

    def probe(self, now: int, record: MemberRecord) -> None:
        """Begin a probe of a member, if its address is known."""
        address = self._addresses.of_record(record)
        if address is None:
            return
        period_us = self._settings.probe_period_us
        direct_us = self._health.scale_timeout(int(_DIRECT_PROBE_RATIO * period_us))
        ask_helpers_at = now + min(direct_us, 2 * period_us)
        fails_at = now + self._health.scale_timeout(period_us)
        probe_id = self.ping(now, address, record.ident)
        target = ProcessGeneration(record.ident, record.generation)
        self._probes[probe_id] = _Probe(target, address, ask_helpers_at, fails_at)

    def ask_helpers(self, now: int) -> None:
        """Send the indirect probes that are due."""
        due = [
            (probe_id, probe)
            for probe_id, probe in self._probes.items()
            if probe.ask_helpers_at <= now and not probe.has_asked_helpers
        ]
        for probe_id, probe in due:
            probe.has_asked_helpers = True
            probe.helpers = self._probe_indirectly(now, probe_id, probe.target.ident)
            self._outbox.send(now, probe.address, MessageKind.PING, probe_id, probe.target.ident)

    def _probe_indirectly(self, now: int, probe_id: int, target: int) -> int:
        """Ask helpers to ping a member; return how many were asked."""
        asked = 0
        for helper in self._table.sample_alive(INDIRECT_PROBES, (target,)):
            address = self._addresses.of_record(helper)
            if address is not None:
                asked += 1
                self._outbox.send(now, address, MessageKind.PING_REQ, probe_id, target)
        return asked

    def take_failed(self, now: int) -> Sequence[ProcessGeneration]:
        """Remove the probes that have timed out; return their targets."""
        due = [probe_id for probe_id, probe in self._probes.items() if probe.fails_at <= now]
        return [self._fail(probe_id) for probe_id in due]

    def _fail(self, probe_id: int) -> ProcessGeneration:
        probe = self._probes.pop(probe_id)
        while len(self._failed) >= FAILED_PROBES_MAX:
            del self._failed[next(iter(self._failed))]
        self._failed[probe_id] = probe.target.ident
        if probe.helpers and not probe.nacks:
            self._health.degrade()  # no helper replied either
        return probe.target

    def note_nack(self, message: Message) -> None:
        """Record that a helper replied but has not reached the target."""
        probe = self._probes.get(message.probe_id)
        if probe is not None:
            probe.nacks += 1

    def note_ack(self, now: int, message: Message) -> bool:
        """Process or forward an ack; return whether it answers a probe by the local member."""
        relayed = self._relayed.pop(message.probe_id, None)
        if relayed is not None and relayed.target == message.target:
            self._forward_ack(now, relayed)
            return False
        probe = self._probes.get(message.probe_id)
        if probe is not None and probe.target.ident == message.target:
            del self._probes[message.probe_id]
            self._health.improve()
            return True
        if self._failed.pop(message.probe_id, None) == message.target:
            self._health.degrade()  # the ack arrived after the local timeout
            return True
        return message.target == message.sender  # an ack of a ping sent outside a probe

    # -- Probes on behalf of other members -------------------------------------------------------------

    def probe_for(self, now: int, message: Message, requester: Address) -> None:
        """Ping a member on behalf of another, or send a nack immediately if that is not possible."""
        address = self._addresses.of(message.target)
        if address is None or len(self._relayed) >= RELAYED_PROBES_MAX:
            self._outbox.send(now, requester, MessageKind.NACK, message.probe_id, message.target)
            return
        nack_at = now + int(_DIRECT_PROBE_RATIO * self._settings.probe_period_us)
        probe_id = self.ping(now, address, message.target)
        self._relayed[probe_id] = _RelayedProbe(requester, message.probe_id, message.target, nack_at)

    def _forward_ack(self, now: int, relayed: _RelayedProbe) -> None:
        self._outbox.send(
            now,
            relayed.requester,
            MessageKind.ACK,
            relayed.requester_probe_id,
            relayed.target,
            subject=relayed.target,
        )

    def send_nacks(self, now: int) -> None:
        """Send a nack for each target that has not answered in time."""
        due = [probe_id for probe_id, relayed in self._relayed.items() if relayed.nack_at <= now]
        for probe_id in due:
            relayed = self._relayed.pop(probe_id)
            self._outbox.send(
                now, relayed.requester, MessageKind.NACK, relayed.requester_probe_id, relayed.target
            )
