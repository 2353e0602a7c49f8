"""Ladderhold: the decisions of a sidecar balancer, by best-of-k with redraw."""

from ladderhold.balancer import Balancer
from ladderhold.interface import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
