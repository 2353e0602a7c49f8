"""Large responses: they are forwarded while they are received, since their first bytes have a deadline.

A slow client thereby slows its server down (docs/design/operations.md compares the alternatives).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class StreamReceiver(Protocol):
    """Forwards a streamed response to its client."""

    def stream_data(self, data: bytes) -> None:
        """Forward received data."""

    def stream_ended(self, complete: bool) -> None:
        """End the response; if it is not `complete`, the client must be able to detect that."""


class ResponseStream:
    """A response that is forwarded while it is received; it ends exactly once."""

    def __init__(
        self,
        length: int | None,
        first_data: bytes,
        pause: Callable[[bool], None],
        abort: Callable[[], None],
    ) -> None:
        """`length`: None if the head does not state it; `pause(True)` pauses the server, `pause(False)` resumes it."""
        self.length = length  # bytes
        self.first_data = first_data
        self.pause = pause
        self._abort = abort
        self.receiver: StreamReceiver | None = None
        self.is_aborted = False  # whether its client has disconnected

    def abort(self) -> None:
        """Abort the response at the server after the client has disconnected."""
        self.receiver = None
        self.is_aborted = True
        self._abort()

    def feed(self, data: bytes) -> None:
        """Forward received data to the client."""
        if self.receiver is not None:
            self.receiver.stream_data(data)

    def finish(self, complete: bool) -> None:
        """End the response at the client; `complete`: whether the whole body was received."""
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.stream_ended(complete)
