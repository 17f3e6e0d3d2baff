"""Statuses, times and limits of confirming routes before a refusal."""

from typing import Final

# Refusals that callers don't retry.
FINAL_STATUSES: Final = frozenset({401, 403, 404})

REASON_UNCONFIRMED: Final = "unconfirmed-routes"

# Routes that were the newest ones this long before a request arrived may refuse
# it for good: less than the 2 s within which a change must be in force.
MAX_AGE_SECONDS: Final = 1.5
# Longest time for which a request waits for a confirmation.
HOLD_SECONDS: Final = 0.5
# Time after which the next one is asked.
ANSWER_SECONDS: Final = 0.15
# Time for which no request is held after one has waited in vain.
FAILED_SECONDS: Final = 1.0
# Requests that wait at once; each takes some hundred bytes.
MAX_WAITING: Final = 256

RETRY_AFTER_SECONDS: Final = 0.5
# Callers that were refused together don't come back together.
RETRY_AFTER_JITTER: Final = 0.5
