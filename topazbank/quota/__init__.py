"""Fleet-wide budgets, divided among the sidecars: docs/design/quotas.md."""
