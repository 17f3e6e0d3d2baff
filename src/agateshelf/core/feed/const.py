"""Rates and limits of the feed."""

from typing import Final

# Where news came from, for the log.
SOURCE_STORE: Final = "store"
SOURCE_PEER: Final = "peer"
SOURCE_LAPSE: Final = "lapse"

# Readers tell their failure domain so often that they are current. Several
# beats fit into the time within which a change must be in force.
BEAT_SECONDS: Final = 0.4
# Silence of the reader after which another entry takes its place; the further
# back an entry stands, the longer it waits, so that one starts at a time.
SILENCE_SECONDS: Final = 1.1
SILENCE_STEP_SECONDS: Final = 0.3
MOST_SILENCE_STEPS: Final = 4
# Time a starting entry gives its peers before it takes the reader's place.
START_SECONDS: Final = 1.2
# Knowledge this old is no longer passed on as current.
CURRENT_SECONDS: Final = 1.0
# Pauses between attempts to read, doubled up to the longest.
FIRST_RETRY_SECONDS: Final = 0.15
LONGEST_RETRY_SECONDS: Final = 1.0
RETRY_JITTER: Final = 0.3
READ_TIMEOUT_SECONDS: Final = 1.5
WATCH_SECONDS: Final = 10.0
# Pause after a watch that told of changes: what follows within it comes with
# the next answer, so that a burst of changes costs one call. An eighth of the
# two seconds in which a leaving target must be known.
REST_SECONDS: Final = 0.25
# Pause between a reader's checks that the store still answers it, and the
# longest time it waits for one. With the time in which a neighbour takes over
# they stay within two seconds, in which a change must be in force; a check is
# a stale read, a tenth of a call's price.
CHECK_SECONDS: Final = 0.8
CHECK_TIMEOUT_SECONDS: Final = 0.4
# Registrations that lapse while the store is away are back about two seconds
# after its return (the platform's description of target registration).
LAPSE_SECONDS: Final = 2.0
# Removals at once that look like a lapse, as a share of all targets, and how
# long they are held back; less than the time in which a drain must be obeyed.
LAPSE_SHARE: Final = 0.34
LAPSE_LEAST: Final = 3
DOUBT_SECONDS: Final = 1.4
