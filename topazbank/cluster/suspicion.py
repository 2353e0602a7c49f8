"""The suspicion of one member and its timeout; no I/O, times in microseconds."""

from __future__ import annotations

from topazbank.cluster.settings import CONFIRMATIONS_WANTED, ProtocolSettings

_REPORTERS_MAX = 4 * CONFIRMATIONS_WANTED  # further reporters don't shorten the timeout


class Suspicion:
    """A suspicion of one member, which is declared dead at the timeout unless it refutes the suspicion or is heard."""

    __slots__ = ("found_locally", "reporters", "since")

    def __init__(self, now: int, reporter: int, found_locally: bool) -> None:
        """`reporter`: short ident of the suspecting member; `found_locally`: whether the local member suspects too."""
        self.since = now
        self.found_locally = found_locally
        self.reporters = {reporter}

    def confirm(self, reporter: int) -> bool:
        """Add an independent reporter; return False if it is already counted or the maximum is reached."""
        if reporter in self.reporters or len(self.reporters) >= _REPORTERS_MAX:
            return False
        self.reporters.add(reporter)
        return True

    def expires_at(
        self, settings: ProtocolSettings, cluster_size: int, last_heard: int | None, factor: float
    ) -> int:
        """Return when the timeout ends; it restarts whenever any member hears the suspect.

        `factor`: multiplies the usual timeout.
        """
        since = self.since
        if last_heard is not None and settings.last_heard_gossip:
            since = max(since, last_heard)
        timeout_us = settings.suspicion_us(cluster_size, len(self.reporters))
        return since + int(timeout_us * factor)
