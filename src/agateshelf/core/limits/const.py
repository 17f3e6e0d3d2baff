"""Numbers and reasons of the limits."""

from typing import Final

# Attempts in flight per target that this entry allows itself.
FIRST_LIMIT_FACTOR: Final = 8.0
MOST_LIMIT_FACTOR: Final = 4.0
LEAST_LIMIT: Final = 0.05
LIMIT_GROWTH: Final = 0.1
LIMIT_SHRINK: Final = 0.95
LIMIT_SHRINK_REFUSED: Final = 0.7
LEAST_WINDOW: Final = 1.0

# Calls that wait for their claims beside those in the window.
CLAIMS_PER_WINDOW: Final = 2.0
LEAST_CLAIMS: Final = 8.0

# A target is congested when it queues more than this share of its slots, or,
# if it reports no load, answers this many times slower than usual.
CONGESTED_QUEUE_SHARE: Final = 0.5
CONGESTED_LATENCY_FACTOR: Final = 4.0

# How far one answer moves the estimates of the usual latency.
LATENCY_STEP: Final = 0.05
LATENCY_MEDIAN: Final = 0.5

# Waiting in the queue: long while it empties now and then, short once it has
# stayed filled for as long as that.
CALM_WAIT_SECONDS: Final = 0.1
CALM_WAIT_MEDIANS: Final = 10.0
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
DEMAND_SECONDS: Final = 0.5
DEMAND_HEADROOM: Final = 1.25
KEPT_SHARE: Final = 0.1
LOAN_SECONDS: Final = 1.0
LOAN_MARGIN_SECONDS: Final = 0.05
ASK_BATCH_SECONDS: Final = 0.01
ASK_SECONDS: Final = 0.25
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
