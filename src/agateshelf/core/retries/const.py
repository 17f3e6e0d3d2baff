"""Limits of retries and of the deadlines passed on."""

from typing import Final

MAX_ATTEMPTS: Final = 3

# What a service may spend before its calls have earned anything.
FIRST_TOKENS: Final = 2.0
MOST_TOKENS: Final = 10.0

DEADLINE_MARGIN_SECONDS: Final = 0.005
DEADLINE_MARGIN_SHARE: Final = 0.1
