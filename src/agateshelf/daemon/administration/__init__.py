"""HTTP API for operators and for health checks of the balancer."""
