"""Limits of hedging."""

from typing import Final

DELAY_QUANTILE: Final = 0.95
DELAY_STEP: Final = 0.05
FIRST_DELAY_SECONDS: Final = 0.05
LEAST_DELAY_SECONDS: Final = 0.001
MOST_ASKS: Final = 5
RETRY_SECONDS: Final = 0.005
