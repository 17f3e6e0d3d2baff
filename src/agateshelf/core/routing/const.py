"""Limits, timeouts and initial estimates of target selection."""

from typing import Final

# Maximum number of targets in a group. One owner counts their attempts in
# flight.
GROUP_TARGETS: Final = 9
# Minimum number of groups of a large service that one entry sends calls to.
SUBSET_GROUPS: Final = 4

# Requests to the owner of a group. An owner that doesn't reply in time is not
# asked for `SUSPICION_SECONDS`.
REPLY_TIMEOUT_SECONDS: Final = 0.006
SUSPICION_SECONDS: Final = 0.5
MAX_REQUESTS_PER_SECOND: Final = 1000.0
MAX_REQUEST_BURST: Final = 100.0
GRANT_MARGIN_SECONDS: Final = 0.5

# Speed of targets. The prior is a number of completions at the group's mean
# that is added to a target's results, so that a target with few results is not
# taken for fast or slow. The initial mean has the weight of the initial
# completions. A group's completions and slot-seconds are halved when its
# completions exceed the maximum.
SPEED_DECAY_SECONDS: Final = 0.05
SPEED_PRIOR: Final = 2.0
INITIAL_MEAN_SECONDS: Final = 0.01
INITIAL_COMPLETIONS: Final = 20.0
MAX_COMPLETIONS: Final = 2000.0
# Estimated round-trip time between failure domains.
INITIAL_CROSS_DOMAIN_RTT: Final = 0.001
CROSS_DOMAIN_RTT_SMOOTHING: Final = 0.02
# Age at which a load reported by a response has lost all its weight.
REPORT_VALID_SECONDS: Final = 0.02

# Error rates of targets and their circuit breakers. The prior is a number of
# successes added to the count, so that a target with few results doesn't get a
# high error rate.
ERROR_DECAY_SECONDS: Final = 1.0
ERROR_PRIOR: Final = 4.0
# Cost of an attempt that fails, in multiples of the mean time of an attempt.
ERROR_PENALTY_MEANS: Final = 20.0
ERRORS_TO_OPEN: Final = 5
INITIAL_OPEN_SECONDS: Final = 0.25
MAX_OPEN_SECONDS: Final = 8.0
OPEN_JITTER: Final = 0.2
# If more than this share of a service's targets has an open breaker, open
# breakers are ignored (panic mode).
PANIC_THRESHOLD: Final = 0.5

# Warm-up: a new target's share of the calls grows over this period.
WARMUP_SECONDS: Final = 4.0
INITIAL_WARMUP_SHARE: Final = 0.1
