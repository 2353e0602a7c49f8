"""The suspicion of one member, and when it times out; no I/O, times in microseconds."""

from __future__ import annotations

from topazbank.cluster.settings import CONFIRMATIONS_WANTED, ProtocolSettings

_REPORTERS_MAX = 4 * CONFIRMATIONS_WANTED  # further ones change nothing


class Suspicion:
    """A timeout that ends with the member dead, unless the member refutes it or is heard."""

    __slots__ = ("is_own", "reporters", "since")

    def __init__(self, now: int, reporter: int, is_own: bool) -> None:
        """`reporter`: short ident of the member that suspects; `is_own`: the local member's probe failed, too."""
        self.since = now
        self.is_own = is_own
        self.reporters = {reporter}

    def confirm(self, reporter: int) -> bool:
        """Add a member that suspects independently; return False where that changes nothing."""
        if reporter in self.reporters or len(self.reporters) >= _REPORTERS_MAX:
            return False
        self.reporters.add(reporter)
        return True

    def expires_at(
        self, settings: ProtocolSettings, cluster_size: int, last_heard: int | None, factor: float
    ) -> int:
        """Return when the timeout ends; it restarts whenever anyone hears the member.

        `factor`: how many times longer than usual to wait.
        """
        since = self.since
        if last_heard is not None and settings.last_heard_gossip:
            since = max(since, last_heard)
        timeout_us = settings.suspicion_us(cluster_size, len(self.reporters))
        return since + int(timeout_us * factor)
