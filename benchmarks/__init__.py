"""Benchmarks, one script for each question; what is compared is measured in one run."""
