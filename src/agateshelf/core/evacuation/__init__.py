"""Evacuation: failure domains whose targets must get nothing."""
