"""Constants of hedging."""

from typing import Final

# A call is hedged when it takes longer than this quantile of the latest
# MOST_TIMES latencies, or than FIRST_DELAY_SECONDS while fewer than LEAST_TIMES
# are known.
DELAY_QUANTILE: Final = 0.92
FIRST_DELAY_SECONDS: Final = 0.05
LEAST_TIMES: Final = 20
MOST_TIMES: Final = 128

# How often a target is requested for one hedge, and the base of the delay
# between requests, which grows with each one.
MOST_ASKS: Final = 5
RETRY_SECONDS: Final = 0.002
