"""What all protocols share: calls, attempts, endpoints, client connections, and the driver around the balancer."""
