"""Numbers and words of the side towards callers."""

from typing import Final

READ_BYTES: Final = 65536
LINGER_SECONDS: Final = 1.0
# A connection that a caller has just opened may bring its first request for so
# long after a stop has begun: to end it would lose a request on its way. Many
# round trips on any link.
FRESH_SECONDS: Final = 0.5
CONTENT_PROBLEM: Final = b"application/problem+json"
PROBLEM_TYPE_BASE: Final = "https://agateshelf.example/problems/"

STATUS_BAD_REQUEST: Final = 400
STATUS_REQUEST_TIMEOUT: Final = 408
STATUS_BODY_TOO_LARGE: Final = 413
STATUS_EXPECTATION_FAILED: Final = 417
STATUS_HEADERS_TOO_LARGE: Final = 431
STATUS_NOT_IMPLEMENTED: Final = 501
STATUS_UNAVAILABLE: Final = 503

RETRY_AFTER_SECONDS: Final = 1.0
