"""What a sidecar can tell of a fleet that it sees a sliver of: inputs of the decision module, without I/O."""
