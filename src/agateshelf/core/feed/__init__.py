"""The feed: follows routes and registrations in the platform's store."""
