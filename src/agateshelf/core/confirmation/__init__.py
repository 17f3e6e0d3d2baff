"""Refuses for good only by routes that are known to be the newest ones."""
