"""The demonstration: one sidecar, emulated backends of both protocols, and clients of both, while backends fail."""
