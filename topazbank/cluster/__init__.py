"""Cluster membership of the sidecars, by a SWIM-like protocol.  Only `service` does I/O."""
