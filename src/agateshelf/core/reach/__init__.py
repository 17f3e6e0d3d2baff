"""Finds out which services' targets this entry can't reach, and ways round.

`detection` tells an entry that is cut off from targets which are down, and
`relays` chooses the entry that sends a request on its behalf. `serving` is what
that entry does with it.
"""
