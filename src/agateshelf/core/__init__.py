"""The decisions of an entry: one reducer over events, effects as data."""
