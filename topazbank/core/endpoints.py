"""The nodes that the list holds, and which carrier speaks to each; what happened to an attempt is its `Outcome`."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from topazbank.balancing.events import Outcome, ServerState
from topazbank.core.call import Call, OutcomeCallback, Response
from topazbank.core.net import Address
from topazbank.core.request_rules import RequestRules
from topazbank.core.timers import Timer, Timers

log = logging.getLogger(__name__)

HTTP = "http"
MSGPACK_RPC = "msgpack-rpc"
PROTOCOLS = (HTTP, MSGPACK_RPC)

_NOWHERE: Address = ("127.0.0.1", 0)  # of a server that takes nothing new anyway


@dataclass(slots=True, eq=False)
class Endpoint:
    """Where a node listens now, what it speaks, and what its carrier keeps of it."""

    name: str
    address: Address
    started_at: int | None
    state: ServerState
    protocol: str
    pool: Any = None  # its carrier's own
    generation: int = 0  # of its process: older connections are not used again
    draining_since: float | None = (
        None  # since when it takes nothing new, on the event loop's clock; None: it does
    )


@dataclass(frozen=True, slots=True)
class AttemptDeadlines:
    """The times of an attempt, on the event loop's clock."""

    give_up_at: float  # when it is given up
    is_final: bool = True  # whether its request is over then, so that no other attempt follows
    write_by: float = math.inf  # it ends unsent where its last byte has not gone to the kernel by then
    rules: RequestRules | None = None  # what its writing is held to; a probe has none


class Attempt:
    """One attempt or probe, from its start to its one outcome."""

    def __init__(
        self, endpoint: Endpoint, terms: AttemptDeadlines, ended: OutcomeCallback, call: Call | None = None
    ) -> None:
        """`call`: of an attempt; a probe has none."""
        self.endpoint = endpoint
        self.give_up_at = terms.give_up_at
        self._write_by = terms.write_by
        self._rules = terms.rules
        self._let_go = False  # whether its first byte was let go to the server
        self.call = call
        self.on_ended: OutcomeCallback | None = ended
        self.on_response_started: Callable[[Response], None] | None = (
            None  # hears of an answer that is passed on as it comes
        )
        self.timers: list[Timer] = []

    def may_write(self) -> bool:
        """Whether its first byte may go to the server now; asked once, just before that."""
        if self.call is None or self._rules is None:
            return True
        now = asyncio.get_running_loop().time()
        denied = self._rules.check_write(self.call, self.endpoint, now, self._write_by)
        if denied is not None:
            log.info("request %s is not sent to %s: %s", self.call.call_id, self.endpoint.name, denied.value)
        self._let_go = denied is None
        return self._let_go

    def remaining_s(self) -> float:
        """How long its server is told that it waits, seconds."""
        now = asyncio.get_running_loop().time()
        if self.call is None or self._rules is None:
            return max(self.give_up_at - now, 0.0)
        return self._rules.remaining_s(self.call, self.give_up_at, now)

    def arm_write_deadline(self, timers: Timers) -> None:
        """See to it that it ends in time where its writing has a time of its own."""
        if self._write_by < self.give_up_at:
            self.timers.append(timers.call_at(self._write_by, _unsend, self))

    def response_started(self, response: Response) -> None:
        """A large answer has begun: it is its client's now, and no longer bounded by the attempt's time."""
        for timer in self.timers:
            timer.cancel()
        if self.on_response_started is not None and self.on_ended is not None:
            self.on_response_started(response)

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        """Tell the outcome, once; what comes later is nobody's."""
        ended, self.on_ended = self.on_ended, None
        if ended is None:
            return
        for timer in self.timers:
            timer.cancel()
        self.release(outcome)
        if self.call is not None and self._rules is not None:
            self._rules.attempt_ended(self.call, outcome, self._let_go)
        ended(outcome, response)

    def release(self, outcome: Outcome) -> None:
        """Give back what the attempt held, before its outcome is told."""

    def cancel(self, final: bool) -> None:
        """Stop waiting.  `final`: its request has its answer, so no other attempt follows this one."""
        self.end(Outcome.CANCELLED)

    def cancel_unwritten(self) -> None:
        """End it if it is not all written yet, so that it never will be."""
        raise NotImplementedError


def _unsend(attempt: Attempt) -> None:
    attempt.cancel_unwritten()


class UpstreamClient(Protocol):
    """What speaks one protocol to nodes."""

    def add_endpoint(self, endpoint: Endpoint) -> None:
        """A node has come: make its pool."""

    def endpoint_restarted(self, endpoint: Endpoint) -> None:
        """Its process or place is another: no connection opened so far is used again."""

    def drain_endpoint(self, endpoint: Endpoint) -> None:
        """It takes nothing new: end what is not written and close what is idle."""

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """It has gone from the list; what is still out holds the endpoint until it ends."""

    def close_idle(self, endpoint: Endpoint) -> None: ...

    def send(
        self, endpoint: Endpoint, call: Call, terms: AttemptDeadlines, ended: OutcomeCallback
    ) -> Attempt: ...

    def check_health(self, endpoint: Endpoint, until: float, ended: OutcomeCallback) -> Attempt: ...

    def max_idle_connections(self) -> int:
        """How many connections rest at the node where the most do."""

    def close_oldest_idle(self) -> None:
        """Close the longest at rest there."""

    async def close(self) -> None:
        """Close what is idle and wait for dials to end."""


