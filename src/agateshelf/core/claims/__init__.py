"""At-most-once execution of non-idempotent requests by idempotency key.

A keyed request runs only after its entry has recorded a claim of the key in
the store. The claims of a shard form a log whose head is replaced by
compare-and-swap; all guarantees rest on that and not on who writes.
"""
