"""Fleet-wide quotas, divided among the sidecars in leases: docs/design/quotas.md."""
