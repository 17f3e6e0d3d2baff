"""Constants of the life cycle of calls."""

from typing import Final

DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0

KNOWN_METHODS: Final = frozenset(
    {"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"}
)

REASON_NO_SERVICE: Final = "no-such-service"
