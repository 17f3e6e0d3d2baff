"""SWIM-style membership: which entries are live, suspect, leaving or gone."""
