"""Uneven demand: measured round trips, and entries that can't keep up.

See docs/design/uneven-demand.md.
"""
