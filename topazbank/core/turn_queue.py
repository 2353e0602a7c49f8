"""The turns of connections that have more work than they may do at once, in their order.

The event loop handles everything that is ready before it looks for new input.  With hundreds of connections that each
have work, one iteration would take long, and a new request needs several.  The queue therefore takes turns for a
bounded time of each iteration only: a part of what the rest of the iteration took, so that they make progress at any
load, within limits.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

TURNS_S_MIN: Final = 0.005  # of one iteration of the event loop; the last turn may take longer
TURNS_S_MAX: Final = 0.02
TURNS_RATIO: Final = 0.25  # of the rest of the iteration


class Turn:
    """A turn that is due; it can be cancelled."""

    __slots__ = ("take",)

    def __init__(self, take: Callable[[], None]) -> None:
        self.take: Callable[[], None] | None = take

    def cancel(self) -> None:
        """Cancel the turn; no effect once it was taken."""
        self.take = None


class TurnQueue:
    """All turns that are due in one event loop."""

    def __init__(self) -> None:
        self._turns: deque[Turn] = deque()
        self._is_scheduled = False
        self._scheduled_at = 0.0  # on the event loop's clock

    def __len__(self) -> int:
        """The number of turns that are due, including cancelled ones."""
        return len(self._turns)

    def add(self, take: Callable[[], None]) -> Turn:
        """Let `take` be called in its order, from the event loop's next iteration on."""
        turn = Turn(take)
        self._turns.append(turn)
        self._schedule()
        return turn

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop = asyncio.get_running_loop()
            self._scheduled_at = loop.time()
            loop.call_soon(self._take_turns)

    def _take_turns(self) -> None:
        """Take the turns that are due by now, one at least, until their time in this iteration is over."""
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        now = loop.time()
        end_at = now + min(max(TURNS_RATIO * (now - self._scheduled_at), TURNS_S_MIN), TURNS_S_MAX)
        try:
            for _ in range(len(self._turns)):
                take = self._turns.popleft().take
                if take is not None:
                    take()
                if loop.time() >= end_at:
                    break
        finally:
            if self._turns:
                self._schedule()
