"""The failure detector: a SWIM-like protocol with Lifeguard's local health.  No I/O; times in microseconds.

Guarantees: before a member is declared dead, no member whose own messages still arrive has heard from it for at least
`ProtocolSettings.suspicion_min_us`.  A process that stalls for less than `tolerated_pause_us` is therefore not declared
dead, provided that one of its messages reaches a member that others still hear.  A dead member returns only with a
newer incarnation or generation.  A member without a majority declares nobody dead.  Assumptions: each process has a
monotonic clock, and no message arrives later than `tombstone_us` after it was sent.

Extensions of SWIM with Lifeguard: members gossip evidence that a suspect was heard, so a member that can send but not
receive stays suspect instead of being declared dead.  No suspicion expires without a majority.  docs/design/cluster.md
compares alternatives.
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

_LEAVE_NOTICES_MAX = 32  # members notified directly when this member leaves


class FailureDetector:
    """The protocol state machine of one member.

    Its input is messages and the time; its output is messages to send.  Each part of its state has one owner.
    """

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
        """Start at time `now`, as a new process or as the successor of `predecessor`.

        `seeds`: addresses to contact when joining.  `configured_addresses`: addresses by ident, which take precedence
        over reported ones.  `predecessor`: the state handed over by the previous process of this member; its
        generation is used in place of `generation`.
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
        self._suspicions: dict[int, Suspicion] = {}  # modified only by `membership`
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
        self.due = now  # when `tick` must be called next
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
        """The digest of all live members, including the local one."""
        return self._outbox.digest

    @property
    def suspicions(self) -> Mapping[int, Suspicion]:
        """The current suspicions, by ident of the suspect."""
        return self.membership.suspicions

    def handover_state(self) -> HandoverState:
        """Return the state from which a successor of this process continues."""
        local = self.local
        records = tuple(self.table.records.values())
        return HandoverState(local.generation, local.incarnation, local.sequence, records)

    # -- Time ------------------------------------------------------------------------------------------

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Run all actions that are due; return the messages to send."""
        self._check_stall(now)
        self._run_due_actions(now)
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
            self._refutation.refute(now)  # other members may have declared this member dead

    def _run_due_actions(self, now: int) -> None:
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
                self._next_period_at = now  # missed periods are skipped, not caught up on
            self._run_period(now)

    def _run_period(self, now: int) -> None:
        self._period += 1
        if self._period == 1:
            self._joining.contact_seeds(now)
        target = self.table.next_probe_target()
        if target is not None:
            self.prober.probe(now, target)
        self._ping_local_suspects(now, target)
        if self._period % RECONNECT_PERIODS == 0 or not self.table.live_count:
            self._joining.reconnect(now)
        self.membership.expire_tombstones(now)

    def _ping_local_suspects(self, now: int, probed: MemberRecord | None) -> None:
        """Ping some of the suspects found locally, so that each learns of the suspicion and can refute it."""
        local_suspects = [ident for ident, suspicion in self.suspicions.items() if suspicion.found_locally]
        for ident in self._random.sample(local_suspects, min(len(local_suspects), SUSPECT_PROBES_PER_PERIOD)):
            if probed is None or ident != probed.ident:
                self.prober.ping_member(now, self.table.records[ident])

    # -- Messages --------------------------------------------------------------------------------------

    def handle(self, now: int, message: Message, source: Address) -> list[OutgoingMessage]:
        """Process a message received from `source`; return the messages to send."""
        self._check_stall(now)
        if self.local.left:
            return []
        has_local_ident = message.sender == self.local.ident
        if not has_local_ident:
            self._record_sender(now, message, source)
        elif message.generation > self.local.generation:
            claim = MemberRecord(message.sender, message.generation, message.incarnation)
            self._refutation.handle_claim(now, claim)
        for record in message.records:
            if record.ident == self.local.ident:
                self._refutation.handle_claim(now, record)
            else:
                self.membership.apply(now, record, message.sender, source)
        if not has_local_ident and self.local.superseded_by is None:
            self._reply(now, message, source)
            self._compare_tables(now, message, source)
        self._run_due_actions(now)
        return self._outbox.take()

    def _record_sender(self, now: int, message: Message, source: Address) -> None:
        if self.membership.is_outdated(message):
            return
        is_recorded = self.membership.record_sender(now, message, source)
        self.seeds.note_answer(source)
        if is_recorded:
            self.connectivity.note_message(now)
            self.membership.note_heard(now, message.sender, now)

    def _reply(self, now: int, message: Message, source: Address) -> None:
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
        """Start a sync if the tables have differed for a while; reply to the sender's digests and requests."""
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
        """Leave the cluster for this generation; return the messages that notify other members."""
        if not self.local.is_active:
            return []
        self.local.left = True
        for record in self.table.sample_alive(_LEAVE_NOTICES_MAX):
            address = self.addresses.of_record(record)
            if address is not None:
                self._outbox.send(now, address, MessageKind.GOSSIP, records=(self.local.record,))
        return self._outbox.take()

    def resume(self, now: int) -> None:
        """Rejoin the protocol after the successor of this process has ended."""
        self.local.resume()
        self._next_period_at = self.due = now
        self.connectivity.reset(now)
        self._refutation.refute(now)
