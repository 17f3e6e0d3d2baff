"""Classifies whether an attempt ran its request, and what callers are told."""
