"""Rates, shares and intervals of what targets say of themselves."""

from typing import Final

# A lower limit is raised to this rate: without any request no answer could tell
# that the limit was lifted.
MIN_RATE: Final = 0.25
# Requests that may be sent at once, as seconds of the rate; at least one.
BURST_SECONDS: Final = 0.5
# Shares of the limit of a dispatcher that isn't the owner of its service: that
# of the successor, and that of all other entries together.
SUCCESSOR_SHARE: Final = 0.25
FALLBACK_SHARE: Final = 0.25
# Pause without requests after which such a dispatcher starts without tokens
# again, so that entries that dispatch for a moment don't all use saved ones.
FALLBACK_IDLE_SECONDS: Final = 4.0
# Time for which an entry that is gone without having left is assumed to be cut
# off and to send its share of a limit.
LOST_SECONDS: Final = 300.0

# A longer pause is cut to this: a target that would stay away for longer has to
# leave, and a wrong value must not lose it for good.
MAX_PAUSE_SECONDS: Final = 3600.0
# A pause whose end differs by less is the same one, told again with a delay.
PAUSE_TOLERANCE_SECONDS: Final = 0.1

# Interval between two log lines about the notices of one target.
LOG_INTERVAL_SECONDS: Final = 1.0
MAX_LOGGED_TARGETS: Final = 1024
MAX_LOGGED_CHARACTERS: Final = 40
