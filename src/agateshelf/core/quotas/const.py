"""Shards, timeouts, shares and limits of quotas."""

from typing import Final

# Workspaces are divided into so many shards, each with a counter of its own.
SHARDS: Final = 8
# Entries that know a shard's counts: its counter and the two that follow in the
# ranking. An entry counts only while it hears one of the others, so the two
# sides of a partition can't both count in full.
REPLICAS: Final = 3

# Time that each counter has to answer; a call waits for at most 130 ms. If two
# of three replicas crash at once, each entry finds both silent.
REPLY_TIMEOUTS_SECONDS: Final = (0.06, 0.03, 0.03)
# A silent counter is skipped for the first time, and for twice as long each
# time it is silent again: an earlier build never answers.
SILENCE_SECONDS: Final = 1.0
MAX_SILENCE_SECONDS: Final = 10.0
# A counter that declined is skipped until it may have heard its replicas.
DECLINED_SECONDS: Final = 0.5
# A request that waits longer for a target than this is counted again before it
# is sent, as it then belongs to a later window. If all requests that were
# counted for so long were sent at once, they would just fit into the tolerance
# of a quota, a tenth of a window.
GRANT_SECONDS: Final = 0.5
# Time for which decided requests are remembered, at either side, to recognise
# repeated messages; longer than a message is delayed.
REMEMBERED_SECONDS: Final = 3.0
MAX_REMEMBERED: Final = 1 << 16

# Workspaces that all entries are told of at once when they get a rate.
MAX_ANNOUNCED: Final = 64

# Interval at which replicas send each other what they granted.
BEAT_SECONDS: Final = 0.25
# Interval at which silent replicas are looked for; every second time is a beat.
TICK_SECONDS: Final = 0.125
# Messages in a row that may be lost before a grant remains unknown.
RESENT_BEATS: Final = 5
# A replica that was silent for longer is not heard any more. Until then both
# sides of a partition grant in full, which at 0.55 s came within 1% of the
# bound for a workspace of 270 requests a second.
CONTACT_SECONDS: Final = 0.45
# Time for which the replicas count without having heard each other, from a
# table with the first rates on: they send no counts while no workspace has a
# rate. Two sides of a partition may grant in full for as long as that.
FIRST_RATES_SECONDS: Final = 0.45
# Time after which a replica that is silent makes this entry ask the witnesses
# whether it reaches most of them: more than one beat, so that the answers are
# there before the silence counts.
POLL_AFTER_SECONDS: Final = 0.3
# Time for which two replicas count without the third while those answers come.
INCOMPLETE_SECONDS: Final = 0.5
POLL_SECONDS: Final = 0.5
# Entries that are asked, the same ones by all: an odd number, and few enough
# for connections to all of them.
WITNESSES: Final = 33
# Share of the witnesses that a replica which hears no other one must reach to
# count. Links that fail singly may leave it more than half of them while the
# other two go on.
LONE_REACH: Final = 0.75
# Validity of a majority, from the time at which it was asked for.
MAJORITY_SECONDS: Final = 0.8
# Time after which a replica that is silent here but heard by another one is cut
# off from this one only: one that crashed is heard by nobody by then.
LINK_CUT_SECONDS: Final = 0.8
# Grants of a workspace that are sent before the next beat, as a share of what
# it may send in a window, and the fewest. They are what a successor may grant a
# second time.
EARLY_SHARE: Final = 0.01
MIN_EARLY: Final = 4
# Length of the window that bounds a workspace's sends, in seconds.
WINDOW_SECONDS: Final = 5.0

