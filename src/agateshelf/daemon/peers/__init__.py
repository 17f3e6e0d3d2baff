"""Messages between entries, over ZeroMQ."""
