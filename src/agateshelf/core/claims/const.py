"""Limits, time-outs, store keys and refusal reasons of claims."""

from typing import Final

# All shards share the rate of writes: more shards spread the memory over more
# owners, fewer make a claim wait less for its batch.
SHARDS: Final = 4
KEY_PREFIX: Final = "claims/"

# The store takes a few hundred writes a second in all.
WRITES_PER_SECOND: Final = 150.0
SHARD_WRITES_PER_SECOND: Final = WRITES_PER_SECOND / SHARDS
SHARD_WRITE_BURST: Final = 2.0
# A conflict costs up to this many tokens, at random, so that entries that
# append to the same shard don't keep colliding.
CONFLICT_TOKENS: Final = 2.0
# Rate of an entry that appends to a shard it doesn't own.
NON_OWNER_WRITES_PER_SECOND: Final = 2.0
MAX_BATCH_RECORDS: Final = 512
MAX_QUEUE_RECORDS: Final = 20_000
# Size of a head above which it is written as a segment.
SPILL_BYTES: Final = 32_768
SEGMENTS_PER_READ: Final = 40

STORE_TIMEOUT_SECONDS: Final = 0.5
STORE_BACKOFF_SECONDS: Final = 0.1
MAX_STORE_BACKOFF_SECONDS: Final = 1.0
# Consecutive failures after which the store counts as unavailable.
FAILURES_UNTIL_UNAVAILABLE: Final = 2

# A proposal without a decision in time is sent again. The owner is passed over
# only if it has answered nothing else meanwhile either: otherwise a single lost
# message would leave several entries appending to the shard for 5 s.
OWNER_TIMEOUT_SECONDS: Final = 0.25
OWNER_SUSPECTED_SECONDS: Final = 5.0
# Time for which an owner is passed over that can't reach the store although
# this entry can.
OWNER_WITHOUT_STORE_SECONDS: Final = 1.0
MAX_OWNER_ATTEMPTS: Final = 2
# Age of this entry's last good answer of the store up to which the store
# counts as reachable from here.
STORE_REACHABLE_SECONDS: Final = 1.0
# Share of the claims rejected by an owner that can't reach the store which this
# entry appends itself, to find out whether it can reach the store.
UNAVAILABLE_PROBE_SHARE: Final = 0.02
CLAIM_TIMEOUT_SECONDS: Final = 1.5
# Age up to which a granted claim may start attempts; well below the shortest
# lifetime, after which another entry may claim the key.
CLAIM_USABLE_SECONDS: Final = 10.0
# Delay after which an unconfirmed completion is proposed again; it doubles each
# time up to the maximum.
INITIAL_COMPLETION_RETRY_SECONDS: Final = 1.0
MAX_COMPLETION_RETRY_SECONDS: Final = 16.0
# Time that a stopping entry waits for its last completions to be confirmed.
MAX_STOP_WAIT_SECONDS: Final = 2.0
MIN_LIFETIME_SECONDS: Final = 60.0
# Interval of the check for pauses of the process, and the lateness of a check
# that counts as a pause.
PAUSE_CHECK_SECONDS: Final = 1.0
MIN_PAUSE_SECONDS: Final = 5.0
# Time after a pause in which keyed requests are refused.
DISTRUST_SECONDS: Final = 1.0
# Time for which a lease is used; its TTL is longer by the claim lifetime.
LEASE_USE_SECONDS: Final = 60.0

MAX_RECORDED_BODY_BYTES: Final = 1024
# Recorded bodies in a shard's index; beyond it the bodies of the oldest records
# are dropped, down to half of it.
MAX_INDEX_BODY_BYTES: Final = 16 << 20

IN_FLIGHT_RETRY_AFTER_SECONDS: Final = 1.0
UNAVAILABLE_RETRY_AFTER_SECONDS: Final = 2.0

REASON_IN_FLIGHT: Final = "key-in-flight"
REASON_MISMATCH: Final = "key-reused"
REASON_ANSWER_NOT_STORED: Final = "answer-not-kept"
REASON_OUTCOME_UNKNOWN: Final = "outcome-not-known"
REASON_STORE_UNAVAILABLE: Final = "claims-unavailable"
REASON_ENTRY_PAUSED: Final = "entry-was-paused"
REASON_CLAIM_EXPIRED: Final = "claim-too-late"
