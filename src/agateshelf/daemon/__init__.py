"""The daemon: turns input into events and effects into output."""
