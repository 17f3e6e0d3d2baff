"""Limits and time spans of measured round trips and of overload."""

from typing import Final

# Age up to which a measured round trip counts, and how many are kept of a
# failure domain. An entry pings one neighbour a second, so one of each of 12
# failure domains about every 12 s.
ROUND_TRIP_VALID_SECONDS: Final = 40.0
MAX_ROUND_TRIPS: Final = 8
# Round trips to a failure domain before the first is used: the first ping waits
# for the connection to be set up.
MIN_ROUND_TRIPS: Final = 2
# No ack is awaited for longer.
MAX_PING_SECONDS: Final = 1.0
# Upper bound of the time between failure domains. A longer one would be that of
# a slow or remote entry, and no request would leave its failure domain.
MAX_CROSSING_SECONDS: Final = 0.05
# Smaller changes say nothing of the network.
CROSSING_STEP_SECONDS: Final = 0.0001

# Time for which a measured delay counts. Longer than the period of 0.1 s in
# which a process with a share of a core gets its time.
DELAY_VALID_SECONDS: Final = 0.3
# Delay from which an entry is in overload, and an owner says so: a third of the
# time after which it is taken for silent (`dispatch.const`).
OVERLOAD_SECONDS: Final = 0.02
# The same for an owner of targets with limits or warm-ups, of which a successor
# may use only a quarter: just before the owner is taken for silent.
PACED_OVERLOAD_SECONDS: Final = 0.04
OVERLOAD_CHECK_SECONDS: Final = 0.5

# Time for which a late owner isn't asked: the first time, at most, and after
# how long without a further one the first counts again. It doubles each time.
RELIEF_SECONDS: Final = 0.5
MAX_RELIEF_SECONDS: Final = 4.0
RELIEF_FORGOTTEN_SECONDS: Final = 10.0

# Waits of a request at an entry after it was read: for the reply of the owner,
# the answer of the target, and until its own answer is written.
WAITS_OF_REQUEST: Final = 3
# There and back between an entry and a caller that is far away.
CALLER_SECONDS: Final = 0.016
# Part of its time within which an accepted request must be answered. The rest
# is for the retry of a caller that is refused. With all of it, the entry would
# hold as many requests as can just be in time, and answer many of them late.
SHARE_OF_TIMEOUT: Final = 0.5
REASON_ENTRY_OVERLOADED: Final = "entry-overloaded"
# Time after which a refused caller may come back, before the entry's delay is
# added, and the factors between which it is drawn.
RETRY_AFTER_SECONDS: Final = 0.2
RETRY_AFTER_FACTORS: Final = (0.5, 1.5)
