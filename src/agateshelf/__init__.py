"""A load balancer for targets whose load changes within milliseconds."""
