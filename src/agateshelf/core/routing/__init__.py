"""Choice of the target for each attempt."""
