"""Estimates of the fleet's load from what one sidecar observes.  They are inputs of load balancing and do no I/O."""
