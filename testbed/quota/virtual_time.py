"""Fleets of lease clients and servers in virtual time: a seeded network, clocks that differ, thousands of members.

The guarantee is checked from outside: what all limiters together granted against one leaky bucket of the quota, and, at
intervals, the sum of all allocations that may be used.  Deterministic for a seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from testbed.virtual_time import VirtualTime
from topazbank.quota.lease import ClientId, LeaseGrant
from topazbank.quota.lease_client import LeaseClient, OutgoingMessage
from topazbank.quota.lease_server import LeaseServer, StoredGrant
from topazbank.quota.rules import MILLIUNITS_PER_UNIT, Quota
from topazbank.quota.wire import Message, MessageKind, encode

TICK_PERIOD_S = 0.1  # as the service's
ROUNDING_UNITS = 1e-6
VIOLATIONS_MAX = 10
QUOTA_ID = 1
START_S = 1000.0  # of all clocks

Demand = Callable[[float, int], float]  # units a second, at this time, by this member


@dataclass(slots=True, eq=False)
class Process:
    """One process of a member."""

    member: int
    generation: int
    client: LeaseClient
    server: LeaseServer | None
    clock_rate: float  # by true time
    paused_until: float = 0.0
    postponed: list[Callable[[], None]] = field(default_factory=list)  # datagrams that arrived during a pause

    def clock_us(self, now: float) -> int:
        """This process's clock at true time `now` (seconds)."""
        return int((START_S + now) * self.clock_rate * 1e6)

    @property
    def client_id(self) -> ClientId:
        """As the lease servers know it."""
        return ClientId(self.member, self.generation)


@dataclass(slots=True)
class Result:
    """What a run measured."""

    acquired: int = 0  # units
    demand: float = 0.0  # units
    possible: float = 0.0  # units, for an ideal division: the demand, but for no more than the limit
    messages: int = 0
    message_bytes: int = 0
    ahead_max: float = 0.0  # units by which the use was ahead of the limit's rate
    held_ratio_max: float = 0.0  # of the limit
    violations: list[str] = field(default_factory=list)  # at most VIOLATIONS_MAX

    def add_violation(self, text: str) -> None:
        """List a violation."""
        if len(self.violations) < VIOLATIONS_MAX:
            self.violations.append(text)


