"""Small stand-ins for the platform: targets and its store."""
