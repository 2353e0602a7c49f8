"""Measurements, one script a question; each compares in one run."""
