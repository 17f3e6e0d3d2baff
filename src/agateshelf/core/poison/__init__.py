"""Requests that end the targets they run on, kept from the next target."""