class Fleet(VirtualTime):
    """Members 0 to n - 1; the quota's lease servers are members by their numbers."""

    def __init__(
        self, quota: Quota, members: int, demand: Demand, seed: int, check_period_s: float = 0.05
    ) -> None:
        super().__init__(seed)
        self.quota = quota
        self.demand = demand
        self.result = Result()
        self.processes: dict[int, Process] = {}  # by member; a killed one has none
        self._check_period_s = check_period_s
        self._ahead = 0.0
        self._ahead_at = 0.0
        self._server_members = {name: int(name) for name in quota.lease_servers}
        for member in range(members):
            self.start(member, is_first=True)
        self.schedule(check_period_s, self._check_held)

    # -- Time and processes ----------------------------------------------------------------------------

    def run_until(self, until: float) -> Result:
        """Run to this time; the result so far."""
        self.run(until)
        return self.result

    def start(self, member: int, is_first: bool = False) -> None:
        """Start a member's process; `is_first`: nothing has been granted yet, so no grace period is needed."""
        drift = self.quota.drift_ppm / 1e6
        clock_rate = 1.0 + drift * (self.random.random() - 0.5) * 0.99
        generation = self.random.getrandbits(48)
        name = str(member)
        process = Process(member, generation, LeaseClient(self.quota, name, 0), None, clock_rate)
        now = process.clock_us(self.now)
        process.client = LeaseClient(self.quota, name, now)
        if name in self._server_members:
            stored: list[StoredGrant] | None = [] if is_first else None
            process.server = LeaseServer(self.quota, self.quota.slice_of(name), now, stored)
        self.processes[member] = process
        self.schedule(self.now + TICK_PERIOD_S * self.random.random(), lambda: self._tick(process))

    def kill(self, member: int) -> None:
        """Kill a member's process, if it runs."""
        self.processes.pop(member, None)

    def pause(self, member: int, seconds: float) -> None:
        """Pause a member's process, if it runs: it does nothing, and its datagrams wait."""
        process = self.processes.get(member)
        if process is not None:
            process.paused_until = self.now + seconds
            self.schedule(process.paused_until, lambda: self._continue(process))

    def release(self, member: int) -> None:
        """Have a member's client release its leases, as before an orderly end."""
        process = self.processes[member]
        for outgoing in process.client.release(process.clock_us(self.now)):
            self._send(process, outgoing)

    def _continue(self, process: Process) -> None:
        if self._runs(process) and process.paused_until <= self.now:
            postponed, process.postponed = process.postponed, []
            for handle in postponed:
                handle()

    def _runs(self, process: Process) -> bool:
        return self.processes.get(process.member) is process

    def _tick(self, process: Process) -> None:
        if not self._runs(process):
            return
        if process.paused_until > self.now:
            self.schedule(process.paused_until, lambda: self._tick(process))
            return
        now = process.clock_us(self.now)
        demand = self.demand(self.now, process.member) * TICK_PERIOD_S
        units = int(demand) + (self.random.random() < demand % 1.0)
        for _ in range(units):
            if process.client.limiter.acquire(now):
                self._count_unit()
        for outgoing in process.client.due_requests(now):
            self._send(process, outgoing)
        self.schedule(self.now + TICK_PERIOD_S, lambda: self._tick(process))

    # -- Checks ----------------------------------------------------------------------------------------

    def _count_unit(self) -> None:
        """Count a unit in a leaky bucket of the quota's burst and rate."""
        rate = self.quota.amount / MILLIUNITS_PER_UNIT
        self._ahead = max(self._ahead - rate * (self.now - self._ahead_at), 0.0) + 1.0
        self._ahead_at = self.now
        self.result.acquired += 1
        self.result.ahead_max = max(self.result.ahead_max, self._ahead)
        if self._ahead > self.quota.burst + ROUNDING_UNITS:
            self.result.add_violation(f"at {self.now:.3f} s {self._ahead:.1f} ahead of the limit's rate")

    def _check_held(self) -> None:
        self.schedule(self.now + self._check_period_s, self._check_held)
        demand = sum(self.demand(self.now, member) for member in self.processes)
        self.result.demand += demand * self._check_period_s
        self.result.possible += min(demand, self.quota.limit) * self._check_period_s
        held = self.quota.floor * self.quota.members
        for process in self.processes.values():
            now = process.clock_us(self.now)
            held += sum(lease.allocation_at(now).amount for lease in process.client.leases.values())
        limit = self.quota.amount
        self.result.held_ratio_max = max(self.result.held_ratio_max, held / max(limit, 1))
        if held > limit:
            self.result.add_violation(f"at {self.now:.3f} s {held} held of {limit}")

    # -- Messages --------------------------------------------------------------------------------------

    def _send(self, process: Process, outgoing: OutgoingMessage) -> None:
        to = self._server_members[outgoing.lease_server]
        kind = MessageKind.RELEASE if outgoing.is_release else MessageKind.REQUEST
        client_id = process.client_id
        message = Message(kind, *client_id, QUOTA_ID, request=outgoing.request)
        self._transmit(process.member, to, message, lambda: self._serve(to, client_id, outgoing))

    def _serve(self, member: int, client_id: ClientId, outgoing: OutgoingMessage) -> None:
        """Have a lease server handle a client's message."""
        process = self.processes.get(member)
        if process is None or process.server is None:
            return
        if process.paused_until > self.now:
            process.postponed.append(lambda: self._serve(member, client_id, outgoing))
            return
        now = process.clock_us(self.now)
        if outgoing.is_release:
            process.server.handle_release(now, client_id, outgoing.request)
            return
        grant = process.server.handle_request(now, client_id, outgoing.request)
        if grant is not None:
            message = Message(MessageKind.GRANT, member, client_id.generation, QUOTA_ID, grant=grant)
            server = outgoing.lease_server
            self._transmit(member, client_id.ident, message, lambda: self._accept(client_id, server, grant))

    def _accept(self, client_id: ClientId, lease_server: str, grant: LeaseGrant) -> None:
        """Have a client handle a lease server's grant."""
        process = self.processes.get(client_id.ident)
        if process is None or process.generation != client_id.generation:
            return
        if process.paused_until > self.now:
            process.postponed.append(lambda: self._accept(client_id, lease_server, grant))
            return
        process.client.accept(process.clock_us(self.now), lease_server, grant)

    def _transmit(self, sender: int, to: int, message: Message, deliver: Callable[[], None]) -> None:
        if sender == to:
            deliver()
            return
        self.result.messages += 1
        self.result.message_bytes += len(encode(message))
        self.send(sender, to, deliver)


# -- Random faults -----------------------------------------------------------------------------------

FAULT_KINDS = ("kill", "start", "pause", "cut", "heal", "loss", "delay", "duplicates", "calm")


def run_with_faults(seed: int, seconds: float = 20.0) -> Result:
    """Run a small fleet under random kills, starts, pauses, cuts, loss, delays and duplicates, and varying demand."""
    chance = random.Random(seed)
    members, servers = chance.randint(2, 7), chance.randint(1, 3)
    quota = Quota(
        "b",
        limit=40,
        burst=4 * members,
        floor=500,
        members=members,
        lease_servers=tuple(str(member) for member in range(min(servers, members))),
        lease_us=2_000_000,
    )
    is_endless = chance.random() < 0.3

    def demand(now: float, member: int) -> float:
        if is_endless:
            return 200.0
        busy_member = int(now / 1.0) % members
        return 60.0 if member == busy_member else 2.0

    fleet = Fleet(quota, members, demand, seed)

    def next_fault() -> None:
        _apply_random_fault(fleet, members, chance)
        fleet.schedule(fleet.now + chance.uniform(0.05, 1.0), next_fault)

    fleet.schedule(1.0, next_fault)
    return fleet.run_until(seconds)


def _apply_random_fault(fleet: Fleet, members: int, chance: random.Random) -> None:
    member = chance.randrange(members)
    kind = chance.choice(FAULT_KINDS)
    network = fleet.faults
    if kind == "kill":
        fleet.kill(member)
    elif kind == "start" and member not in fleet.processes:
        fleet.start(member)
    elif kind == "pause":
        fleet.pause(member, chance.uniform(0.1, 6.0))
    elif kind == "cut":
        network.cuts.add((member, chance.randrange(members)))
    elif kind == "heal":
        network.cuts.clear()
    elif kind == "calm":
        network.loss = network.delay_s = network.doubled = 0.0
    elif kind == "loss":
        network.loss = chance.choice((0.2, 0.4))
    elif kind == "duplicates":
        network.doubled = chance.choice((0.2, 0.4))
    elif kind == "delay":
        network.delay_s = chance.choice((0.5, 3.0))
