"""What a sidecar asks the servers when it has just begun and knows nothing of how they are.

Of many sidecars most may begin at once: a release kills them and they come back within a second, to a fleet that the
few that stayed have filled. Each lets in all that comes, since nothing says that it should not, until late answers
do; by then the servers hold seconds of work. A few probes tell it at once. Where probes are dear they are spent on
this alone: the budget is so many at a start, whatever comes after. No I/O; times in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping

from topazbank.balancing.settings import ReportSource, Settings
from topazbank.estimation.fleet_size import FleetSize

ASKED = 6  # servers probed at a start: half of them may be gone
CROWDED_PART = 0.5  # of those that have not failed, this part crowded tells of a fleet that is full
ANSWERS_LEAST = 2  # fewer say nothing
COLUMNS = {"inflight", "queue", "latency_ms"}  # of a report that tells
ASKED_AIMS = 1.0  # after this many of the longest aim a sidecar has answers of its own


def can_tell(settings: Settings) -> bool:
    """Whether probes tell how full a server is, and there are others that may have filled it."""
    probed = settings.limits.health_checks and settings.report_source is ReportSource.HEALTH_CHECKS
    return probed and settings.fleet_size > 1 and COLUMNS <= set(settings.report_columns)


class Soundings:
    """The probes of one start, and what they came to."""

    def __init__(self, settings: Settings, others: FleetSize) -> None:
        aims = [each.latency_objective_us for each in settings.classes]
        self._aim_us = sum(aims) / len(aims)
        self._longest_aim_us = max(aims)
        self._others = others
        self.asked = 0
        self._asked_until = 0
        self._taken = 0
        self._crowded = 0
        self._failed = 0
        self._held = 0.0

    def begin(self, now: int, ready: int) -> int:
        """How many of so many servers to probe now; none after the first time."""
        if self.asked:
            return 0
        self.asked = min(ASKED, ready)
        self._asked_until = now + int(ASKED_AIMS * self._longest_aim_us)
        return self.asked

    def heard(self, report: Mapping[str, float] | None, bearable: float) -> None:
        """A probe ended; `bearable`: the part of its aim that a request may take.  None: it failed."""
        if report is None:
            self._failed += 1
            return
        held, expected = report.get("inflight"), expected_us(report)
        if held is None or expected is None:
            return
        self._taken += 1
        self._held += max(held, 0.0)
        self._crowded += expected > bearable * self._aim_us

    def fair_share(self, now: int, ready: int) -> float | None:
        """Requests in flight that are this sidecar's share of what the fleet holds, where that is full; else None.

        `ready`: servers that the list names.  As many of them are taken for gone as left their probes unanswered.
        """
        if now > self._asked_until or self._taken < ANSWERS_LEAST:
            return None
        if self._crowded < CROWDED_PART * (self.asked - self._failed):
            return None  # nor can it be told yet, while answers are awaited that may say otherwise
        alive = ready * self._taken / (self._taken + self._failed)
        return self._held / self._taken * alive / self._others.most


def expected_us(report: Mapping[str, float]) -> float | None:
    """What a request would take at a server by its report: its wait and its service; None: the report can't tell.

    What waits is worked off by as many as are in work, each in the service time of late.
    """
    held, waiting, service_ms = (report.get(name) for name in ("inflight", "queue", "latency_ms"))
    if (
        held is None
        or waiting is None
        or service_ms is None
        or held < 0.0
        or waiting < 0.0
        or service_ms < 0.0
    ):
        return None
    in_work = max(held - waiting, 1.0)
    return 1000.0 * service_ms * (1.0 + waiting / in_work)
