"""Routing: selects the target of each attempt.

Used by `core.calls`, at entries that have a configuration of services. Entries
that follow the platform's routes use `core.dispatch` instead.
"""
