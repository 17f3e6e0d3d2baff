"""Graceful stop: what an entry that will exit soon may still begin."""
