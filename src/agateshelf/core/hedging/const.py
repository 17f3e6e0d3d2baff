"""Limits of hedging."""

from typing import Final

DELAY_QUANTILE: Final = 0.92
FIRST_DELAY_SECONDS: Final = 0.05
LEAST_TIMES: Final = 20
MOST_TIMES: Final = 128
MOST_ASKS: Final = 5
RETRY_SECONDS: Final = 0.002
