"""A lodge node: three speeds, a cold start, a queue, a drain; it speaks HTTP or MessagePack-RPC and logs each run."""

from testbed.backend.model import SPEED_RATIOS, Backend, IdempotencyCache, Run, RunLog
from testbed.backend.server import BackendServer

__all__ = ["SPEED_RATIOS", "Backend", "BackendServer", "IdempotencyCache", "Run", "RunLog"]
