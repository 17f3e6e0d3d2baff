"""The daemon: posts input as events and carries out effects."""
