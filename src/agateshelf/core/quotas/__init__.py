"""Quotas: each workspace's requests are counted in one place."""
