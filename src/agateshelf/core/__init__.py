"""The decisions of an entry: a reducer from events to effects, without I/O."""
