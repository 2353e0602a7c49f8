"""Crowds of clients against one real sidecar that has the platform's limits on memory and descriptors."""
