"""What a planner decides: plans from summaries; no I/O, times in whole microseconds.

All it knows it has from membership and from the newest summaries, so one that starts knows the fleet after one round of
them.  It plans for a fleet of many forwarders of which each sees little:

- *weights*, one a node for all forwarders: the nominal weight times a factor that follows how long requests take there
  beside the fleet's mean (an equilibrium by feedback, as water finds its level), corrected at once by what the node
  held by its newest report: what is held beyond the fleet's usual for that weight is worked off before more comes.
- *subsets*, one a forwarder: enough nodes to choose from, few enough to keep connections to, dealt so that each node is
  in as many as the next (deterministic subsetting).
- *room* and *cold budgets* by the part of all requests that a forwarder brings.

docs/design/planning.md weighs these against others.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from topazbank.planning.plan import LEASE_US_MAX, LEASE_US_MIN, US_PER_S, Plan, ServerShare
from topazbank.planning.summary import QuantileSketch, ServerUsage, SummaryReport

FORWARDERS_MOST = 20_000  # that a planner remembers; further ones get no plan
FORGOTTEN = 30 * US_PER_S  # a forwarder that says nothing for so long is forgotten
PERIOD = US_PER_S // 10  # between a forwarder's summaries, while there are few forwarders
SUMMARIES_A_SECOND = 2_000.0  # more than a planner's core can take: forwarders are asked less often then
LEASES = (
    6.0  # periods that a lease holds: two answers may be lost before trust fades; longer, a plan that nobody
)
# renews sends all to where room was (played at 0.8, all planners lost: late 0.048 with 16, 0.040 with 6)
PART_MOST = (
    0.9  # of the requests follow a plan: the others keep the own choice in practice, for when there is none
)
FRESH = (
    3 * US_PER_S // 20
)  # a period up to which all requests follow the plan; played, plans of 0.25 s did harm
SUBSET = 24  # nodes that a forwarder draws from; all where there are few more
SUBSET_SLACK = 1.5
SPAN = 2 * US_PER_S  # over which rates and times of nodes are averaged
STEP = US_PER_S // 20  # between two deals
# Requests of so long are dealt at a time.  Longer than a period: what a shorter deal gains by following each report
# it loses by sending a period's requests where one report was low (herding; Mitzenmacher, How useful is old
# information?, 2000).  Played at 0.8 of what 15 nodes can do: late 0.036 with 0.3 s, 0.027 with 0.6, 0.023 with 1.
HORIZON = US_PER_S
PARTS = 128  # that they are dealt in
LEAST_PART = 0.05  # of its proportional part a node gets at any rate
FEW = 4.0  # answers: fewer say nothing of a node
GAIN = 0.003  # a node that is e times as slow as explained loses this part of its weight a step
FACTOR_LEAST, FACTOR_MOST = 0.1, 4.0  # of the nominal weight
COLD_FROM, COLD = (
    0.14,
    22 * US_PER_S,
)  # a node that starts can do this part of its work, and all of it so much later
ROOM_SPARE = 3.0  # a forwarder's room is so many times its fair part of what nodes hold
ROOM_LEAST = 2.0


@dataclass(frozen=True, slots=True)
class PlannedServer:
    """A node as membership has it."""

    name: str
    weight: float = 1.0
    warm_at_us: int = 0  # until when it is not warm yet


@dataclass(slots=True)
class _Node:
    """What is known of a node, from all forwarders."""

    member: PlannedServer
    factor: float = 1.0
    answered: float = 0.0  # fading counts over SPAN
    time_us: float = 0.0
    explained: float = 0.0  # waits that its weight and what it held explain, for what was answered
    faded_at: int = 0
    held: float = 0.0
    held_at: int = -1
    warmth: float = 1.0  # of its capacity: what it has by now
    slots: float = 1.0  # that it runs at once: the most that a report told
    ejected_by: set[str] = field(default_factory=set)  # forwarders

    def fade(self, now: int) -> None:
        if now > self.faded_at:
            keep = math.exp((self.faded_at - now) / SPAN)
            self.answered *= keep
            self.time_us *= keep
            self.explained *= keep
            self.faded_at = now

    def weight(self) -> float:
        return self.member.weight * self.factor * self.warmth

    def wait(self, held: float) -> float:
        """How long one more request would take, in units of one alone at weight 1: what is held goes first."""
        queued = max(held + 1.0 - self.slots, 0.0)
        return (1.0 + queued / self.slots) / max(self.weight(), 1e-6)


@dataclass(slots=True)
class _Forwarder:
    """What is known of a forwarder."""

    life: str = ""
    number: int = -1
    heard_at: int = 0
    rate: float = 0.0  # requests a second
    member: tuple[int, int] | None = None  # its ident and life in the forwarders' tier, where it is in one
    lease: int = LEASE_US_MAX  # of the plan that was sent last
    sequence: int = 0  # of that plan
    sent: dict[str, ServerShare] = field(default_factory=dict)  # what it says
    using: frozenset[str] = frozenset()


class Planner:
    """Plans for all forwarders while it leads; a standby hears the same summaries and says nothing."""

    def __init__(self, name: str, seed: str = "") -> None:
        self.name = name
        self.epoch: int | None = None  # while it leads
        self.highest_epoch = -1  # epoch that any forwarder has seen
        self.summaries_shed = 0  # summaries that were not taken, there being too many
        self.response_times = QuantileSketch()  # of all forwarders, since the last `status`
        self._seed = seed
        self._nodes: dict[str, _Node] = {}
        self._forwarders: dict[str, _Forwarder] = {}  # FORWARDERS_MOST
        self._members: dict[int, str] = {}  # forwarders by their ident in the tier: likewise
        self._looked_at = 0  # when the forgotten were last looked for
        self._stepped_at = 0
        self._heard_at = -1  # the newest summary
        self._taken = 0.0  # summaries in hand: a bucket that empties by SUMMARIES_A_SECOND
        self._taken_at = 0
        self._odds: dict[str, float] = {}
        self._unit = 0.1 * US_PER_S  # time of a request alone at a node of weight 1
        self._waits: dict[str, float] = {}

    # -- Who leads -------------------------------------------------------------------------------------

    def start_leading(self, epoch: int) -> None:
        self.epoch = epoch

    def stop_leading(self) -> None:
        self.epoch = None

    # -- What is heard ---------------------------------------------------------------------------------

    def update_servers(self, now: int, members: Mapping[str, PlannedServer]) -> None:
        """The nodes that are ready, by membership's word."""
        for name in self._nodes.keys() - members.keys():
            del self._nodes[name]
        for name, member in members.items():
            known = self._nodes.get(name)
            if known is None:
                self._nodes[name] = _Node(member, faded_at=now)
            elif known.member != member:
                self._nodes[name] = _Node(member, faded_at=now)  # another process: what is known is history
        self._weigh(now)

    def handle_summary(self, now: int, summary: SummaryReport) -> Plan | None:
        """Take a summary; answer with the forwarder's plan, or None where this planner has none to give."""
        self.highest_epoch = max(self.highest_epoch, summary.epoch)
        if self.epoch is not None and self.highest_epoch > self.epoch:
            self.stop_leading()  # another leads by a later election, and forwarders follow it
        if not self._has_room(now, summary):
            self.summaries_shed += 1
            return None
        forwarder = self._forwarders.setdefault(summary.forwarder, _Forwarder())
        self._note_lives(now, summary, forwarder)
        if (summary.incarnation, summary.number) == (forwarder.life, forwarder.number):
            return self._plan(now, summary, forwarder)  # told twice: counted once
        self._note(now, summary, forwarder)
        return self._plan(now, summary, forwarder)

    def _has_room(self, now: int, summary: SummaryReport) -> bool:
        """Guards against falling behind: what is too much is left out, and all are asked less often."""
        self._taken = max(self._taken - (now - self._taken_at) / US_PER_S * SUMMARIES_A_SECOND, 0.0)
        self._taken_at = now
        if self._taken >= SUMMARIES_A_SECOND / 2:
            return False
        self._taken += 1.0
        if now >= self._looked_at + FORGOTTEN // 10:
            self._forget(now)
        return summary.forwarder in self._forwarders or len(self._forwarders) < FORWARDERS_MOST

    def _forget(self, now: int) -> None:
        self._looked_at = now
        for name in [n for n, each in self._forwarders.items() if each.heard_at + FORGOTTEN < now]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        """Its requests are no longer counted on, its part is the others', and its word on nodes no longer holds."""
        member = self._forwarders.pop(name).member
        if member is not None and self._members.get(member[0]) == name:
            del self._members[member[0]]
        for node in self._nodes.values():
            node.ejected_by.discard(name)

    def _note_lives(self, now: int, summary: SummaryReport, forwarder: _Forwarder) -> None:
        """Drop those that the tier knows to be gone, once no plan of theirs can hold any more.

        One that lives and reaches this planner is never dropped: its own word is newer than its lease.
        """
        lives = summary.generations
        if lives is None:
            return
        forwarder.member = lives.own
        self._members[lives.own[0]] = summary.forwarder
        for ident, life in lives.gone:
            name = self._members.get(ident)
            known = self._forwarders.get(name) if name is not None else None
            if name is None or known is None or known.member is None or known.member[1] > life:
                continue  # of a former life
            if known.heard_at + known.lease < now:
                self._drop(name)

    def _note(self, now: int, summary: SummaryReport, forwarder: _Forwarder) -> None:
        if summary.incarnation != forwarder.life:
            forwarder.sent, forwarder.rate = {}, 0.0
        elif summary.number < forwarder.number:
            return  # overtaken
        arrived = sum(counts[0] for counts in summary.request_classes.values())
        part = min(summary.period_us / SPAN, 1.0)
        forwarder.rate += part * (arrived / (summary.period_us / US_PER_S) - forwarder.rate)
        forwarder.life, forwarder.number, forwarder.heard_at = summary.incarnation, summary.number, now
        self._heard_at = now
        self.response_times.merge(summary.response_times)
        for name in forwarder.using - summary.servers.keys():
            if name in self._nodes:
                self._nodes[name].ejected_by.discard(summary.forwarder)
        forwarder.using = frozenset(summary.servers)
        for name, use in summary.servers.items():
            node = self._nodes.get(name)
            if node is not None:
                self._note_use(now, node, summary.forwarder, use)

    @staticmethod
    def _note_use(now: int, node: _Node, forwarder: str, use: ServerUsage) -> None:
        node.fade(now)
        node.answered += use.answered
        node.time_us += use.response_time_us
        node.explained += use.answered * node.wait(max(node.held - 1.0, 0.0))
        if use.reported_in_flight is not None and use.reported_at_us > node.held_at:
            node.held, node.held_at = use.reported_in_flight, min(use.reported_at_us, now)
            node.slots = max(node.slots, use.concurrency)
        if use.ejected:
            node.ejected_by.add(forwarder)
        else:
            node.ejected_by.discard(forwarder)

    # -- Odds: the coming requests, dealt where they would be answered soonest --------------------------

    def _weigh(self, now: int) -> None:
        """Deal what will come until all have the next plan, a part at a time, to the node that is soonest then."""
        self._stepped_at = now
        self._correct(now)
        usable = {name: node for name, node in self._nodes.items() if self._is_usable(now, node)}
        dealt = dict.fromkeys(self._nodes, 0.0)
        held = {name: self._held_now(now, node) for name, node in usable.items()}
        self._waits = {name: node.wait(held[name]) for name, node in usable.items()}
        coming = max(sum(each.rate for each in self._forwarders.values()) * HORIZON / US_PER_S, 1.0)
        part = coming / PARTS
        soonest = [(node.wait(held[name]), name) for name, node in usable.items()]
        heapq.heapify(soonest)
        for _ in range(PARTS if soonest else 0):
            _, name = soonest[0]
            dealt[name] += part
            held[name] += part
            heapq.heapreplace(soonest, (usable[name].wait(held[name]), name))
        for name, node in self._nodes.items():
            # Each keeps a little, so that what is known of it stays true.
            least = LEAST_PART * coming * node.weight() / max(self._all_weights(), 1e-9)
            self._odds[name] = max(dealt[name], least if name in usable else 0.0)
        self._odds = {name: each for name, each in self._odds.items() if name in self._nodes}

    def _all_weights(self) -> float:
        return sum(node.weight() for node in self._nodes.values())

    def _is_usable(self, now: int, node: _Node) -> bool:
        """Whether no more than half of those who can judge have left it; trials find out when it is back."""
        return 2 * len(node.ejected_by) <= max(len(self._forwarders), 1)

    def _held_now(self, now: int, node: _Node) -> float:
        """What a node holds by now: its newest report, worked off since."""
        if node.held_at < 0 or node.held <= 0.0:
            return 0.0
        took = self._unit / max(node.weight(), 1e-6)
        worked_off = min(node.held, node.slots) * (now - node.held_at) / max(took, 1.0)
        return max(node.held - worked_off, 0.0)

    def _correct(self, now: int) -> None:
        """Follow how much longer requests take at each node than its weight and what it held explain."""
        explained = time = 0.0
        for node in self._nodes.values():
            node.fade(now)
            left = max(node.member.warm_at_us - now, 0) / COLD
            node.warmth = max(1.0 - (1.0 - COLD_FROM) * left, COLD_FROM)
            explained += node.explained
            time += node.time_us
        if explained <= 0.0:
            return
        self._unit = time / explained
        for node in self._nodes.values():
            if node.answered >= FEW and node.explained > 0.0:
                ratio = node.time_us / node.explained / self._unit
                node.factor *= math.exp(-GAIN * max(-1.0, min(math.log(max(ratio, 0.1)), 1.0)))
                node.factor = max(FACTOR_LEAST, min(node.factor, FACTOR_MOST))

    # -- Plans -----------------------------------------------------------------------------------------

    def summary_period_us(self) -> int:
        """How long forwarders shall wait between two summaries: the more there are the longer."""
        return max(PERIOD, int(len(self._forwarders) / (0.8 * SUMMARIES_A_SECOND) * US_PER_S))

    def _plan(self, now: int, summary: SummaryReport, forwarder: _Forwarder) -> Plan | None:
        if self.epoch is None or not self._nodes:
            return None
        if now >= self._stepped_at + STEP:
            self._weigh(now)
        shares = self._shares(now, summary.forwarder, forwarder)
        whole = summary.epoch != self.epoch or summary.planner != self.name
        base = forwarder.sequence if not whole and summary.sequence == forwarder.sequence else None
        if base is None:
            changes: dict[str, ServerShare | None] = dict(shares)
        else:
            changes = {n: each for n, each in shares.items() if forwarder.sent.get(n) != each}
            changes |= dict.fromkeys(forwarder.sent.keys() - shares.keys())
        # Beyond what the forwarder follows, whoever sent that under this epoch: an earlier life of this planner.
        forwarder.sequence = max(forwarder.sequence, summary.sequence if not whole else -1) + 1
        forwarder.sent = shares
        forwarder.lease = lease = max(LEASE_US_MIN, min(int(LEASES * self.summary_period_us()), LEASE_US_MAX))
        return Plan(
            summary.forwarder,
            summary.incarnation,
            self.epoch,
            self.name,
            forwarder.sequence,
            lease,
            max(now - self._heard_at, 0),
            changes,
            base,
            min(PART_MOST, FRESH / self.summary_period_us()),
        )

    def _shares(self, now: int, name: str, forwarder: _Forwarder) -> dict[str, ServerShare]:
        all_rates = sum(each.rate for each in self._forwarders.values())
        part = forwarder.rate / all_rates if all_rates > 0.0 else 1.0 / max(len(self._forwarders), 1)
        shares = {}
        for each in self._subset(name):
            node = self._nodes[each]
            room = max(ROOM_LEAST, ROOM_SPARE * part * max(node.held, 8.0))
            # Each forwarder's own budget is by what it brings already; all use less while the node holds too much.
            cold = min(1.0, node.slots / max(node.held, 1.0)) if node.warmth < 1.0 else 1.0
            odds, wait = self._odds.get(each, 0.0), self._waits.get(each, 0.0)
            shares[each] = ServerShare(round(odds, 4), round(wait, 4), round(room, 1), round(cold, 4))
        return shares

    def _subset(self, forwarder: str) -> list[str]:
        """The nodes that a forwarder draws from, by rendezvous: few change when one comes or goes."""
        if len(self._nodes) <= SUBSET_SLACK * SUBSET:
            return list(self._nodes)
        ranked = sorted(self._nodes, key=lambda node: _hash(forwarder, node, self._seed))
        return ranked[:SUBSET]

    # -- For operators ---------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, object]:
        """What this planner knows and does, as plain data."""
        times, self.response_times = self.response_times, QuantileSketch()
        return {
            "planner": self.name,
            "epoch": self.epoch,
            "highest_epoch_seen": self.highest_epoch,
            "forwarders": len(self._forwarders),
            "period_us": self.summary_period_us(),
            "summaries_shed": self.summaries_shed,
            "p50_us": times.quantile(0.5),
            "p99_us": times.quantile(0.99),
            "nodes": [
                {
                    "name": name,
                    "odds": round(self._odds.get(name, 0.0), 4),
                    "nominal": node.member.weight,
                    "factor": round(node.factor, 4),
                    "capacity": round(node.weight(), 4),
                    "held": node.held,
                    "answered_a_second": round(node.answered / (SPAN / US_PER_S), 3),
                    "ejected_by": len(node.ejected_by),
                    "cold": now < node.member.warm_at_us,
                }
                for name, node in sorted(self._nodes.items())
            ],
        }


def _hash(forwarder: str, node: str, seed: str) -> bytes:
    return hashlib.blake2b(f"{seed}\0{forwarder}\0{node}".encode(), digest_size=8).digest()
