"""The operators' configuration as the core uses it."""
