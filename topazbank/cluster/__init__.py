"""Membership among the sidecars of a cluster, by a SWIM-like protocol.  Only `service` does I/O."""
