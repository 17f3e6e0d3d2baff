"""Intervals and limits of failure detection, gossip and state sync."""

from typing import Final

# One probe a second per entry keeps heartbeat traffic bounded at any size.
ROUND_SECONDS: Final = 1.0
ROUND_JITTER_SHARE: Final = 0.1
# Time after a ping at which other entries are asked to ping on its behalf, and
# at which the probe counts as missed.
DETOUR_AFTER_SECONDS: Final = 0.4
MISSED_AFTER_SECONDS: Final = 0.9
MISSED_BEFORE_SUSPICION: Final = 3
# Time to refute a suspicion; the second part is per doubling of the number of
# entries, since a refutation takes longer to spread among more of them.
SUSPICION_BASE_SECONDS: Final = 3.0
SUSPICION_SECONDS_PER_DOUBLING: Final = 0.5
REMEMBER_GONE_SECONDS: Final = 3600.0

# Entries that each entry probes. Fixed partners keep connections open: with new
# random ones each round, every ping would cost a CURVE handshake.
NEIGHBOURS: Final = 16
DETOURS: Final = 3
LEAVING_FANOUT: Final = 4
# Rounds between two pings of an entry that is gone or not known yet.
STRAY_EVERY_ROUNDS: Final = 5
# Rounds after the start in which such a ping is sent each time: a seed that
# did not answer may have been starting as well.
YOUNG_ROUNDS: Final = 10
STRAYS_AT_START: Final = 8
# Interval between two state syncs: the shortest after one that brought changes,
# doubled up to the longest after each that brought none.
ROSTER_FIRST_SECONDS: Final = 0.25
ROSTER_LONGEST_SECONDS: Final = 16.0
ROSTER_JITTER_SHARE: Final = 0.2
# Share of the syncs within the entry's own failure domain, whose traffic
# crosses no failure domain boundary.
ROSTER_NEAR_SHARE: Final = 0.7
# Least share of the entries that must be in the same failure domain for that:
# a few of them would serve the records to all others. Set below a twelfth, as
# the largest deployment planned for has 12 failure domains.
ROSTER_LEAST_NEAR: Final = 0.05
# Records per page. Each page is requested from another entry, so small pages
# spread the load: the busiest of 1,024 entries stays below 4 KB/s.
ROSTER_PAGE: Final = 16
UPDATES_PER_MESSAGE: Final = 6
# Times that a record is sent, per doubling of the number of entries.
UPDATE_REPEATS_PER_DOUBLING: Final = 2
MAX_MEMBERS: Final = 4096
MAX_CONTACTS: Final = 4096
