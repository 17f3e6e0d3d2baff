"""Limits, timeouts and initial estimates of dispatch."""

from typing import Final

# Initial estimate of a request's uncontended run time, as a share of its
# route's target latency. Used until runs have been measured.
INITIAL_WORK_SHARE: Final = 0.4
# Smoothing factor of the moving average of a route's run time.
WORK_SMOOTHING: Final = 0.05
# A measurement is clamped to within this factor of the current estimate.
WORK_OUTLIER_FACTOR: Final = 4.0
# Factor by which work slows down on a contended target: the initial estimate,
# its bounds and the smoothing factor of its moving average.
INITIAL_CONTENTION: Final = 1.4
MIN_CONTENTION: Final = 1.0
MAX_CONTENTION: Final = 3.0
CONTENTION_SMOOTHING: Final = 0.03
# A target is contended if it holds more than one request and more requests than
# this share of its slots.
CONTENTION_THRESHOLD: Final = 0.8
# Factor by which work slows down on a target that is still warming up.
WARMUP_FACTOR: Final = 2.0
# Time for which a reported speed is assumed to stay valid; after that, the
# average speed is used. The speed of shared instances changes several times a
# second.
SPEED_VALID_SECONDS: Final = 0.3
# Time constant of the average speed, long compared with those changes.
SPEED_DECAY_SECONDS: Final = 1.0
INITIAL_SPEED: Final = 0.8
# Age of the last report after which a target's cost gets random jitter, since
# the report says nothing about the current speed any more. The jitter is about
# as large as the differences between targets.
STALE_SECONDS: Final = 2.0
STALE_JITTER: Final = 0.5
# Report age that is sent for a target that has never reported.
NEVER_REPORTED_SECONDS: Final = 3600.0
MIN_SPEED: Final = 0.01
MAX_SPEED: Final = 10.0
# Round-trip time between failure domains while it is not measured
# (`overload.round_trips`).
CROSS_DOMAIN_SECONDS: Final = 0.003
# Safety factor on the expected run time, so that most runs end within it.
RUN_TIME_MARGIN: Final = 1.1

# Probing of targets by samplers. The interval is short enough to follow the
# speed of shared instances, which changes about three times a second.
PROBE_INTERVAL_SECONDS: Final = 0.1
PROBE_JITTER: Final = 0.2
PROBE_TIMEOUT_SECONDS: Final = 0.4
# Time without requests after which a dispatcher that doesn't own its service
# cancels its subscriptions. It is also the duration of a subscription, and the
# time for which a peer's request counts as recent.
IDLE_AFTER_SECONDS: Final = 3.0
# Share of the allowed probe rate that one sampler uses. Two samplers may probe
# the same targets while one replaces the other, and the entries that reach no
# owner may probe as much as two more (`FALLBACK_OWNERS_EQUIVALENT`).
SAMPLER_PROBE_SHARE: Final = 0.25
# Responses to a round of probes arrive within a few milliseconds and are
# batched into one report.
REPORT_DELAY_SECONDS: Final = 0.012
SLOWNESS_DIGITS: Final = 2
# Interval at which a dispatcher checks its samplers. A sampler that has been
# silent for the timeout is replaced. The timeout is more than three probe
# intervals at the default limit of probes; with lower limits the intervals are
# longer.
SAMPLER_CHECK_SECONDS: Final = 0.1
SAMPLER_TIMEOUT_SECONDS: Final = 0.35
SUBSCRIPTION_RENEW_SECONDS: Final = 1.0
# All entries that dispatch without an owner may together send as many probes as
# this many owners.
FALLBACK_OWNERS_EQUIVALENT: Final = 2.0
# Consecutive unanswered probes after which a target is unavailable.
MAX_UNANSWERED_PROBES: Final = 2

# Time for which an entry that nobody else asks must have been the owner, or not
# the owner, of a service before it has targets sampled: an entry that has just
# started sees itself as the owner of all services.
ROLE_SETTLED_SECONDS: Final = 2.0

# The weight of an entry as owner or sampler is its capacity raised to this
# power. A large exponent places owners on the largest entries: the busiest
# owner needs many times the resources that an entry needs for its own callers.
CAPACITY_EXPONENT: Final = 3.0
MIN_WEIGHT: Final = 1e-6

# Time from the start within which an entry limits what it sends while it
# decides for itself: others are known within a second, even if all start at
# once.
SLOW_START_SECONDS: Final = 2.0
# Requests that it sends at once to a pool at first. Hundreds of entries share
# targets of 2 to 4 slots.
SLOW_START_WINDOW: Final = 2.0
# Factor by which an answer may be later than expected and still allow one more
# request: half of a run's time in a queue and the usual contention.
SLOW_START_TOLERANCE: Final = 2.0

# Targets that one owner places requests on. Half as many, the fewest in a pool
# of several, have enough free slots to choose among.
MAX_POOL_TARGETS: Final = 32

