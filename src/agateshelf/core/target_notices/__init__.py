"""Keeps what targets say of themselves, over all entries together.

A target may name a limit of its requests a second, ask for a pause, or say that
it is leaving. `records` holds what each target said, `spreading` tells the
owner of its service, and `gate` looks at each send once more. A limit over all
entries also needs one place that counts: the dispatcher of the service's owner,
which grants every send. `pacing` counts there, and `sharing` splits a limit
while several entries dispatch.
"""
