"""The usual response time by class and cost, and how each server compares with it."""

from __future__ import annotations

from typing import Final

from topazbank.balancing.context import DecisionContext
from topazbank.balancing.load import OwnLoad
from topazbank.balancing.requests import Request
from topazbank.balancing.servers import Server

UNKNOWN_TIME_RATIO: Final = 0.3  # the usual time before any response came, of the latency objective
USUAL_STEP: Final = 0.02  # the usual time and cost of a class follow its last fifty requests or so
LATENCY_STEP: Final = 0.1  # a server's latency ratio follows its last ten responses, or fewer where few come
LATENCY_RATIO_MAX: Final = 4.0  # of one response: a heavy request says little of its server
OVERDUE_TIMES: Final = 2.5  # usual times, at its server's pace, after which an attempt is overdue
OVERDUE_OBJECTIVE_RATIO: Final = (
    0.1  # but never sooner than this part of the objective: short times are all jitter
)


class ResponseTimes:
    """Learns usual response times from the responses that come."""

    def __init__(self, context: DecisionContext, load: OwnLoad) -> None:
        self._context = context
        self._load = load
        self._usual_us: dict[tuple[str, int], float] = {}  # by class and cost bucket, over all servers
        self._mean_cost_us: dict[str, float] = {}  # by class

    def relative_cost(self, request_class: str, cost_us: int | None) -> float:
        """The cost of a request relative to the mean of its class; 1 where its client gave no hint."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(request_class, float(cost_us))
        self._mean_cost_us[request_class] = mean + USUAL_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def usual_us(self, request: Request) -> float:
        """The usual response time of such a request, over all servers, microseconds."""
        default = UNKNOWN_TIME_RATIO * request.request_class.latency_objective_us
        return self._usual_us.get((request.request_class.name, request.cost_bucket), default)

    def overdue_us(self, request: Request, server: Server) -> int:
        """How long an attempt there may take before it is overdue, microseconds."""
        objective_us = request.request_class.latency_objective_us
        usual_us = OVERDUE_TIMES * self.usual_us(request) * max(server.latency_ratio, 1.0)
        return int(max(usual_us, OVERDUE_OBJECTIVE_RATIO * objective_us, self._context.settings.tick_us))

    def responded(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Learn from a response."""
        key = (request.request_class.name, request.cost_bucket)
        usual_us = self._usual_us.setdefault(key, float(elapsed_us))  # the first of its kind is usual
        self.follow_latency(server, request, elapsed_us)
        self._usual_us[key] = usual_us + USUAL_STEP * (elapsed_us - usual_us)

    def follow_latency(self, server: Server, request: Request, elapsed_us: int) -> None:
        """Learn how long a server takes relative to the usual."""
        ratio = min(elapsed_us / max(self.usual_us(request), 1.0), LATENCY_RATIO_MAX)
        server.latency_ratio += LATENCY_STEP * self._load.averaging_factor() * (ratio - server.latency_ratio)

    def failed(self, server: Server, request: Request) -> None:
        """Learn from an error.  Guards against a server that looks quick because it fails quickly."""
        self.follow_latency(server, request, int(LATENCY_RATIO_MAX * self.usual_us(request)))
