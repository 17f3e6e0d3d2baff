"""Benchmarks with regression bounds, in virtual time and on loopback."""
