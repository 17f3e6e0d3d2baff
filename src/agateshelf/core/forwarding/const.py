"""Limits and words of forwarding."""

from typing import Final

# Crashes of targets after which a request is given to no further one.
POISON_CRASHES: Final = 2
# Time left below which another attempt is of no use.
LEAST_ATTEMPT_SECONDS: Final = 0.03
NOT_READY_RETRY_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 0.5

STATUS_NOT_FOUND: Final = 404
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_TIMEOUT: Final = 504
FIRST_SERVER_ERROR: Final = 500
# By these a caller would take a request for not run; only the mark of a
# target may say so.
PROMISES: Final = frozenset({408, 421, 429, 503})

REASON_NOT_READY: Final = "not-ready"
REASON_NO_ROUTE: Final = "no-such-route"
REASON_POISONOUS: Final = "request-crashes-targets"
REASON_DEADLINE: Final = "deadline-passed"
REASON_TARGET_FAILED: Final = "target-failed"
REASON_NO_TARGET: Final = "no-target"
REASON_TOO_LATE: Final = "too-late"
REASON_OVERLOAD: Final = "overload"
REASON_SHED: Final = "targets-full"
REASON_STOPPING: Final = "stopping"
