"""Every order of events of a small model of one quota, on the lease modules themselves: is the limit ever exceeded?

    python -m testbed.quota.model [--clients 3] [--depth 8] [--fault NAME]

Clients request and release, messages are delivered in any order, twice or never, time passes, the lease server restarts
with and without its grants, and a second process of a client starts beside the first.  A paused client is one to which
nothing happens.  The clients' clocks run slow by the whole permitted drift.  A state is examined once.  A violation is
reported as the list of events that led to it.

Beside the search over all orders of a few events, `random_histories` runs long histories.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Sequence
from copy import copy
from dataclasses import dataclass, field, replace
from functools import partial
from typing import NamedTuple

from testbed.quota.planted_faults import FAULTS, Implementation
from topazbank.quota.lease import ClientId, Lease, LeaseGrant, LeaseRequest
from topazbank.quota.lease_server import LeaseServer, StoredGrant
from topazbank.quota.rules import Allocation, Quota, QuotaKind

LIMIT = 3
LEASE_US = 8
DRIFT_PPM = 250_000
QUOTA = Quota(
    "model",
    QuotaKind.CONCURRENCY,
    limit=LIMIT,
    members=0,
    lease_servers=("k",),
    lease_us=LEASE_US,
    drift_ppm=DRIFT_PPM,
)
SLICE = Allocation(LIMIT)
STEP_US = 3  # of true time
IN_TRANSIT_MAX = 3  # messages; beyond it the oldest is lost
RESTARTS_MAX = 1  # of the lease server, and of the first client


@dataclass(frozen=True, slots=True)
class MessageInTransit:
    """A message that is sent and may be delivered."""

    to_server: bool
    client: int
    generation: int
    content: LeaseRequest | LeaseGrant
    is_release: bool = False

    def __str__(self) -> str:
        action = "releases" if self.is_release else "requests" if self.to_server else "is granted"
        return f"c{self.client}.{self.generation} {action} {self.content}"


@dataclass(slots=True)
class ModelState:
    """One state of the model."""

    server: LeaseServer
    leases: list[Lease]  # by client
    generations: list[int]  # by client
    former_leases: list[Lease] = field(default_factory=list)  # of processes that were not ended at a restart
    now: int = 0
    in_transit: tuple[MessageInTransit, ...] = ()
    server_restarts: int = 0

    def client_now(self) -> int:
        """The clients' clock: 4 units for 5 of the server's."""
        return self.now - self.now // 5

    def held(self) -> int:
        """What all clients together may use."""
        now = self.client_now()
        return sum(lease.allocation_at(now).amount for lease in [*self.leases, *self.former_leases])


def initial_state(clients: int, implementation: Implementation) -> ModelState:
    """No lease has been requested yet."""
    server = implementation.server(QUOTA, SLICE, 0, [])
    leases = [implementation.lease() for _ in range(clients)]
    return ModelState(server, leases, [1] * clients)


# -- Events ------------------------------------------------------------------------------------------


class Event(NamedTuple):
    """Something that may happen next; `apply` changes the state."""

    name: str
    apply: Callable[[ModelState], None]


def possible_events(state: ModelState, implementation: Implementation) -> list[Event]:
    """All that may happen next."""
    events = [Event(f"{STEP_US} pass", _pass_time)]
    for client in range(len(state.leases)):
        events += _client_events(state, client, implementation)
    for index, message in enumerate(state.in_transit):
        once, twice = (partial(_deliver, index=index, remains=remains) for remains in (False, True))
        events += [Event(f"arrives: {message}", once), Event(f"arrives, and may again: {message}", twice)]
    if state.server_restarts < RESTARTS_MAX:
        for keeps_grants in (False, True):
            name = f"the server is killed and started {'with' if keeps_grants else 'without'} its grants"
            restart = partial(_restart_server, implementation=implementation, keeps_grants=keeps_grants)
            events.append(Event(name, restart))
    return events


def _client_events(state: ModelState, client: int, implementation: Implementation) -> list[Event]:
    lease = state.leases[client]
    wants_most_first = lease.last_number == 0 or lease.allocation.amount <= 1
    events = [
        Event(f"c{client} requests {wanted}", partial(_request, client=client, wanted=wanted))
        for wanted in ((LIMIT, 1) if wants_most_first else (1, LIMIT))
    ]
    if lease.allocation_at(state.client_now()):
        events.append(Event(f"c{client} releases", partial(_release, client=client)))
    if client == 0 and lease.last_number and state.generations[client] <= RESTARTS_MAX:
        start = partial(_start_second_process, client=client, implementation=implementation)
        events.append(Event(f"c{client} is started beside itself", start))
    return events


def _pass_time(state: ModelState) -> None:
    state.now += STEP_US


def _send(state: ModelState, message: MessageInTransit) -> None:
    state.in_transit = (*state.in_transit, message)[-IN_TRANSIT_MAX:]


def _request(state: ModelState, client: int, wanted: int) -> None:
    request = state.leases[client].request(state.client_now(), wanted)
    _send(state, MessageInTransit(True, client, state.generations[client], request))


def _release(state: ModelState, client: int) -> None:
    release = state.leases[client].release(state.client_now())
    _send(state, MessageInTransit(True, client, state.generations[client], release, is_release=True))


def _start_second_process(state: ModelState, client: int, implementation: Implementation) -> None:
    state.former_leases.append(state.leases[client])
    state.leases[client] = implementation.lease()
    state.generations[client] += 1


def _deliver(state: ModelState, index: int, remains: bool) -> None:
    message = state.in_transit[index]
    if not remains:
        state.in_transit = state.in_transit[:index] + state.in_transit[index + 1 :]
    if isinstance(message.content, LeaseGrant):
        if message.generation == state.generations[message.client]:
            state.leases[message.client].accept(state.client_now(), message.content)
        return
    client_id = ClientId(message.client, message.generation)
    if message.is_release:
        state.server.handle_release(state.now, client_id, message.content)
        return
    grant = state.server.handle_request(state.now, client_id, message.content)
    if grant is not None:
        _send(state, MessageInTransit(False, message.client, message.generation, grant))


def _restart_server(state: ModelState, implementation: Implementation, keeps_grants: bool) -> None:
    state.server_restarts += 1
    stored = stored_grants(state.server) if keeps_grants else None
    state.server = implementation.server(QUOTA, SLICE, state.now, stored)


def stored_grants(server: LeaseServer) -> list[StoredGrant]:
    """What a lease server's store would contain."""
    return [
        StoredGrant(client_id, grant.number, grant.allocation, grant.expires_at)
        for client_id, client in server.clients.items()
        for grant in client.grants
    ]


