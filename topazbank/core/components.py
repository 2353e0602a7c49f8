"""The configuration of a sidecar and the components it is assembled from; `wiring` creates them."""

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
    gossip: GossipAddresses | None = None  # None: gossip is off
    admin_address: Address | None = None  # None: the admin API is off
    fleet_size: FleetSize | None = None  # estimated at run time; None: not estimated
    handover_folder: str | None = None  # holds the handover socket and spooled bodies; None: no handover
    inherited: bool = False  # whether `cached_endpoints` was handed over by the replaced process
    memory_limit_bytes: int | None = None  # None: not configured


class RequestObserver(RoutingPlan, Protocol):
    """Observes requests and may guide the balancer with a routing plan."""

    def start(
        self, ejected: Callable[[], Collection[str]], generations: Callable[[], Generations | None]
    ) -> None:
        """Start; `ejected` returns the names of ejected servers, `generations` those of the cluster's members."""

    def stop(self) -> None:
        """Stop."""

    def endpoints_updated(self, servers: Sequence[ServerDescription]) -> None:
        """Handle changed entries of the endpoint list."""

    def request_arrived(self, request_class: str) -> None:
        """Handle the arrival of a client's request."""

    def request_answered(self, request_class: str, served: bool) -> None:
        """Handle the final response to a request; `served`: whether a server produced it."""

    def attempt_sent(self, server: str) -> None:
        """Handle the start of an attempt."""

    def attempt_ended(
        self, server: str, delivered: bool, elapsed_us: int, report: Mapping[str, float] | None
    ) -> None:
        """Handle the end of an attempt; `report`: the server's load report, if it sent one."""

    def status(self) -> dict[str, Any]:
        """Return its part of the status page."""


class ClusterMembership(Protocol):
    """Detects which sidecars of the cluster are alive, and computes this one's share of fleet-wide quotas."""

    def start(self, send: Callable[[Address, bytes], None]) -> None:
        """Start; `send` sends a datagram."""

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle a datagram that does not belong to load gossip."""

    def leave(self) -> None:
        """Announce that this member is leaving the cluster."""

    def suspend(self) -> None:
        """Pause while another process acts as this member."""

    def resume(self) -> None:
        """Resume after a pause."""

    def stop(self) -> None:
        """Stop."""

    def generations(self) -> Generations:
        """Return the generations of the cluster's members."""

    def fleet_quota(self, offset_us: int) -> FleetQuota | None:
        """Return this process's quotas; `offset_us`: the offset of its clock from the monotonic clock."""

    def status(self) -> dict[str, Any]:
        """Return its part of the status page."""

    def handover_state(self) -> dict[str, Any]:
        """Return the state that the replacing process needs to continue as this member."""


# Arguments: the configuration, the fleet size, which the membership updates, and the state that a replaced process
# handed over.
MembershipFactory = Callable[[SidecarConfig, FleetSize, Mapping[str, Any]], ClusterMembership]


@dataclass(frozen=True, slots=True)
class Components:
    """The components of a sidecar; None: that feature is off."""

    http_connection: ConnectionFactory
    msgpack_rpc_connection: ConnectionFactory | None
    upstream_clients: Callable[[Settings, ConnectionLimit], Mapping[str, UpstreamClient]]  # by protocol
    endpoint_source: Callable[[SidecarConfig, Callable[[EndpointList | None], None]], EndpointSource]
    has_status_page: bool = False  # whether clients may read the status page
    protocol_defaults: ProtocolDefaults = field(default_factory=ProtocolDefaults)
    observer: Callable[[SidecarConfig, Callable[[], int]], RequestObserver] | None = None
    trace: Callable[[Balancer], Trace] | None = None
    cluster_membership: MembershipFactory | None = None
