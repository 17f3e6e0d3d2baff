"""A randomized soak of real processes under faults."""