# -- Search ------------------------------------------------------------------------------------------


def _copy(state: ModelState) -> ModelState:
    """An independent state: grants and messages are never changed in place."""
    server = copy(state.server)
    server.clients = {
        client_id: replace(client, grants=list(client.grants)) for client_id, client in server.clients.items()
    }
    server._targets = dict(server._targets)
    leases = [copy(lease) for lease in state.leases]
    for lease in leases:
        lease.requested_at = dict(lease.requested_at)
    return replace(
        state,
        server=server,
        leases=leases,
        generations=list(state.generations),
        former_leases=list(state.former_leases),
    )


def _fingerprint(state: ModelState) -> int:
    """Equal for states with the same future: times count from now, and what no longer matters is left out."""
    server, now, client_now = state.server, state.now, state.client_now()
    clients = sorted(
        (
            client_id,
            client.last_number,
            [(grant.number, grant.allocation, grant.expires_at - now) for grant in client.grants],
            client.wanted,
        )
        for client_id, client in server.clients.items()
    )
    leases = [
        (
            lease.last_number,
            lease.held_number,
            lease.allocation,
            max(lease.expires_at - client_now, 0),
            [(number, at - client_now) for number, at in lease.requested_at.items()],
        )
        for lease in state.leases
    ]
    former = [(lease.allocation, max(lease.expires_at - client_now, 0)) for lease in state.former_leases]
    grace = max(server.grace_until - now, 0)
    targets = (sorted(server._targets.items()), max(server._redistribute_at - now, 0))
    transit = (state.in_transit, state.server_restarts)
    return hash(repr((clients, grace, targets, leases, former, state.generations, transit, now % 5)))


