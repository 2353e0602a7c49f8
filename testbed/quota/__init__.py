"""Quotas under test: every order of events of a small model, fleets in virtual time, and real processes."""
