"""Which entries and targets are live, leaving or gone."""
