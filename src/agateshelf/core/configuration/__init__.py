"""Versioned service configuration: storage, replication and activation."""
