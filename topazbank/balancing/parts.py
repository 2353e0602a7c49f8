"""Creates the components of one balancer, in order of their dependencies."""

from __future__ import annotations

from topazbank.balancing.admission import Admission
from topazbank.balancing.agenda import Agenda
from topazbank.balancing.attempt_outcomes import AttemptOutcomes
from topazbank.balancing.attempt_sender import AttemptSender
from topazbank.balancing.concurrency_limit import ConcurrencyLimit
from topazbank.balancing.context import DecisionContext
from topazbank.balancing.costs import Costs
from topazbank.balancing.endpoint_polling import EndpointPolling
from topazbank.balancing.endpoint_updates import EndpointUpdates
from topazbank.balancing.fleet import RoutingPlan
from topazbank.balancing.gossip_exchange import GossipExchange
from topazbank.balancing.health_checks import HealthChecks
from topazbank.balancing.idle_connections import IdleConnections
from topazbank.balancing.key_ordering import KeyOrdering
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.outlier_ejection import OutlierEjection
from topazbank.balancing.request_lifecycle import RequestLifecycle
from topazbank.balancing.response_times import ResponseTimes
from topazbank.balancing.retry_policy import RetryPolicy
from topazbank.balancing.selection import Selection
from topazbank.balancing.servers import ServerTable
from topazbank.balancing.settings import Settings
from topazbank.balancing.slow_start import SlowStart
from topazbank.balancing.sparse_admission import SparseAdmission
from topazbank.estimation.load_estimator import LoadEstimator


class BalancerParts:
    """The components of one balancer.  Each piece of state has one owner, from which other components read it."""

    def __init__(self, settings: Settings, seed: int, plan: RoutingPlan | None) -> None:
        """`seed` determines every random choice.  `plan` is a planner's routing plan; None if there is no planner."""
        self.context = context = DecisionContext(settings, seed)
        self.costs = Costs.of(settings)
        self.agenda = Agenda(context)
        self.servers = ServerTable(context)
        self.load = OwnLoad(context)
        self.estimator = LoadEstimator(context.longest_objective_us, settings.mean_late_value_ratio())
        self.times = ResponseTimes(context, self.load)
        self.slow_start = SlowStart(context, self.servers, self.load, plan)
        self.retries = RetryPolicy(context)
        self.ejection = OutlierEjection(context, self.servers, self.load, self.slow_start, self.retries)
        self.gossip = GossipExchange(context, self.servers)
        self.ordering = KeyOrdering(context, self.agenda)
        self.polling = EndpointPolling(context, self.agenda, seed)
        self._create_admission()
        self._create_selection(plan)
        self._create_lifecycle()

    def _create_admission(self) -> None:
        context, load, estimator = self.context, self.load, self.estimator
        # With health checks for each request, the reported loads replace the concurrency limit.
        enabled = not self.costs.checks_each_request
        self.sparse = SparseAdmission(context, load, estimator)
        self.limit = ConcurrencyLimit(
            context, self.servers, load, self.slow_start, self.sparse, estimator, enabled
        )
        self.admission = Admission(context, self.limit, self.sparse, estimator, enabled)

    def _create_selection(self, plan: RoutingPlan | None) -> None:
        context, servers, load = self.context, self.servers, self.load
        self.selection = Selection(
            context,
            servers,
            load,
            self.limit,
            self.slow_start,
            self.ejection,
            self.retries,
            self.costs,
            self.gossip,
            plan,
        )
        self.checks = HealthChecks(
            context,
            self.agenda,
            servers,
            self.limit,
            self.slow_start,
            self.ejection,
            self.selection,
            self.estimator,
            self.costs,
        )
        self.connections = IdleConnections(context, self.agenda, servers, load, self.checks)
        self.updates = EndpointUpdates(
            context, servers, self.slow_start, self.ejection, self.polling, self.checks
        )

    def _create_lifecycle(self) -> None:
        context, agenda, load, times = self.context, self.agenda, self.load, self.times
        self.sender = AttemptSender(
            context,
            agenda,
            load,
            times,
            self.slow_start,
            self.estimator,
            self.ejection,
            self.retries,
            self.ordering,
            self.connections,
        )
        self.lifecycle = RequestLifecycle(
            context,
            agenda,
            load,
            times,
            self.retries,
            self.ordering,
            self.selection,
            self.checks,
            self.admission,
            self._create_outcomes(),
            self.sender,
            self.gossip,
            self.costs.own_zone_first,
        )

    def _create_outcomes(self) -> AttemptOutcomes:
        return AttemptOutcomes(
            self.context,
            self.agenda,
            self.load,
            self.times,
            self.limit,
            self.sparse,
            self.estimator,
            self.ejection,
            self.retries,
            self.ordering,
            self.checks,
            self.connections,
        )
