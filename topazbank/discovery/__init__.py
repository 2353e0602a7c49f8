"""Where the list of nodes comes from."""
