"""Budgets put to the test: every order of events of a small world, and large ones in played time."""
