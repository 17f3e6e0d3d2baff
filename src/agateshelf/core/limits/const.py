"""Constants of the limits, and the reasons of their refusals."""

from typing import Final

# Concurrency limit of this entry for each target. The initial and the maximum
# limit are multiples of the target's slots, the initial one divided by the
# number of entries.
INITIAL_LIMIT_FACTOR: Final = 8.0
MAX_LIMIT_FACTOR: Final = 4.0
MIN_LIMIT: Final = 0.05
LIMIT_GROWTH: Final = 0.1
LIMIT_SHRINK: Final = 0.8
LIMIT_SHRINK_REFUSED: Final = 0.7
MIN_WINDOW: Final = 1.0

# Part of the window that yielding calls may use. It shrinks with each response
# that reports a queue at the target and grows with each one that does not.
YIELD_GROWTH: Final = 0.01
YIELD_SHRINK: Final = 0.7
MIN_YIELD_SHARE: Final = 0.05

# Callers yield if their offered load exceeds their fair share by this factor
# and callers below theirs make up at least PROTECTED_SHARE of the traffic. Both
# are measured over FAIR_SHARE_PERIOD_SECONDS. At most MAX_CALLERS callers of a
# pool are tracked.
FAIR_SHARE_PERIOD_SECONDS: Final = 0.5
OVER_SHARE_FACTOR: Final = 1.2
PROTECTED_SHARE: Final = 0.1
MAX_CALLERS: Final = 256

# A priority class counts as active for this long after its latest call.
CLASS_ACTIVE_SECONDS: Final = 1.0

# Maximum number of calls waiting for their claims, as a multiple of the window
# and at least MIN_CLAIMS. They do not count against the window, or a slow
# store would idle the targets.
CLAIMS_PER_WINDOW: Final = 2.0
MIN_CLAIMS: Final = 8.0

# A target is congested if it queues more requests than this share of its slots
# or, if it reports no load, responds this many times slower than usual.
# Latency is only the fallback, as service times alone vary by a factor of 5.
CONGESTED_QUEUE_SHARE: Final = 0.5
CONGESTED_LATENCY_FACTOR: Final = 4.0

# Relative change of the latency estimate per response. Responses received while
# requests are queued change it 25 times less, or the estimate and with it the
# allowed queueing time would grow with the overload.
LATENCY_STEP: Final = 0.025
LATENCY_STEP_QUEUED: Final = 0.001

# Maximum queueing time: the larger of QUEUE_WAIT_SECONDS and QUEUE_WAIT_MEDIANS
# median latencies. Once the queue has not been empty for that long, it is
# STANDING_QUEUE_WAIT_MEDIANS median latencies, since a standing queue only adds
# delay.
QUEUE_WAIT_SECONDS: Final = 0.05
QUEUE_WAIT_MEDIANS: Final = 5.0
STANDING_QUEUE_WAIT_MEDIANS: Final = 2.0
MIN_STANDING_QUEUE_WAIT_SECONDS: Final = 0.005

# Every n-th call that is taken while several priority classes wait comes from
# the lowest of them, so that no class starves.
LOWER_CLASS_INTERVAL: Final = 16

# Maximum number of calls in an entry, and the share of it that each priority
# class may use.
MAX_CALLS_PER_ENTRY: Final = 800
CLASS_SHARES: Final = (1.0, 0.85, 0.5)

# A caller's rate is divided among the entries. Until it has seen the list of
# entries, an entry assumes this many.
ASSUMED_ENTRIES: Final = 16

# Capacity of a token bucket: the allowance of RATE_BURST_SECONDS, and at least
# MIN_RATE_BURST calls.
RATE_BURST_SECONDS: Final = 0.25
MIN_RATE_BURST: Final = 1.0

# Demand is averaged over DEMAND_SECONDS. An entry keeps its demand with this
# headroom for itself, and at least RESERVED_SHARE of the rate it owns.
DEMAND_SECONDS: Final = 0.2
DEMAND_HEADROOM: Final = 1.25
RESERVED_SHARE: Final = 0.1

# Duration of a loan of rate allowance. The lender counts it by the margin
# longer than the borrower may use it.
LOAN_SECONDS: Final = 0.6
LOAN_MARGIN_SECONDS: Final = 0.05

# Loan requests are batched and limited to one per interval. The other entries
# are together asked for LOAN_REQUEST_FACTOR times the missing rate.
LOAN_REQUEST_BATCH_SECONDS: Final = 0.01
LOAN_REQUEST_INTERVAL_SECONDS: Final = 0.2
LOAN_REQUEST_FACTOR: Final = 2.0
MAX_AMOUNTS_PER_REQUEST: Final = 50

# Name of the share of all unlisted callers.
DEFAULT_SHARE: Final = "default"

RETRY_AFTER_SECONDS: Final = 1.0
RETRY_AFTER_JITTER: Final = 0.5

STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_SERVER_ERROR: Final = 500
STATUS_UNAVAILABLE: Final = 503

REASON_RATE_EXCEEDED: Final = "rate-exceeded"
REASON_QUEUE_FULL: Final = "queue-full"
REASON_QUEUE_TOO_SLOW: Final = "queue-too-slow"
REASON_DEADLINE_TOO_NEAR: Final = "deadline-too-near"
REASON_ENTRY_FULL: Final = "entry-full"
