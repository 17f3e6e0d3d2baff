"""The directory: the targets' registrations by target and by service."""
