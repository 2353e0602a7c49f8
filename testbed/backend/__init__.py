"""An emulated backend server for both protocols, with three speeds, slow start, a queue, draining and a run log."""

from testbed.backend.model import SPEED_RATIOS, Backend, IdempotencyCache, Run, RunLog
from testbed.backend.server import BackendServer

__all__ = ["SPEED_RATIOS", "Backend", "BackendServer", "IdempotencyCache", "Run", "RunLog"]
