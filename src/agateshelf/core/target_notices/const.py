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

# Rate of a cold target's requests, as a share of its warm-up rate, at an entry
# that was told of others but has never heard of any: so many entries may have
# been started while cut off from each other that 300 of them send 2.4 times the
# rate.
ISOLATED_SHARE: Final = 1 / 128
# Time for which an entry must have been the owner before it uses the whole
# warm-up rate: entries that start together each see themselves as owner.
OWNER_SETTLED_SECONDS: Final = 2.0
# Requests that may be sent to a cold target at once. With one, three owners
# that don't know of each other stay below the bound: 1.5 times the rate and 8.
COLD_BURST: Final = 1.0
# Time for which an entry beside the owner may save a token for a cold target.
# Without a limit, each of hundreds of entries would have one saved when all of
# them lose the owner, and use them at once.
TOKEN_HOLD_SECONDS: Final = 0.5
# Stands for a warm-up that can't be read.
INVALID_WARMUP: Final = -1.0
# A longer warm-up is invalid.
MAX_WARMUP_SECONDS: Final = 3600.0
# A warm-up that ends later by less is the same one, told again with a delay.
WARMUP_TOLERANCE_SECONDS: Final = 0.5
# Time for which the answer to a probe counts more than what another entry
# concluded from a registration, as these are written every 1.5 s.
PROBE_VALID_SECONDS: Final = 3.0
# Time without a heartbeat of the reader of its failure domain after which an
# entry takes itself for cut off: two of these.
FEED_SILENCE_SECONDS: Final = 0.9
# Intervals between its own probes after which an entry that dispatches as a
# last resort no longer knows whether a target is cold.
PROBES_MISSED: Final = 1.5
# Interval at which a sampler repeats whether a target is cold, for owners that
# heard otherwise since.
REPEAT_COLD_SECONDS: Final = 1.0
# A sampler reports at once that a target is cold for longer than it reported
# before, if by more than this. Answers to probes are usually delayed by less.
COLD_REPORT_TOLERANCE_SECONDS: Final = 0.1
# Age that is told of a limit that a target never spoke of.
NEVER_HEARD_SECONDS: Final = 1e9

# A longer pause is cut to this: a target that would stay away for longer has to
# leave, and a wrong value must not lose it for good.
MAX_PAUSE_SECONDS: Final = 3600.0
# A pause whose end differs by less is the same one, told again with a delay.
PAUSE_TOLERANCE_SECONDS: Final = 0.1

# Interval between two log lines about the notices of one target.
LOG_INTERVAL_SECONDS: Final = 1.0
MAX_LOGGED_TARGETS: Final = 1024
MAX_LOGGED_CHARACTERS: Final = 40
