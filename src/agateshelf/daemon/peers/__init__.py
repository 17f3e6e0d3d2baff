"""Sends and receives messages between entries over ZeroMQ."""
