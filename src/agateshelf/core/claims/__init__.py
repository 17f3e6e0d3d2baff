"""Claims: a key's non-idempotent request runs at most once, at any entry."""
