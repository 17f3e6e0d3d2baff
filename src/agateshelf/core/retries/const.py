"""Constants of retries and of deadline propagation."""

from typing import Final

MAX_ATTEMPTS: Final = 3

# Extra attempts that a service may start before its calls have earned any, and
# the capacity of its budget.
INITIAL_TOKENS: Final = 2.0
MAX_TOKENS: Final = 10.0

# The timeout sent to a target is shorter than the entry's own by the smaller
# of these margins, so that the response has time to travel back.
DEADLINE_MARGIN_SECONDS: Final = 0.005
DEADLINE_MARGIN_SHARE: Final = 0.1
