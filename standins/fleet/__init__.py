"""A fleet on loopback: nodes, the ensemble that lists them, sidecars and clients, failures by script, and a judge."""

from standins.fleet.judge import Called, Verdicts, Word, judge
from standins.fleet.rig import Rig

__all__ = ["Called", "Rig", "Verdicts", "Word", "judge"]
