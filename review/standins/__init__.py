"""Stand-ins for the platform, its servers and its clients."""
