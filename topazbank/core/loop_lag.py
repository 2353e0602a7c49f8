"""Logs event loop lag, which delays everything this process does."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

log = logging.getLogger(__name__)

_CHECK_INTERVAL_S: Final = 0.25
_LAG_WARNING_THRESHOLD_S: Final = 0.05


async def log_loop_lag() -> None:
    """Check the event loop's lag periodically until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + _CHECK_INTERVAL_S
        await asyncio.sleep(_CHECK_INTERVAL_S)
        lag_s = loop.time() - due_at
        if lag_s > _LAG_WARNING_THRESHOLD_S:
            log.warning("event loop lag: %.0f ms", lag_s * 1000)
