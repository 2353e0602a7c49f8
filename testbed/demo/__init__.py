"""The whole of it on one machine: nodes of both protocols, the registry, one sidecar, clients of both protocols."""
