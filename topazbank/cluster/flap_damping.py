"""Marks members that repeatedly die and return as unstable, twice as long each time; no I/O, microseconds."""

from __future__ import annotations

from typing import NamedTuple

_WINDOW_US = 60_000_000  # window within which a second return counts as a flap
_HOLD_US = 4_000_000  # time for which a flapping member is unstable, doubled with each return
_DOUBLINGS_MAX = 4


class _Returns(NamedTuple):
    return_count: int
    last_at: int


_NO_RETURNS = _Returns(0, 0)


class FlapDamping:
    """Recent returns from the dead state, by member."""

    __slots__ = ("_returns",)

    def __init__(self) -> None:
        self._returns: dict[int, _Returns] = {}

    def note_return(self, now: int, ident: int) -> None:
        """Record that a member declared dead is alive again, in the same generation."""
        count, last_at = self._returns.get(ident, _NO_RETURNS)
        is_flap = now - last_at < _WINDOW_US << min(count, _DOUBLINGS_MAX)
        self._returns[ident] = _Returns(count + 1 if is_flap else 1, now)

    def unstable_until(self, ident: int) -> int:
        """Return the time until which a member counts as unstable; 0 if it does not flap."""
        count, last_at = self._returns.get(ident, _NO_RETURNS)
        if count <= 1:
            return 0
        return last_at + (_HOLD_US << min(count - 2, _DOUBLINGS_MAX))

    def unstable_count(self, now: int) -> int:
        """Return the number of unstable members."""
        return sum(self.unstable_until(ident) > now for ident in self._returns)

    def forget(self, ident: int) -> None:
        """Remove the returns of a member."""
        self._returns.pop(ident, None)
