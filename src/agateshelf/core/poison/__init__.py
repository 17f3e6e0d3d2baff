"""Detects requests that crash their targets and stops forwarding them."""
