"""Estimates of the fleet's load from what one sidecar observes: inputs of the decision module, without I/O."""
