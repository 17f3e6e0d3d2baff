"""Limits and reasons of the life of a call."""

from typing import Final

DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0

KNOWN_METHODS: Final = frozenset(
    {"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"}
)

REASON_NO_SERVICE: Final = "no-such-service"
