"""In service: the operators' desk, drains, and two processes that are one sidecar for the time of an upgrade."""
