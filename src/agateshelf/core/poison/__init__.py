"""Detects requests that crash their targets and stops forwarding them.

Every attempt passes `sends`, which withholds a request that has crashed too
many targets and keeps what is in flight. `evidence` decides which lost or
unanswered attempts were crashes, `records` holds the crashes, `replication`
brings them to all entries, and `persistence` keeps them on the platform.
"""
