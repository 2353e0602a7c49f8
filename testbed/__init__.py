"""Emulators of what surrounds a sidecar, harnesses that run fleets of sidecars, and invariants that check the runs.

Emulators run alone as well: `python -m testbed.backend`, `.registry`, `.zookeeper`.  They speak the published protocols
with code of their own and import none of the logic that they check, so that a misreading in topazbank does not cancel
out.
"""
