"""Dispatch: assigns requests to targets, queues them or refuses them."""