class ConnectionLimit:
    """Connections to nodes, and dials under way, of all carriers together: guards the descriptors."""

    def __init__(self, most: int) -> None:
        self.max_open = most
        self.open_count = 0
        self.clients: list[UpstreamClient] = []

    def is_full(self) -> bool:
        return self.open_count >= self.max_open

    def _drop_idle(self) -> bool:
        fullest = max(self.clients, key=lambda each: each.max_idle_connections())
        if not fullest.max_idle_connections():
            return False
        fullest.close_oldest_idle()
        return True

    def acquire(self) -> bool:
        """Take a place for one more connection, perhaps for an idle one elsewhere; say whether there is one."""
        if self.is_full() and not self._drop_idle():
            return False
        self.open_count += 1
        return True

    def release(self) -> None:
        self.open_count -= 1


class EndpointTable:
    """All nodes by name, each with the carrier of its protocol."""

    def __init__(self, slots: ConnectionLimit, probe_limit_s: float) -> None:
        self.connection_limit = slots
        self.endpoints: dict[str, Endpoint] = {}  # of the nodes that the list holds now
        self._at: dict[Address, dict[str, Endpoint]] = {}  # the same, by address
        self._contested: set[Address] = set()  # where two listen, so the list says; not looked at yet
        self._carriers: dict[str, UpstreamClient] = {}
        self._probe_limit_s = probe_limit_s

    def add_client(self, protocol: str, carrier: UpstreamClient) -> None:
        self._carriers[protocol] = carrier
        self.connection_limit.clients.append(carrier)

    def supports(self, protocol: str) -> bool:
        return protocol in self._carriers

    def update(
        self,
        name: str,
        address: Address | None,
        started_at: int | None,
        state: ServerState,
        protocol: str = HTTP,
    ) -> None:
        """Note what the list says of a node; a new process or place makes its old connections useless."""
        known = self.endpoints.get(name)
        if known is not None and known.protocol != protocol and state is not ServerState.REMOVED:
            self._remove(known)  # what it speaks now is another process's
            known = None
        if known is None:
            if state is not ServerState.REMOVED:
                known = Endpoint(name, address or _NOWHERE, started_at, state, protocol)
                self._carriers[protocol].add_endpoint(known)
                self.endpoints[name] = known
                self._settle(known)
            return
        if state is ServerState.REMOVED:
            self._remove(known)
            return
        address = address or known.address
        if (known.address, known.started_at) != (address, started_at):
            self._leave(known)
            known.address, known.started_at = address, started_at
            self._settle(known)
            known.generation += 1
            self._carriers[protocol].endpoint_restarted(known)
        known.state = state
        if state is ServerState.READY:
            known.draining_since = None
        else:
            known.draining_since = known.draining_since or time.monotonic()
            self._carriers[protocol].drain_endpoint(known)

    def _remove(self, endpoint: Endpoint) -> None:
        endpoint.state = ServerState.REMOVED
        endpoint.draining_since = endpoint.draining_since or time.monotonic()
        carrier = self._carriers[endpoint.protocol]
        carrier.drain_endpoint(endpoint)
        carrier.remove_endpoint(endpoint)
        del self.endpoints[endpoint.name]
        self._leave(endpoint)

    def _leave(self, endpoint: Endpoint) -> None:
        there = self._at.get(endpoint.address, {})
        there.pop(endpoint.name, None)
        if not there:
            self._at.pop(endpoint.address, None)

    def _settle(self, endpoint: Endpoint) -> None:
        """Note who listens where: two at one address are looked at by `displace`."""
        if endpoint.address == _NOWHERE:
            return
        there = self._at.setdefault(endpoint.address, {})
        there[endpoint.name] = endpoint
        if len(there) > 1:
            self._contested.add(endpoint.address)

    def remove_superseded(self, awaited: Callable[[str], bool] = lambda name: False) -> list[str]:
        """Drop the nodes whose address is that of one that started later: its process listens there now.

        An address is looked at once no word on a node there is awaited: that one may be about to leave it.
        """
        former = []
        for address in list(self._contested):
            there = self._at.get(address, {})
            if any(awaited(name) for name in there):
                continue
            self._contested.discard(address)
            latest = max((each.started_at or 0 for each in there.values()), default=0)
            former += [each for each in there.values() if (each.started_at or 0) < latest]
        for each in former:
            self._remove(each)
        return [each.name for each in former]

    def send(self, name: str, call: Call, terms: AttemptDeadlines, ended: OutcomeCallback) -> Attempt:
        """Start an attempt; `ended` hears its outcome exactly once, maybe before this returns."""
        endpoint = self.endpoints[name]
        return self._carriers[endpoint.protocol].send(endpoint, call, terms, ended)

    def check_health(self, name: str, ended: OutcomeCallback) -> Attempt:
        """Ask a node how it is."""
        endpoint = self.endpoints[name]
        until = asyncio.get_running_loop().time() + self._probe_limit_s
        return self._carriers[endpoint.protocol].check_health(endpoint, until, ended)

    def close_idle(self, name: str) -> None:
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._carriers[endpoint.protocol].close_idle(endpoint)

    async def close(self) -> None:
        for carrier in self._carriers.values():
            await carrier.close()
