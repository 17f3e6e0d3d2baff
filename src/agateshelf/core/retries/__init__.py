"""Retries: when an attempt may follow another, and how many may at all."""
