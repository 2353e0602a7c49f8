"""A fleet on loopback: nodes, the ensemble that lists them, sidecars and clients, failures by script, and a judge."""

from testbed.fleet.harness import FleetHarness
from testbed.fleet.invariants import CallRecord, EndpointNotice, InvariantReport, check_invariants

__all__ = ["CallRecord", "EndpointNotice", "FleetHarness", "InvariantReport", "check_invariants"]
