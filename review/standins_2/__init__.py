"""Stand-ins of the second review: store, servers, callers, deployment.

They use the standard library alone, so that a script needs no environment but
the one that the deploy file builds.
"""
