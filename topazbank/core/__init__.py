"""What every protocol shares: calls, attempts, the listener, the nodes' table and the driver round the decisions."""
