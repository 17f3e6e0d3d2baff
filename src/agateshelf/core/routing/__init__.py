"""Routing: selects the target of each attempt."""
