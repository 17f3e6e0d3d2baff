"""Hedging of idempotent calls: a second attempt if the first one is slow."""
