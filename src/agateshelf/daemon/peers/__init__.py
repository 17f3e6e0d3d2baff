"""The side towards other entries."""
