"""Benchmarks with regression bounds, in virtual time and over loopback."""
