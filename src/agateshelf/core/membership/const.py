"""Intervals and limits of failure detection, gossip and state sync."""

from typing import Final

# Format of the messages that this build speaks, which its record says; it is
# raised when entries must know whether another one takes part in something.
# Builds that say none have format 0.
MESSAGE_FORMAT: Final = 1
# Lowest format of builds that count quotas and prove routes.
FIRST_FORMAT: Final = 1
# Entries that are asked for their build at once, if their records don't say it:
# each may need a new connection.
ASKED_FOR_BUILD: Final = 16

# One probe a second per entry keeps heartbeat traffic bounded at any size.
PROBE_INTERVAL_SECONDS: Final = 1.0
PROBE_JITTER_SHARE: Final = 0.1
# Time after an unanswered ping at which indirect pings are sent, and at which
# the probe counts as missed.
INDIRECT_PING_AFTER_SECONDS: Final = 0.4
PROBE_TIMEOUT_SECONDS: Final = 0.9
MISSED_PROBES_BEFORE_SUSPICION: Final = 3
# Time to refute a suspicion: a base, and a part for each doubling of the number
# of entries, as gossip takes longer to reach more of them.
SUSPICION_BASE_SECONDS: Final = 3.0
SUSPICION_SECONDS_PER_DOUBLING: Final = 0.5
GONE_RETENTION_SECONDS: Final = 3600.0

# Entries that each entry probes. Fixed partners keep connections open: with new
# random ones each round, every ping would cost a CURVE handshake.
NEIGHBOURS: Final = 16
INDIRECT_PINGS: Final = 3
LEAVING_FANOUT: Final = 4
# Rounds between two pings of an entry that is gone or not known yet.
RECONNECT_EVERY_ROUNDS: Final = 5
# For some time after an entry went, one is pinged in each round: it may have
# been cut off and has to catch up soon after the partition heals.
RECONNECT_SOON_SECONDS: Final = 60.0
# Pings to such entries in each round while no other entry is live.
RECONNECTS_IF_ALONE: Final = 4
# Rounds after the start in which such a ping is sent each time: a seed that
# did not answer may have been starting as well.
STARTUP_ROUNDS: Final = 10
# Interval of the first rounds of an entry that knows no other, and how many
# they are at most: entries that lose power together start within a second.
SHORT_ROUND_SECONDS: Final = 0.2
SHORT_ROUNDS: Final = 6
SEEDS_PINGED_AT_START: Final = 8
# Interval between two state syncs: the initial one after a sync that brought
# changes, doubled up to the maximum after each that brought none.
INITIAL_SYNC_INTERVAL_SECONDS: Final = 0.25
MAX_SYNC_INTERVAL_SECONDS: Final = 16.0
SYNC_JITTER_SHARE: Final = 0.2
# Share of the syncs within the entry's own failure domain, whose traffic
# crosses no failure domain boundary.
SYNC_SAME_DOMAIN_SHARE: Final = 0.7
# Minimum share of the live entries that must be in the same failure domain for
# that; fewer would have to serve the syncs of all others. It is below a
# twelfth, as deployments have up to 12 failure domains.
MIN_SAME_DOMAIN_SHARE: Final = 0.05
# Records per page. Each page is requested from another entry, so small pages
# spread the load: the busiest of 1,024 entries stays below 4 KB/s.
SYNC_PAGE_RECORDS: Final = 16
# As many records as fit into a message of about 900 bytes: with more, an entry
# that was just replaced exceeds 4 KB/s among 1,024.
UPDATES_PER_MESSAGE: Final = 5
# Time within which entries found by a state sync are announced to the other
# parts, if its next page doesn't come: half of a step by which readers replace
# each other.
MAX_ANNOUNCEMENT_DELAY_SECONDS: Final = 0.15
# Times that a record is sent, per doubling of the number of entries.
TRANSMISSIONS_PER_DOUBLING: Final = 2
MAX_MEMBERS: Final = 4096
MAX_SEEDS: Final = 4096
