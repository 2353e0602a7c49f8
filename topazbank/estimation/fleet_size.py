"""How many sidecars share what this one can't see: as the settings tell, or as its tier is seen; no I/O.

Whoever divides something among all takes `most`: never fewer than may be here.  Without membership among the sidecars
it is what the settings say, as of the start.
"""

from __future__ import annotations

from collections.abc import Callable


class FleetSize:
    """The size of the tier as it is safe to go by, and word of who is gone."""

    __slots__ = ("_forget", "most")

    def __init__(self, told: int) -> None:
        """`told`: by the settings, this one included."""
        self.most = max(told, 1)
        self._forget: list[Callable[[int], None]] = []  # one for each part that keeps something by sender

    def when_gone(self, forget: Callable[[int], None]) -> None:
        """Call this with the number of each that is not here any more."""
        self._forget.append(forget)

    def gone(self, number: int) -> None:
        """The sidecar of this number in `peers` is not here any more."""
        for each in self._forget:
            each(number)
