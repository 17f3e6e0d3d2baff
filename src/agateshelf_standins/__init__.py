"""Small stand-ins for the platform: targets, store and instance list."""
