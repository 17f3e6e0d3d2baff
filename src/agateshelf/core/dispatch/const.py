"""Limits, timeouts and initial estimates of dispatch."""

from typing import Final

# Initial estimate of a request's uncontended run time, as a share of its
# route's target latency. Used until runs have been measured.
INITIAL_WORK_SHARE: Final = 0.4
# Smoothing factor of the moving average of a route's run time.
WORK_SMOOTHING: Final = 0.05
# A measured run is clamped to within this factor of the current estimate.
WORK_OUTLIER_FACTOR: Final = 4.0
# Factor by which work slows down on a target whose slots are all taken: the
# initial estimate, its bounds and the smoothing factor of its moving average.
INITIAL_CONTENTION: Final = 1.4
MIN_CONTENTION: Final = 1.0
MAX_CONTENTION: Final = 3.0
CONTENTION_SMOOTHING: Final = 0.03
# Share of occupied slots above which a target counts as contended.
CONTENTION_THRESHOLD: Final = 0.8
# Factor by which work slows down on a target that is still warming up.
WARMUP_FACTOR: Final = 2.0
# Time for which a reported speed is assumed to stay valid. The speed of shared
# machines changes several times a second.
SPEED_VALID_SECONDS: Final = 0.3
# Time constant of the average speed, long compared with those changes.
SPEED_DECAY_SECONDS: Final = 1.0
INITIAL_SPEED: Final = 0.8
# A report older than this says nothing about the current speed. The estimate
# then gets random jitter, about as large as the differences between targets.
STALE_SECONDS: Final = 2.0
STALE_JITTER: Final = 0.5
# Report age that is sent for a target that has never reported.
NEVER_REPORTED_SECONDS: Final = 3600.0
MIN_SPEED: Final = 0.01
MAX_SPEED: Final = 10.0
# Round-trip time between failure domains.
CROSS_DOMAIN_SECONDS: Final = 0.003
# Safety factor on the expected run time, so that most runs end within it.
RUN_TIME_MARGIN: Final = 1.1

# Probing of targets by samplers. The speed of shared machines changes about
# three times a second.
PROBE_INTERVAL_SECONDS: Final = 0.1
PROBE_JITTER: Final = 0.2
PROBE_TIMEOUT_SECONDS: Final = 0.4
IDLE_AFTER_SECONDS: Final = 3.0
# Share of the allowed probe rate that one sampler uses, since two samplers may
# probe the same targets while one replaces the other.
SAMPLER_PROBE_SHARE: Final = 0.25
# Replies to a round of probes arrive within a few milliseconds and are batched
# into one report.
REPORT_DELAY_SECONDS: Final = 0.012
SLOWNESS_DIGITS: Final = 2
# Interval at which a dispatcher checks its samplers. A sampler that has been
# silent for more than three rounds of probes is replaced.
SAMPLER_CHECK_SECONDS: Final = 0.1
SAMPLER_TIMEOUT_SECONDS: Final = 0.35
SUBSCRIPTION_RENEW_SECONDS: Final = 1.0
# All entries that dispatch without an owner may together send as many probes as
# this many owners.
FALLBACK_OWNERS_EQUIVALENT: Final = 2.0
# Consecutive unanswered probes after which a target gets no requests.
MAX_UNANSWERED_PROBES: Final = 2

# Ownership is weighted by this power of an entry's capacity, since the busiest
# owner needs many times the resources that an entry needs for its own callers.
CAPACITY_EXPONENT: Final = 3.0
MIN_WEIGHT: Final = 1e-6

# Requests to the owner.
REPLY_TIMEOUT_SECONDS: Final = 0.06
QUEUED_RECHECK_SECONDS: Final = 0.25
SUSPICION_SECONDS: Final = 1.0
MAX_OWNERS_TRIED: Final = 2
GRANT_MARGIN_SECONDS: Final = 0.5

# Lower bound of a run's estimated remaining work, as a share of its total work.
MIN_WORK_LEFT: Final = 0.15
# Part of the retry slack that hedges may use. The rest is reserved for retries
# of failed attempts.
HEDGE_SLACK_SHARE: Final = 0.5

# Ejection of failing targets. The period doubles with each ejection in a row.
INITIAL_EJECTION_SECONDS: Final = 0.5
MAX_EJECTION_SECONDS: Final = 8.0
ERRORS_TO_EJECT: Final = 2
ERROR_DECAY_SECONDS: Final = 4.0
ERROR_PRIOR: Final = 3.0
# If less than this share of the targets is healthy, ejections are ignored
# (panic mode).
PANIC_THRESHOLD: Final = 0.5

# The retry slack is split into equal parts: one for the owner, one for its
# successor and one for all entries that reach no owner.
RETRY_SLACK_PARTS: Final = 3
# Cost of making a running request late, in seconds of the new request.
DELAY_PENALTY_SECONDS: Final = 0.1
# Late requests use a fast target only if more than this share of slots is free.
SPARE_SLOT_SHARE: Final = 0.25
# A target slower than this is left to requests that are already late.
SLOW_SPEED: Final = 0.6
# Late requests that may wait per slot of a service. More could not be served
# anyway.
MAX_LATE_PER_SLOT: Final = 1.0

RETRY_AFTER_SECONDS: Final = 1.0
RETRY_AFTER_JITTER: Final = 0.5
