"""SWIM-style membership: which entries are live, leaving or gone."""
