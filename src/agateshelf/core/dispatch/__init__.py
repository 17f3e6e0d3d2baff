"""Dispatch: assigns requests to targets, queues them or refuses them.

Used by `core.forwarding`, at entries that follow the platform's routes. Entries
that have a configuration of services use `core.routing` instead.
"""
