"""Second attempts of idempotent calls whose first one takes too long."""
