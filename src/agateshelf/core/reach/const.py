"""Constants of reachability and relays."""

from typing import Final

# Targets that are probed after one was not reached, to tell a target that is
# down from an entry that is cut off.
PROBED_TARGETS: Final = 3
PROBE_TIMEOUT_SECONDS: Final = 0.3
PROBE_PAUSE_SECONDS: Final = 0.5
# Time without any answer of a service after which its targets are probed, for
# routes whose target latency is shorter.
MIN_SILENCE_SECONDS: Final = 0.4
SILENCE_CHECK_SECONDS: Final = 0.1

# Interval at which an entry that is cut off tries the way back, and the targets
# that must answer within one round.
RECHECK_SECONDS: Final = 0.5
TARGETS_TO_REGAIN: Final = 2

# How long a relay that failed is passed over.
AVOID_RELAY_SECONDS: Final = 1.0
# Relays that one attempt is given to, one after the other.
MAX_RELAYS_TRIED: Final = 3
# Requests that an entry with a typical core relays at once.
MAX_RELAYED: Final = 100
# A relay in another failure domain is chosen if one in the own domain has so
# many requests more.
DOMAIN_BONUS: Final = 2.0

REASON_CUT_OFF: Final = "entry-cut-off"
REASON_RELAY_FULL: Final = "relay-full"
RETRY_AFTER_SECONDS: Final = 0.5
