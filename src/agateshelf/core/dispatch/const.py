"""Limits and estimates of dispatch."""

from typing import Final

# A request's unloaded run time as a share of its route's target latency,
# until runs were measured.
FIRST_WORK_SHARE: Final = 0.4
# Weight of one measured run in the estimate of a route's run time.
WORK_STEP: Final = 0.05
# A run counts into the estimate only within this factor of it.
WORK_OUTLIER: Final = 4.0
# How much longer work takes on a target whose slots are all taken, until it
# was measured, and its bounds.
FIRST_CROWDING: Final = 1.4
LEAST_CROWDING: Final = 1.0
MOST_CROWDING: Final = 3.0
CROWDING_STEP: Final = 0.03
# Share of its slots beyond which a target counts as crowded.
CROWDED_SHARE: Final = 0.8
# A warming target's work takes this many times as long.
COLD_FACTOR: Final = 2.0
# A reported speed may hold for so long; machines that many share change
# several times a second.
SPEED_HOLDS_SECONDS: Final = 0.3
# Memory of the average speed, long against the changes.
SPEED_MEMORY_SECONDS: Final = 1.0
USUAL_SPEED: Final = 0.8
# A report this old says nothing any more; such targets differ by chance, by
# about as much as their speeds do.
STALE_SECONDS: Final = 2.0
STALE_SPREAD: Final = 0.5
# Told as the age of a report that never came.
UNHEARD_SECONDS: Final = 3600.0
LEAST_SPEED: Final = 0.01
MOST_SPEED: Final = 10.0
# Time that a request and its answer travel between failure domains.
CROSSING_SECONDS: Final = 0.003
# Safety on an expected run, so that most runs end before it.
SPREAD: Final = 1.1

# Probing of targets by samplers. The speed of shared machines changes about
# three times a second.
PROBE_SECONDS: Final = 0.1
PROBE_JITTER: Final = 0.2
PROBE_TIMEOUT_SECONDS: Final = 0.4
IDLE_AFTER_SECONDS: Final = 3.0
# Share of the allowed probes that one sampler takes, since two may sample the
# same targets for a while.
PROBE_SHARE: Final = 0.25
# Answers to a round of probes come within a few milliseconds and are told
# together.
REPORT_SECONDS: Final = 0.012
SLOWNESS_DIGITS: Final = 2
# A desk looks after its samplers so often; one that was silent for more than
# three rounds of probes is replaced.
SAMPLERS_SECONDS: Final = 0.1
SAMPLER_SILENCE_SECONDS: Final = 0.35
RENEW_SECONDS: Final = 1.0
# All entries that place by themselves together probe as much as so many homes.
STRANGERS_AS_HOMES: Final = 2.0
# Probes in a row without any answer after which a target is left alone.
SILENT_PROBES: Final = 2

# An entry becomes a home in proportion to this power of its capacity, since
# the busiest home needs many times what an entry needs for its own callers.
CAPACITY_POWER: Final = 3.0
LEAST_WEIGHT: Final = 1e-6

# Asking the home.
ANSWER_SECONDS: Final = 0.06
CHECK_SECONDS: Final = 0.25
SUSPICION_SECONDS: Final = 1.0
HOMES_TRIED: Final = 2
GRANT_MARGIN_SECONDS: Final = 0.5

# Work of a run that is taken to be left at the least, as a share of all.
LEAST_WORK_LEFT: Final = 0.15
# Part of the slack that second sends of slow runs may use up; the rest is for
# those of failed ones.
HEDGE_SLACK_SHARE: Final = 0.5

# Targets that fail are left alone for a while, longer each time.
FIRST_BAR_SECONDS: Final = 0.5
LONGEST_BAR_SECONDS: Final = 8.0
ERRORS_TO_BAR: Final = 2
ERROR_MEMORY_SECONDS: Final = 4.0
ERROR_PRIOR: Final = 3.0
# Beyond this share of barred targets the bars are not believed.
DOUBTED_SHARE: Final = 0.5

# Repeats: window, share of it that is used up by one home, by its successor
# and by entries that reach no home.
REPEAT_PARTS: Final = 3
# What it costs, in seconds of the new request, to make a running one late.
PUSHED_SECONDS: Final = 0.1
# Late requests take a fast target only if so many of the slots are free.
SPARE_SHARE: Final = 0.25
# A target below this speed is left to requests that are late anyway.
SLOW_SPEED: Final = 0.6
# Late requests held per slot of a service; more could not be served anyway.
LATE_PER_SLOT: Final = 1.0

RETRY_AFTER_SECONDS: Final = 1.0
RETRY_AFTER_JITTER: Final = 0.5
