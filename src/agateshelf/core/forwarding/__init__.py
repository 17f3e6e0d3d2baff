"""Forwarding: routed calls, from arrival to the response to the caller."""
