"""Keeps the rates that targets in need name, over all entries together.

A limit over all entries needs one place that counts: the dispatcher of the
service's owner, which grants every send. `records` holds what each target named
and tells the owner, `pacing` counts, `sharing` splits a limit while several
entries dispatch, and `gate` looks at each send once more.
"""
