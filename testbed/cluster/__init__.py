"""Many sidecars as one cluster, with faults between any two: as real processes, and in virtual time.

python -m testbed.cluster [SCENARIO ...] --sidecars N --seed S [--played]
"""
