"""Routes: which service gets a request, and under which policy."""
