"""A soak test: dozens of real sidecars under random, overlapping faults, judged by invariants from outside."""
