"""Limits, timeouts and initial estimates of target selection."""

from typing import Final

# Maximum number of targets in a group. One owner counts their calls in flight.
GROUP_TARGETS: Final = 9
# Minimum number of groups of a large service that one entry sends calls to.
SUBSET_GROUPS: Final = 4

# Requests to the owner of a group.
REPLY_TIMEOUT_SECONDS: Final = 0.006
SUSPICION_SECONDS: Final = 0.5
MAX_REQUESTS_PER_SECOND: Final = 1000.0
MAX_REQUEST_BURST: Final = 100.0
GRANT_MARGIN_SECONDS: Final = 0.5

# Speed of targets, and round-trip time between failure domains.
SPEED_DECAY_SECONDS: Final = 0.05
SPEED_PRIOR: Final = 2.0
INITIAL_MEAN_SECONDS: Final = 0.01
INITIAL_COMPLETIONS: Final = 20.0
MAX_COMPLETIONS: Final = 2000.0
INITIAL_CROSS_DOMAIN_RTT: Final = 0.001
CROSS_DOMAIN_RTT_SMOOTHING: Final = 0.02
REPORT_VALID_SECONDS: Final = 0.02

# Error rates of targets and their circuit breakers.
ERROR_DECAY_SECONDS: Final = 1.0
ERROR_PRIOR: Final = 4.0
# Cost of an attempt that fails, in multiples of the mean time of an attempt.
ERROR_PENALTY_MEANS: Final = 20.0
ERRORS_TO_OPEN: Final = 5
INITIAL_OPEN_SECONDS: Final = 0.25
MAX_OPEN_SECONDS: Final = 8.0
OPEN_JITTER: Final = 0.2
# If more than this share of the breakers is open, open breakers are ignored.
PANIC_THRESHOLD: Final = 0.5

# Warm-up: a new target's share of the calls grows over this period.
WARMUP_SECONDS: Final = 4.0
INITIAL_WARMUP_SHARE: Final = 0.1
