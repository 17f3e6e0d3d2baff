"""Workspaces: which customer sent a request, and whether it may be served."""
