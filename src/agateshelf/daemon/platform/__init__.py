"""The side towards the platform's services."""
