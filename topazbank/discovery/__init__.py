"""Service discovery: the sources of the endpoint list, and the registration of a node."""
