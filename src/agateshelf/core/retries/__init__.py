"""Retry policy, retry budget and deadline propagation."""
