"""Limits and words of forwarding."""

from typing import Final

# Crashes of targets after which a request is given to no further one.
POISON_CRASHES: Final = 2
# Time left below which another attempt is of no use.
LEAST_ATTEMPT_SECONDS: Final = 0.03
NOT_READY_RETRY_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 0.5

FIRST_SERVER_ERROR: Final = 500
# By these a caller would take a request for not run; only the mark of a
# target may say so.
PROMISES: Final = frozenset({408, 421, 429, 503})

REASON_NO_ROUTE: Final = "no-such-route"
REASON_TOO_LATE: Final = "too-late"
REASON_OVERLOAD: Final = "overload"
REASON_SHED: Final = "targets-full"
