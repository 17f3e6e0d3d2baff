"""Life cycle of a call, from its arrival to its final response."""
