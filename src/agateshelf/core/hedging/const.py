"""Constants of hedging."""

from typing import Final

# A call is hedged when it takes longer than this quantile of the service's
# latest MAX_SAMPLES latencies, or than INITIAL_DELAY_SECONDS while fewer than
# MIN_SAMPLES latencies are known.
DELAY_QUANTILE: Final = 0.92
INITIAL_DELAY_SECONDS: Final = 0.05
MIN_SAMPLES: Final = 20
MAX_SAMPLES: Final = 128

# Maximum number of times that the request for a hedge target is repeated, and
# the base of the delay between requests, which grows with each one.
MAX_FURTHER_REQUESTS: Final = 5
REQUEST_DELAY_SECONDS: Final = 0.002
