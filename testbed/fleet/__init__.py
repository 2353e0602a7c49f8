"""Fleets on loopback: backends, the ensemble that lists them, sidecars, clients, scripted failures and invariants."""

from testbed.fleet.harness import FleetHarness
from testbed.fleet.invariants import CallRecord, EndpointNotice, InvariantReport, check_invariants

__all__ = ["CallRecord", "EndpointNotice", "FleetHarness", "InvariantReport", "check_invariants"]
