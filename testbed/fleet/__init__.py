"""A fleet on loopback: nodes, the ensemble that lists them, sidecars and clients, failures by script, and a judge."""

from testbed.fleet.harness import Rig
from testbed.fleet.invariants import Called, Verdicts, Word, judge

__all__ = ["Called", "Rig", "Verdicts", "Word", "judge"]
