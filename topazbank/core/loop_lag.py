"""Logs when the event loop lags: everything that this process does is late then."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

log = logging.getLogger(__name__)

_INTERVAL_S: Final = 0.25  # between two checks
_LOGGED_LAG_S: Final = 0.05  # a lag from which on it is logged


async def log_loop_lag() -> None:
    """Check until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + _INTERVAL_S
        await asyncio.sleep(_INTERVAL_S)
        lag_s = loop.time() - due_at
        if lag_s > _LOGGED_LAG_S:
            log.warning("the event loop was %.0f ms late", lag_s * 1000)
