"""The failure detector: a SWIM-like protocol with Lifeguard's local health.  No I/O; times in microseconds.

The promise.  A member that is declared dead has not been heard, by any member whose messages arrive, for at least
`ProtocolSettings.suspicion_min_us`; so a process that stalls for less than `tolerated_pause_us` is declared dead by
nobody, as long as one of its messages reaches a member that is heard.  A dead member returns only by a newer
incarnation or generation.  A member without a majority declares nobody dead.  Assumed: a monotonic clock in each
process, and no message older than `tombstone_us`.

Beyond SWIM with Lifeguard: evidence that a suspect was heard is gossiped, so that a member that can send and not
receive stays suspect in place of dead; and no suspicion expires without a majority.  docs/design/cluster.md compares
alternatives.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from topazbank.cluster.address_book import AddressBook
from topazbank.cluster.anti_entropy import AntiEntropy
from topazbank.cluster.changes import ChangeLog
from topazbank.cluster.connectivity import Connectivity
from topazbank.cluster.dissemination import Dissemination
from topazbank.cluster.handover import HandoverState
from topazbank.cluster.joining import Joining, Seeds
from topazbank.cluster.last_heard import LastHeard
from topazbank.cluster.local_health import LocalHealth
from topazbank.cluster.local_member import LocalMember
from topazbank.cluster.member import MemberRecord
from topazbank.cluster.member_table import MemberTable
from topazbank.cluster.membership import Membership
from topazbank.cluster.outbox import Outbox, OutgoingMessage
from topazbank.cluster.probing import Prober
from topazbank.cluster.quorum import Quorum
from topazbank.cluster.refutation import Refutation
from topazbank.cluster.settings import RECONNECT_PERIODS, SUSPECT_PROBES_PER_PERIOD, ProtocolSettings
from topazbank.cluster.stall_monitor import StallMonitor
from topazbank.cluster.suspicion import Suspicion
from topazbank.cluster.suspicion_timeouts import SuspicionTimeouts
from topazbank.cluster.wire import WHOLE_TABLE, Message, MessageKind
from topazbank.core.net import Address

_LEAVE_MESSAGES = 32  # members that are notified directly


class FailureDetector:
    """One member's part in the protocol: messages and time in, messages out.  Each part of its state has one owner."""

    def __init__(
        self,
        ident: int,
        generation: int,
        now: int,
        settings: ProtocolSettings,
        seeds: Sequence[Address] = (),
        configured_addresses: Mapping[int, Address] | None = None,
        random_seed: int = 0,
        predecessor: HandoverState | None = None,
    ) -> None:
        """`seeds`: addresses at which others may be.

        `configured_addresses`: by ident; they take precedence over reported ones.  `predecessor`: the state of a
        process of this member that this one continues, in place of `generation`.
        """
        self.settings = settings
        self._random = random.Random(random_seed)
        self.local = LocalMember(ident, generation, now)
        self.table = MemberTable(self._random)
        self.health = LocalHealth(settings.lifeguard)
        self.stalls = StallMonitor(now, settings, self.health)
        self.connectivity = Connectivity(now, self.table, settings, self.health)
        self.quorum = Quorum(now, self.table, settings)
        self.last_heard = LastHeard(settings)
        self.changes = ChangeLog()
        self.seeds = Seeds(seeds, self._random)
        self.addresses = AddressBook(configured_addresses or {}, seeds, self.table)
        self._suspicions: dict[int, Suspicion] = {}  # changed by `membership` alone
        self._dissemination = Dissemination(
            self.local, self.table, self._suspicions, self.last_heard, settings
        )
        self._anti_entropy = AntiEntropy(self.table, settings)
        self._outbox = Outbox(self.local, self.table, self._dissemination, self._anti_entropy, settings)
        self.prober = Prober(self.table, self.addresses, self._outbox, self.health, settings, self._random)
        self._joining = Joining(self.seeds, self.table, self.addresses, self.prober, self._random)
        self.membership = self._make_membership()
        self._suspicion_timeouts = self._make_suspicion_timeouts()
        self._refutation = self._make_refutation()
        self._period = 0
        self._next_period_at = now
        self.due = now  # when `tick` is wanted
        if predecessor is not None:
            self._continue_from(now, predecessor)

    def _make_membership(self) -> Membership:
        return Membership(
            self.local,
            self.table,
            self._suspicions,
            self.last_heard,
            self._dissemination,
            self._anti_entropy,
            self.quorum,
            self.stalls,
            self.changes,
            self.settings,
        )

    def _make_suspicion_timeouts(self) -> SuspicionTimeouts:
        return SuspicionTimeouts(
            self.membership,
            self.table,
            self.last_heard,
            self.connectivity,
            self.quorum,
            self.stalls,
            self.health,
            self.settings,
        )

    def _make_refutation(self) -> Refutation:
        return Refutation(
            self.local,
            self.table,
            self.addresses,
            self._outbox,
            self._dissemination,
            self.health,
            self.stalls,
            self.changes,
            self.settings,
        )

    def _continue_from(self, now: int, predecessor: HandoverState) -> None:
        self.local.continue_generation(
            now, predecessor.generation, predecessor.incarnation, predecessor.sequence
        )
        for record in predecessor.records:
            if record.ident != self.local.ident:
                self.membership.load(now, record)
        self._dissemination.announce(self.local.ident)

    @property
    def digest(self) -> int:
        """The digest of all live members, the local one included."""
        return self._outbox.digest

    @property
    def suspicions(self) -> Mapping[int, Suspicion]:
        """The suspicions of the members that are suspect."""
        return self.membership.suspicions

    def handover_state(self) -> HandoverState:
        """Return what a successor of this process needs."""
        local = self.local
        records = tuple(self.table.records.values())
        return HandoverState(local.generation, local.incarnation, local.sequence, records)

    # -- Time ------------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Do what is due by now; return the messages to send."""
        self._check_stall(now)
        self._run_due(now)
        return self._outbox.take()

    def _check_stall(self, now: int) -> None:
        late_us = now - self.due
        if not self.stalls.is_stall(late_us):
            return
        self.due = now
        if self.settings.stall_detection:
            self._recover_from_stall(now, late_us)

    def _recover_from_stall(self, now: int, late_us: int) -> None:
        distrust_us = self.settings.suspicion_min_us(self.table.cluster_size)
        self.stalls.record(now, distrust_us)
        self.prober.clear()
        self.membership.restart_suspicions(now)
        self.connectivity.reset(now)
        self._next_period_at = now
        if late_us > distrust_us // 2 and self.local.is_active:
            self._refutation.refute(now)  # some may have declared this member dead

    def _run_due(self, now: int) -> None:
        self._run_periods(now)
        self.prober.ask_helpers(now)
        for target in self.prober.take_failed(now):
            self.membership.suspect_unanswered(now, target.ident, target.generation)
        self._suspicion_timeouts.expire(now)
        self.prober.send_nacks(now)
        self.due = self.prober.next_step_at(no_later_than=self._next_period_at)

    def _run_periods(self, now: int) -> None:
        period_us = self.settings.probe_period_us
        if not self.local.is_active:
            self._next_period_at = now + period_us
        while self._next_period_at <= now:
            self._next_period_at += period_us
            if self._next_period_at <= now - period_us:
                self._next_period_at = now  # missed periods are not made up for
            self._run_period(now)

    def _run_period(self, now: int) -> None:
        self._period += 1
        if self._period == 1:
            self._joining.contact_seeds(now)
        target = self.table.next_probe_target()
        if target is not None:
            self.prober.probe(now, target)
        self._ping_own_suspects(now, target)
        if self._period % RECONNECT_PERIODS == 0 or not self.table.live_count:
            self._joining.reconnect(now)
        self.membership.expire_tombstones(now)

    def _ping_own_suspects(self, now: int, probed: MemberRecord | None) -> None:
        """Ping some suspects that this member's own probes found: each learns of it, and may refute."""
        own = [ident for ident, suspicion in self.suspicions.items() if suspicion.is_own]
        for ident in self._random.sample(own, min(len(own), SUSPECT_PROBES_PER_PERIOD)):
            if probed is None or ident != probed.ident:
                self.prober.ping_member(now, self.table.records[ident])

    # -- Messages --------------------------------------------------------------------------------------

    def handle(self, now: int, message: Message, source: Address) -> list[OutgoingMessage]:
        """Take a message that came from `source`; return the messages to send."""
        self._check_stall(now)
        if self.local.left:
            return []
        is_own_name = message.sender == self.local.ident
        if not is_own_name:
            self._hear_sender(now, message, source)
        elif message.generation > self.local.generation:
            claim = MemberRecord(message.sender, message.generation, message.incarnation)
            self._refutation.handle_claim(now, claim)
        for record in message.records:
            if record.ident == self.local.ident:
                self._refutation.handle_claim(now, record)
            else:
                self.membership.apply(now, record, message.sender, source)
        if not is_own_name and self.local.superseded_by is None:
            self._answer(now, message, source)
            self._compare_tables(now, message, source)
        self._run_due(now)
        return self._outbox.take()

    def _hear_sender(self, now: int, message: Message, source: Address) -> None:
        if self.membership.is_outdated(message):
            return
        is_recorded = self.membership.record_sender(now, message, source)
        self.seeds.note_answer(source)
        if is_recorded:
            self.connectivity.note_message(now)
            self.membership.note_heard(now, message.sender, now)

    def _answer(self, now: int, message: Message, source: Address) -> None:
        if message.kind is MessageKind.PING:
            if message.target in (0, self.local.ident):
                probe_id, ident = message.probe_id, self.local.ident
                self._outbox.send(now, source, MessageKind.ACK, probe_id, ident, subject=message.sender)
        elif message.kind is MessageKind.PING_REQ:
            self.prober.probe_for(now, message, source)
        elif message.kind is MessageKind.ACK:
            self._handle_ack(now, message)
        elif message.kind is MessageKind.NACK:
            self.prober.note_nack(message)

    def _handle_ack(self, now: int, message: Message) -> None:
        if not self.prober.note_ack(now, message):
            return
        self.connectivity.note_answer(now)
        if message.target in self.table.records and message.target != message.sender:
            self.membership.note_heard(now, message.target, now)

    def _compare_tables(self, now: int, message: Message, source: Address) -> None:
        """Send digests where the tables go on to differ, and reply to the sender's digests and requests."""
        is_equal = message.digest == self.digest
        if is_equal:
            self._anti_entropy.note_equal(now)
        is_joining = self.local.is_joining(now) or message.cluster_size > 2 * self.table.cluster_size
        has_gossip = self._dissemination.has_updates and not is_joining
        if not is_equal and self._anti_entropy.begin_sync(now, is_joining=is_joining, has_gossip=has_gossip):
            self._outbox.send(now, source, MessageKind.GOSSIP, digest_prefix=WHOLE_TABLE)
        for reply in self._anti_entropy.replies(message, self.local.record, self._random):
            self._outbox.send(
                now,
                source,
                MessageKind.GOSSIP,
                records=reply.records,
                digest_prefix=reply.digest_prefix,
                requested_prefix=reply.requested_prefix,
            )

    # -- Leaving and resuming --------------------------------------------------------------------------

    def leave(self, now: int) -> list[OutgoingMessage]:
        """Leave the cluster for this generation; return the messages that tell others."""
        if not self.local.is_active:
            return []
        self.local.left = True
        for record in self.table.sample_alive(_LEAVE_MESSAGES):
            address = self.addresses.of_record(record)
            if address is not None:
                self._outbox.send(now, address, MessageKind.GOSSIP, records=(self.local.record,))
        return self._outbox.take()

    def resume(self, now: int) -> None:
        """Take part again, after a successor of this process has ended."""
        self.local.resume()
        self._next_period_at = self.due = now
        self.connectivity.reset(now)
        self._refutation.refute(now)
