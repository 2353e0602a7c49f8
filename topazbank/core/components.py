"""What a sidecar is configured with, and the components it is put together from; `wiring` makes them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from topazbank.balancing.balancer import Balancer
from topazbank.balancing.events import ServerDescription
from topazbank.balancing.fleet import FleetQuota, RoutingPlan
from topazbank.balancing.settings import Settings
from topazbank.cluster.member import Generations
from topazbank.core.client_connection import ConnectionFactory
from topazbank.core.endpoint_source import EndpointList, EndpointSource, ProtocolDefaults
from topazbank.core.gossip_transport import GossipAddresses
from topazbank.core.net import Address
from topazbank.core.trace import Trace
from topazbank.core.upstream_client import ConnectionLimit, UpstreamClient
from topazbank.estimation.fleet_size import FleetSize


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """The configuration of one sidecar."""

    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    settings: Settings
    cached_endpoints: EndpointList
    gossip: GossipAddresses | None = None  # None: sidecars exchange no messages
    admin_address: Address | None = None  # of the admin API; None: there is none
    fleet_size: FleetSize | None = None  # as estimated at run time; None: nobody estimates it
    handover_folder: str | None = None  # of an upgrade's socket, and of spooled bodies; None: no handover
    inherited: bool = False  # whether `cached_endpoints` comes from the process before, in an upgrade


class RequestObserver(RoutingPlan, Protocol):
    """Observes requests and may guide the balancer with a routing plan."""

    def start(
        self, ejected: Callable[[], Collection[str]], generations: Callable[[], Generations | None]
    ) -> None:
        """Begin; `ejected`: names of the servers ejected now, `generations`: those of the cluster's members."""

    def stop(self) -> None:
        """End."""

    def endpoints_updated(self, servers: Sequence[ServerDescription]) -> None:
        """Entries of the endpoint list have changed."""

    def request_arrived(self, request_class: str) -> None:
        """A client's request of this class has come."""

    def request_answered(self, request_class: str, served: bool) -> None:
        """A request has its final answer; `served`: a server's response."""

    def attempt_sent(self, server: str) -> None:
        """An attempt at a server has begun."""

    def attempt_ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        """An attempt has ended; `report`: the server's load report, if it sent one."""

    def status(self) -> dict[str, Any]:
        """Its part of the status page."""


class ClusterMembership(Protocol):
    """Finds out which sidecars of the cluster are alive, and gives this one its part in fleet-wide quotas."""

    def start(self, send: Callable[[Address, bytes], None]) -> None:
        """Begin; `send` sends a datagram."""

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """A datagram has come that is not the load gossip's."""

    def leave(self) -> None:
        """Announce that this member leaves."""

    def suspend(self) -> None:
        """Pause: another process is this member."""

    def resume(self) -> None:
        """Go on after a pause."""

    def stop(self) -> None:
        """End."""

    def generations(self) -> Generations:
        """The generations of the cluster's members."""

    def fleet_quota(self, offset_us: int) -> FleetQuota | None:
        """This process's quotas; `offset_us`: how far its clock is ahead of the monotonic one."""

    def status(self) -> dict[str, Any]:
        """Its part of the status page."""

    def handover_state(self) -> dict[str, Any]:
        """What the process that replaces this one needs to go on as this member."""


# Makes it of the configuration, the fleet's size that it keeps up to date, and what a former process handed over.
MembershipFactory = Callable[[SidecarConfig, FleetSize, Mapping[str, Any]], ClusterMembership]


@dataclass(frozen=True, slots=True)
class Components:
    """The components of a sidecar; None: that function is off."""

    http_connection: ConnectionFactory
    msgpack_rpc_connection: ConnectionFactory | None
    upstream_clients: Callable[[Settings, ConnectionLimit], Mapping[str, UpstreamClient]]  # by protocol
    endpoint_source: Callable[[SidecarConfig, Callable[[EndpointList | None], None]], EndpointSource]
    has_status_page: bool = False  # whether clients may read the status page
    protocol_defaults: ProtocolDefaults = field(default_factory=ProtocolDefaults)
    observer: Callable[[SidecarConfig, Callable[[], int]], RequestObserver] | None = None
    trace: Callable[[Balancer], Trace] | None = None
    cluster_membership: MembershipFactory | None = None
