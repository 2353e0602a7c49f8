"""What is suspected of one member, since when and by whom; no I/O."""

from __future__ import annotations

from topazbank.cluster.settings import WITNESSES, ProtocolSettings

_WITNESSES_KEPT = 4 * WITNESSES  # beyond that one more changes nothing


class Suspicion:
    """A wait that ends with the member gone, unless it takes the suspicion back or is heard."""

    __slots__ = ("mine", "since", "witnesses")

    def __init__(self, now: int, witness: int, mine: bool) -> None:
        """`mine`: the own probe failed, rather than that others have told of it."""
        self.since = now
        self.mine = mine
        self.witnesses = {witness}

    def joins(self, witness: int) -> bool:
        """One more suspects by itself; False where it is known or no longer matters."""
        if witness in self.witnesses or len(self.witnesses) >= _WITNESSES_KEPT:
            return False
        self.witnesses.add(witness)
        return True

    def due(self, rules: ProtocolSettings, size: int, word_at: int | None, stretch: float, many: bool) -> int:
        """When the wait is over; it counts from the last word of the member that anybody has had.

        `many`: a good part of the tier went at once, and rather than believe it one waits as long again.
        """
        since = self.since if word_at is None or not rules.vouching else max(self.since, word_at)
        wait = rules.wait_us(size, len(self.witnesses))
        return since + int(wait * stretch * (2 if many else 1))