# Tokens that a workspace has at a counter that knows nothing of earlier grants,
# and the share of what it may send in a window beside them. Requests that come
# irregularly need a few; each takeover without counts may grant them a second
# time.
START_TOKENS: Final = 2.0
START_SHARE: Final = 0.02
# The same with the first rates that a table has, when nothing granted earlier
# counts. Both sides of a partition may grant them, of the 20 requests by which
# a quota may be exceeded.
FIRST_START_TOKENS: Final = 10.0
# Tokens beyond the burst. Requests reach the counter in another order than they
# arrived, so a token may be missing that the next moment brings.
BURST_MARGIN: Final = 2.0
# Time in which a bucket recovers from the largest debt, unless its burst is
# larger. Counts of 0.05 to 0.5 s arrive at once; while two replicas count, what
# a smaller debt leaves out is granted twice.
MAX_DEBT_SECONDS: Final = 1.0
# Time for which a counter that has just come into contact leaves decisions to
# the next one, which knows of earlier grants.
YOUNG_SECONDS: Final = 2.0

# Time after which the answers to a poll are judged, and the validity of that
# from the time at which it was sent: until the next but one is judged.
JUDGED_SECONDS: Final = 0.2
REACH_SECONDS: Final = 1.4
# Time for which a witness names an entry that polled it; two polls may be lost.
POLLED_SECONDS: Final = 1.25
# A side of a partition must reach this share of the witnesses, and so many, to
# use its share of the quotas; if fewer are missing, they are assumed to have
# crashed. The same for both sides, as each must know what the other one does.
SIDE_SHARE: Final = 0.2
MIN_SIDE: Final = 2
# Time for which replicas must have been silent before a smaller side uses its
# share. The larger one has found out by then, and has gone down to its own.
SIDE_AFTER_SECONDS: Final = 2.0
# Share of the witnesses reached that must say who else reaches them; earlier
# builds don't.
TOLD_SHARE: Final = 0.9

# Share of the lost entries up to which they are assumed to have crashed. If
# they are cut off instead, their shares fit into the tolerance of a quota.
LOST_TOLERANCE: Final = 0.08
# Time after which a larger share of the quotas counts. When a partition heals,
# entries learn of it one after the other, and the counters of both sides go on.
SHARE_RAISE_SECONDS: Final = 6.0
# The same for a share that follows from a poll: all replicas notice that within
# a few beats. Both sides count within their shares for as long as that.
SIDE_RAISE_SECONDS: Final = YOUNG_SECONDS
# Time for which the share of lost entries is disregarded in a shard whose
# replicas hear each other again after a partition. Membership takes some
# seconds to find the entries live, and such a share rises that much later.
HEALED_SECONDS: Final = 15.0
# Time for which a lost entry keeps its place among the replicas. Both sides of
# a partition have found out who is lost before either forms new replicas.
REPLICA_RETENTION_SECONDS: Final = 30.0

# What a replica that hears no other one grants: a share of the rate, requests a
# second beside it, and the burst. The other two may count in full, so it has to
# fit into the tolerance of a quota.
LONE_SHARE: Final = 0.01
LONE_RATE: Final = 1.0
LONE_BURST: Final = 2.0
# Share of the rate for all entries together that decide for themselves, and the
# number of tokens that they start with together.
FALLBACK_SHARE: Final = 0.01
FALLBACK_START: Final = 4.0

STATUS_TOO_MANY_REQUESTS: Final = 429
REASON_QUOTA_EXCEEDED: Final = "quota-exceeded"
MIN_RETRY_AFTER_SECONDS: Final = 0.05
MAX_RETRY_AFTER_SECONDS: Final = 30.0
# Largest addition to the time after which a refused request may come back, as
# a share of it.
RETRY_AFTER_JITTER: Final = 0.5
# Refused callers of a workspace are told times one after another up to so many
# seconds ahead. Few wait for longer, so later tokens are not kept for them.
MAX_RETURN_SECONDS: Final = 5.0
# Refusals of an entry that decides for itself: a counter may answer by then.
FALLBACK_RETRY_AFTER_SECONDS: Final = 1.0

# Interval between two log lines about the same workspace or counter.
LOG_INTERVAL_SECONDS: Final = 10.0
MAX_LOGGED: Final = 256
