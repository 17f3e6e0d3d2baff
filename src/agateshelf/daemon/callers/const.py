"""Constants of the server for callers."""

from typing import Final

READ_BYTES: Final = 65536
LINGER_SECONDS: Final = 1.0
# Time that connections without a first request stay open once a graceful stop
# has begun; many round trips on any link. Closing them at once would lose a
# request that is already in transit.
NEW_CONNECTION_GRACE_SECONDS: Final = 0.5
CONTENT_TYPE_PROBLEM: Final = b"application/problem+json"
PROBLEM_TYPE_BASE: Final = "https://agateshelf.example/problems/"

STATUS_BAD_REQUEST: Final = 400
STATUS_REQUEST_TIMEOUT: Final = 408
STATUS_BODY_TOO_LARGE: Final = 413
STATUS_EXPECTATION_FAILED: Final = 417
STATUS_HEADERS_TOO_LARGE: Final = 431
STATUS_NOT_IMPLEMENTED: Final = 501
STATUS_UNAVAILABLE: Final = 503

RETRY_AFTER_SECONDS: Final = 1.0
