"""A soak test: dozens of real sidecars under random, overlapping faults, checked by invariants from outside."""
