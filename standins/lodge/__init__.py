"""A lodge node: three speeds, a cold start, a queue, a drain; it speaks HTTP or MessagePack-RPC and logs each run."""

from standins.lodge.model import SPEEDS, Lodge, Memory, Run, RunLog
from standins.lodge.server import LodgeServer

__all__ = ["SPEEDS", "Lodge", "LodgeServer", "Memory", "Run", "RunLog"]
