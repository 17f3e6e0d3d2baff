"""Randomized soak test of a system of real processes under injected faults."""
