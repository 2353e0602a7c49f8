"""Planners that see the whole fleet, and forwarders that follow them as far as it is safe."""