# An entry prefers one in so many of a service's pools.
HOME_POOLS_PART: Final = 4
# Time for which an entry does not prefer a pool with little room or a silent
# owner; some times the duration of a request.
AVOID_POOL_SECONDS: Final = 1.0

# Requests to the owner. An entry that doesn't reply in time is skipped as
# owner, or excluded as sampler, for `SUSPICION_SECONDS`.
REPLY_TIMEOUT_SECONDS: Final = 0.06
QUEUED_RECHECK_SECONDS: Final = 0.25
SUSPICION_SECONDS: Final = 1.0
MAX_OWNERS_TRIED: Final = 2
GRANT_MARGIN_SECONDS: Final = 0.5

# Interval of full decisions while requests wait. Estimates change with time
# even if no message arrives.
FULL_DECISION_SECONDS: Final = 0.02
# Waiting requests in a row that don't suit a free slot after which a quick
# decision ends; a full one tries them all.
MAX_UNSUITABLE: Final = 48
# Waiting requests of other workspaces that are offered the target of a request
# that arrived. They were offered it when its slot became free, and are again in
# each full decision, so few of them suit it.
MAX_AHEAD: Final = 8
# Free targets that are compared for a request: so many of the failure domain of
# the requesting entry, and so many of all.
SHORTLIST_HALF: Final = 12
# Targets keep idle connections for some seconds at least. Seconds of expected
# time by which a target may be slower that has a connection to the entry; less
# than the way to another failure domain costs.
CONNECTED_SECONDS: Final = 8.0
CONNECTED_BONUS_SECONDS: Final = 0.002
# Part of the expected time by which a connected target of the entry's own
# failure domain may be slower. Speeds change within milliseconds, so that
# smaller differences say nothing of which target responds first.
CONNECTED_SHARE: Final = 0.1
# Such targets that are remembered for an entry and service, and that a request
# names.
MAX_CONNECTED: Final = 16
# Targets whose idle connections an entry remembers.
MAX_IDLE_CONNECTIONS: Final = 256
# Age of the last answer up to which a non-idempotent request goes on a kept
# connection. One that is idle for longer may have been lost without notice.
FRESH_CONNECTION_SECONDS: Final = 0.25
# Interval of the look for grants whose end was not reported.
RELEASE_CHECK_SECONDS: Final = 0.25

# Lower bound of a run's estimated remaining work, as a share of its total work.
MIN_WORK_LEFT: Final = 0.15
# Part of the retry slack that hedges may use. The rest is reserved for retries
# of failed attempts.
HEDGE_SLACK_SHARE: Final = 0.5

# Circuit breakers of targets. The open period doubles each time that a breaker
# opens without a success in between.
INITIAL_OPEN_SECONDS: Final = 0.5
MAX_OPEN_SECONDS: Final = 8.0
ERRORS_TO_OPEN: Final = 2
ERROR_DECAY_SECONDS: Final = 4.0
# Successes added to the count, so that a target with few results doesn't get a
# high error rate.
ERROR_PRIOR: Final = 3.0
# If less than this share of the targets, without draining ones, is available,
# unavailability is ignored (panic mode).
PANIC_THRESHOLD: Final = 0.5

# The retry slack is split into equal parts: one for the owner, one for its
# successor and one for all entries that reach no owner.
RETRY_SLACK_PARTS: Final = 3
# Late requests may use all targets only if more than this share of the slots is
# free.
SPARE_SLOT_SHARE: Final = 0.25
# While fewer slots are free, late requests may use only uncontended targets
# that are slower than this.
SLOW_SPEED: Final = 0.6
# Late requests that may wait per slot of a service. More could not be served
# anyway.
MAX_LATE_PER_SLOT: Final = 1.0

# Time constant of the decay of the service that workspaces got: some times the
# deadline of a request, so that a short pause between requests is forgotten and
# a burst is not.
SERVICE_DECAY_SECONDS: Final = 4.0
# Interval at which weights of service start from 1 again, and workspaces with
# less than the minimum are forgotten. Weights grow to exp(5).
SERVICE_REBASE_SECONDS: Final = 20.0
MIN_SERVICE_SECONDS: Final = 0.001
# Smoothing factor of the average level of service, over some 10 grants.
SERVICE_LEVEL_SMOOTHING: Final = 0.1
# Time for which a workspace that got no service recently may be served before
# all others of its rank. Others wait that long, so it is less than most routes'
# target latency.
HEAD_START_SECONDS: Final = 0.2
# Workspaces whose service a dispatcher remembers.
MAX_SERVICE_ACCOUNTS: Final = 8192

# Bounds of the time after which a request may come back that limited targets
# left no room for.
MIN_ROOM_RETRY_AFTER_SECONDS: Final = 0.05
MAX_ROOM_RETRY_AFTER_SECONDS: Final = 5.0

RETRY_AFTER_SECONDS: Final = 1.0
RETRY_AFTER_JITTER: Final = 0.5
