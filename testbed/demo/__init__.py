"""The demonstration: one sidecar with emulated backends and clients of both protocols, while backends fail."""
