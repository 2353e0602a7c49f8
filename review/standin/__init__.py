"""Stand-ins for the platform around a sidecar: discovery, servers, clients and the starter of processes."""
