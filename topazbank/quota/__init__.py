"""Fleet-wide quotas that are divided among the sidecars by leases.  See docs/design/quotas.md."""
