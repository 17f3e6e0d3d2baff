"""The life of a call, from its arrival to its final word."""
