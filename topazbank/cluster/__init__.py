"""The sidecars among themselves: who of a tier is here, who is gone, and what can't be told.  No I/O but `service`."""
