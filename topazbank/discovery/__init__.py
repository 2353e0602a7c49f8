"""Service discovery: sources of the endpoint list, and registration of this node."""
