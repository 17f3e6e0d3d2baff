"""Constants of the detection of poisonous requests."""

from typing import Final

MAX_SUSPECTS: Final = 4096
MAX_CRASHES_PER_SUSPECT: Final = 8
MAX_LOSSES: Final = 1024
MAX_LOSSES_PER_REQUEST: Final = 16
MAX_ENDED_PROCESSES: Final = 1024
CRASH_TTL_SECONDS: Final = 600.0
# A target that fell silent is removed after three heartbeats, a removal may be
# deferred, and its target is checked once more then.
SUSPICION_SECONDS: Final = 8.0
# Time in which evidence counts a loss as a crash: the platform reports a target
# that fell silent as late as the suspicion ends, and some seconds later if the
# target was cut off from it.
LOSS_TTL_SECONDS: Final = 12.0
# After this time a partitioned entry no longer learns that a crash was cleared.
CLEARED_TTL_SECONDS: Final = 60.0

# A lost connection counts as a crash if its target refuses a connection within
# CONFIRM_SECONDS, or loses another one within CONCURRENT_LOSS_SECONDS.
CONFIRM_SECONDS: Final = 5.0
CONCURRENT_LOSS_SECONDS: Final = 0.5
# Delays of the checks that follow the one made at once: an exiting process may
# still accept connections.
CHECK_DELAYS_SECONDS: Final = (0.02, 0.1, 0.4, 1.0)
# An attempt abandoned after this time without an answer has its target checked.
UNANSWERED_CHECK_SECONDS: Final = 0.5

# Pause between the latest crash of a withheld request and its next trial, and
# the factor by which it grows with each trial that crashes a target as well.
TRIAL_PAUSE_SECONDS: Final = 5.0
TRIAL_PAUSE_FACTOR: Final = 6.0
# Pause after a trial that its target did not run.
TRIAL_RETRY_SECONDS: Final = 0.5
MAX_TRIALS: Final = 256

# Limit on the messages sent to all other entries. What exceeds it waits, and is
# sent together.
MESSAGES_PER_SECOND: Final = 5.0
MESSAGE_BURST: Final = 20.0
# A message with so many reports stays below 10 KB.
REPORTS_PER_MESSAGE: Final = 128
# Limit on the reports that an entry with another digest gets at once.
MAX_SYNC_REPORTS: Final = 512
# Probe rounds from the start after which an entry passes on what others tell
# it: before, it is the one that catches up.
RELAY_AFTER_ROUNDS: Final = 3

# Keys of withheld requests in the store, each followed by a fingerprint.
KEY_PREFIX: Final = "agateshelf/withheld/"
STORE_TIMEOUT_SECONDS: Final = 1.5
STORE_RETRY_SECONDS: Final = 0.5
MAX_STORE_RETRY_SECONDS: Final = 4.0
# Time for which requests are written under a lease granted before. Their keys
# end so much earlier than their crashes.
LEASE_REUSE_SECONDS: Final = 30.0

REASON_POISONOUS: Final = "request-crashes-targets"
