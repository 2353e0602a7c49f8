"""An emulated backend server: three speeds, slow start, a queue, draining, a log of its runs; both protocols."""

from testbed.backend.model import SPEED_RATIOS, Backend, IdempotencyCache, Run, RunLog
from testbed.backend.server import BackendServer

__all__ = ["SPEED_RATIOS", "Backend", "BackendServer", "IdempotencyCache", "Run", "RunLog"]
