"""Topazbank: a sidecar load balancer that selects servers by best-of-k with redraw."""

from topazbank.balancing.balancer import Balancer
from topazbank.balancing.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
