"""The usual response time by class and cost, and the latency of each server relative to it."""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.requests import Request
from topazbank.balancing.servers import Server

# Usual response time before the first response, as a part of the latency objective.
INITIAL_USUAL_RATIO: Final = 0.3
# Weight of a new sample in the usual time and cost of a class: averages about the last 50 requests.
USUAL_STEP: Final = 0.02
# Weight of a new sample in a server's latency ratio: averages the last 10 responses, or fewer if responses are rare.
LATENCY_STEP: Final = 0.1
# Upper bound on the ratio of one response, as a heavy request says little about its server.
LATENCY_RATIO_MAX: Final = 4.0
# An attempt is overdue after this multiple of the usual time, scaled by its server's latency ratio.
OVERDUE_USUAL_MULTIPLE: Final = 2.5
# Lower bound on the overdue time, as a part of the latency objective: shorter times are mostly jitter.
OVERDUE_OBJECTIVE_RATIO: Final = 0.1


class ResponseTimes:
    """Learns usual response times from the responses received."""

    def __init__(self, context: DecisionContext, load: OwnLoad) -> None:
        self._context = context
        self._load = load
        self._usual_us: dict[tuple[str, int], float] = {}  # by class and cost bucket, across all servers
        self._mean_cost_us: dict[str, float] = {}  # by class

    def relative_cost(self, request_class: str, cost_us: int | None) -> float:
        """The cost of a request relative to the mean of its class; 1 if its client gave no cost hint."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(request_class, float(cost_us))
        self._mean_cost_us[request_class] = mean + USUAL_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def usual_us(self, request: Request) -> float:
        """The usual response time for the class and cost of a request across all servers, in microseconds."""
        default_us = INITIAL_USUAL_RATIO * request.request_class.latency_objective_us
        return self._usual_us.get((request.request_class.name, request.cost_bucket), default_us)

    def overdue_us(self, request: Request, server: Server) -> int:
        """How long an attempt sent to this server may take before it is overdue, in microseconds."""
        objective_us = request.request_class.latency_objective_us
        usual_us = OVERDUE_USUAL_MULTIPLE * self.usual_us(request) * max(server.latency_ratio, 1.0)
        return int(max(usual_us, OVERDUE_OBJECTIVE_RATIO * objective_us, self._context.settings.tick_us))

    def responded(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Update the server's latency ratio and the usual response time from a response."""
        class_and_bucket = (request.request_class.name, request.cost_bucket)
        # The first response sets the usual time.
        usual_us = self._usual_us.setdefault(class_and_bucket, float(elapsed_us))
        self.update_latency_ratio(server, request, elapsed_us)
        self._usual_us[class_and_bucket] = usual_us + USUAL_STEP * (elapsed_us - usual_us)

    def update_latency_ratio(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Update a server's latency ratio from the duration of one attempt."""
        ratio = min(elapsed_us / max(self.usual_us(request), 1.0), LATENCY_RATIO_MAX)
        server.latency_ratio += LATENCY_STEP * self._load.averaging_factor() * (ratio - server.latency_ratio)

    def failed(self, server: Server, request: Request) -> None:
        """Count an error as a slow response, so that a server that fails quickly does not look fast."""
        self.update_latency_ratio(server, request, int(LATENCY_RATIO_MAX * self.usual_us(request)))
