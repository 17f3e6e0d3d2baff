"""Numbers and reasons of the limits."""

from typing import Final

# Attempts in flight per target that this entry allows itself.
FIRST_LIMIT_FACTOR: Final = 8.0
MOST_LIMIT_FACTOR: Final = 4.0
LEAST_LIMIT: Final = 0.05
LIMIT_GROWTH: Final = 0.1
LIMIT_SHRINK: Final = 0.8
LIMIT_SHRINK_REFUSED: Final = 0.7
LEAST_WINDOW: Final = 1.0

# The part of the window that yielding calls may fill: it shrinks whenever a
# target queues at all, and grows while none does.
YIELD_GROWTH: Final = 0.01
YIELD_SHRINK: Final = 0.7
LEAST_YIELD_SHARE: Final = 0.05

# Which callers yield: those that offer clearly more than their fair share
# while others that do not are a real part of the traffic.
SHARING_SECONDS: Final = 0.5
OVER_SHARE_FACTOR: Final = 1.2
PROTECTED_SHARE: Final = 0.1
MOST_CALLERS: Final = 256

# A higher class counts as active for so long after its latest call.
CLASS_ACTIVE_SECONDS: Final = 1.0

# Calls that wait for their claims beside those in the window.
CLAIMS_PER_WINDOW: Final = 2.0
LEAST_CLAIMS: Final = 8.0

# A target is congested when it queues more than this share of its slots, or,
# if it reports no load, answers this many times slower than usual.
CONGESTED_QUEUE_SHARE: Final = 0.5
CONGESTED_LATENCY_FACTOR: Final = 4.0

# How far one answer moves the estimates of the usual latency.
LATENCY_STEP: Final = 0.025
LATENCY_STEP_QUEUED: Final = 0.001

# Waiting in the queue: long while it empties now and then, short once it has
# stayed filled for as long as that.
CALM_WAIT_SECONDS: Final = 0.05
CALM_WAIT_MEDIANS: Final = 5.0
BUSY_WAIT_MEDIANS: Final = 2.0
BUSY_WAIT_LEAST_SECONDS: Final = 0.005

# Every so many releases a lower class goes first.
GUARD_RELEASES: Final = 16

# Calls under way in an entry, and the share of them that a class may fill.
MOST_CALLS_PER_ENTRY: Final = 800
CLASS_SHARES: Final = (1.0, 0.85, 0.5)

# Parts of a caller's rate. An entry that has heard of no others assumes many.
ASSUMED_ENTRIES: Final = 16
RATE_BURST_SECONDS: Final = 0.25
RATE_BURST_LEAST: Final = 1.0
DEMAND_SECONDS: Final = 0.2
DEMAND_HEADROOM: Final = 1.25
KEPT_SHARE: Final = 0.1
LOAN_SECONDS: Final = 0.6
LOAN_MARGIN_SECONDS: Final = 0.05
ASK_BATCH_SECONDS: Final = 0.01
ASK_SECONDS: Final = 0.2
ASKED_OF_EACH: Final = 2.0
WANTS_PER_MESSAGE: Final = 50
SHARE_OF_OTHERS: Final = "default"

RETRY_AFTER_SECONDS: Final = 1.0
RETRY_AFTER_JITTER: Final = 0.5

STATUS_TOO_MANY: Final = 429
STATUS_SERVER_ERROR: Final = 500
STATUS_UNAVAILABLE: Final = 503

REASON_RATE: Final = "rate-exceeded"
REASON_QUEUE_FULL: Final = "queue-full"
REASON_WAITED: Final = "queue-too-slow"
REASON_TOO_LATE: Final = "deadline-too-near"
REASON_ENTRY_FULL: Final = "entry-full"
