"""A lodge node: three speeds, a cold start, a queue, a drain; it speaks HTTP or MessagePack-RPC and logs each run."""

from testbed.backend.model import SPEEDS, Lodge, Memory, Run, RunLog
from testbed.backend.server import LodgeServer

__all__ = ["SPEEDS", "Lodge", "LodgeServer", "Memory", "Run", "RunLog"]
