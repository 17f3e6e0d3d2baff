"""Overload protection: rate limits, concurrency limits and fair queueing."""