@dataclass(slots=True)
class SearchResult:
    """What a search examined and found."""

    states: int = 0
    held_max: int = 0  # by all clients at once
    violation: list[str] = field(default_factory=list)  # the events that led to the first one; empty: none

    def examine(self, state: ModelState) -> bool:
        """Count a state; whether it exceeds the limit."""
        held = state.held()
        self.states += 1
        self.held_max = max(self.held_max, held)
        return held > LIMIT


class _Step(NamedTuple):
    """How a state was reached: the index of the step before, and the event."""

    parent: int
    event: str


def search(
    clients: int = 3, depth: int = 6, fault: Implementation | None = None, states_max: int = 2_000_000
) -> SearchResult:
    """Examine all orders of up to `depth` events, the shortest first, until the first violation."""
    implementation = fault or Implementation()
    first = initial_state(clients, implementation)
    result = SearchResult(states=1)
    known = {_fingerprint(first)}
    steps = [_Step(-1, "")]
    queue = deque([(first, 0, 0)])
    while queue and result.states < states_max:
        state, index, events_so_far = queue.popleft()
        for event in possible_events(state, implementation):
            after = _copy(state)
            event.apply(after)
            fingerprint = _fingerprint(after)
            if fingerprint in known:
                continue
            known.add(fingerprint)
            steps.append(_Step(index, event.name))
            if result.examine(after):
                result.violation = _describe(steps, after)
                return result
            if events_so_far + 1 < depth:
                queue.append((after, len(steps) - 1, events_so_far + 1))
    return result


def random_histories(
    count: int, length: int = 40, fault: Implementation | None = None, clients: int = 3, seed: int = 1
) -> SearchResult:
    """Examine this many histories of `length` random events, until the first violation."""
    implementation = fault or Implementation()
    chance = random.Random(seed)
    result = SearchResult()
    for _ in range(count):
        state = initial_state(clients, implementation)
        names: list[str] = []
        for _ in range(length):
            event = chance.choice(possible_events(state, implementation))
            event.apply(state)
            names.append(event.name)
            if result.examine(state):
                result.violation = [*names, f"now {state.held()} of {LIMIT} are held"]
                return result
    return result


def _describe(steps: Sequence[_Step], state: ModelState) -> list[str]:
    """The events that led to the last step, and what is held then."""
    names = []
    index = len(steps) - 1
    while index > 0:
        names.append(steps[index].event)
        index = steps[index].parent
    now = state.client_now()
    held = ", ".join(
        f"c{client} holds {lease.allocation_at(now).amount}" for client, lease in enumerate(state.leases)
    )
    return [*reversed(names), f"now {held}: {state.held()} of {LIMIT}"]


def main(argv: Sequence[str] | None = None) -> int:
    """Run a search; the exit code."""
    parser = argparse.ArgumentParser(prog="testbed.quota.model", description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--clients", "--holders", type=int, default=3)
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument(
        "--histories", "--walks", type=int, default=0, help="random histories, in place of all orders"
    )
    parser.add_argument("--fault", choices=sorted(FAULTS), help="with this fault planted")
    options = parser.parse_args(argv)
    started_at = time.monotonic()
    fault = FAULTS[options.fault] if options.fault else None
    if options.histories:
        result = random_histories(options.histories, fault=fault, clients=options.clients)
    else:
        result = search(options.clients, options.depth, fault)
    elapsed_s = time.monotonic() - started_at
    print(f"{result.states} states in {elapsed_s:.1f} s; {result.held_max} of {LIMIT} held at the most")
    for number, event in enumerate(result.violation, start=1):
        print(f"{number:>3}  {event}")
    print("FAILED: more held than the limit" if result.violation else "PASSED")
    return 1 if result.violation else 0


if __name__ == "__main__":
    sys.exit(main())
