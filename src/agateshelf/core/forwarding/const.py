"""Limits, statuses and refusal reasons of forwarding."""

from typing import Final

# Target crashes after which a request is not sent to another target.
POISON_CRASHES: Final = 2
# No further attempt starts with less time than this left to the deadline.
MIN_ATTEMPT_SECONDS: Final = 0.03
# Declined grants after which a call is refused: an owner of an earlier version
# learns nothing from them.
MAX_DECLINED_GRANTS: Final = 1
# The same for targets of an evacuated failure domain, which are part of all: an
# owner that doesn't know of it may grant several in a row.
MAX_DECLINED_EVACUATED_GRANTS: Final = 4
# The same if the targets were cold: while others are warm, an owner that knows
# of no warm-ups grants one of these sooner or later.
MAX_DECLINED_COLD_GRANTS: Final = 6
# Of the time that a request may have waited unread, what its deadline doesn't
# count: targets may be given half a second more than the caller has left.
MAX_UNCERTAIN_SECONDS: Final = 0.4
NOT_READY_RETRY_AFTER_SECONDS: Final = 0.5
RETRY_AFTER_SECONDS: Final = 0.5

FIRST_SERVER_ERROR: Final = 500
# Callers read these statuses as "the request did not run". Only the target's
# not-run header proves that, so without it they are not passed on.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})

REASON_NO_ROUTE: Final = "no-such-route"
REASON_TOO_LATE: Final = "too-late"
REASON_OVERLOAD: Final = "overload"
REASON_TARGETS_FULL: Final = "targets-full"
REASON_TARGETS_EVACUATED: Final = "targets-evacuated"
REASON_TARGETS_LIMITED: Final = "targets-limited"
REASON_TARGETS_PAUSED: Final = "targets-paused"
REASON_TARGETS_COLD: Final = "targets-cold"
