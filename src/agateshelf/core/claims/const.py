"""Limits, time-outs, store keys and refusal reasons of claims."""

from typing import Final

# The shards share the total rate of writes to the store. More shards spread the
# memory over more owners but lengthen a claim's wait for its batch.
SHARDS: Final = 4
KEY_PREFIX: Final = "claims/"

# Limit for all shards together; the store sustains a few hundred writes per
# second.
WRITES_PER_SECOND: Final = 150.0
SHARD_WRITES_PER_SECOND: Final = WRITES_PER_SECOND / SHARDS
SHARD_WRITE_BURST: Final = 2.0
# Maximum of the random number of tokens that a conflict costs, so that entries
# that append to the same shard don't keep colliding.
CONFLICT_TOKENS: Final = 2.0
# Rate of an entry that appends to a shard it doesn't own.
NON_OWNER_WRITES_PER_SECOND: Final = 2.0
MAX_BATCH_RECORDS: Final = 512
# Limit of a shard's queue, and of this entry's unconfirmed completions.
MAX_QUEUE_RECORDS: Final = 20_000
# Encoded size of a head above which it is sealed as a segment.
MAX_HEAD_BYTES: Final = 32_768
SEGMENTS_PER_READ: Final = 40

STORE_TIMEOUT_SECONDS: Final = 0.5
# Base of the exponential backoff. The first delay is twice this, times a random
# factor of 0.5 to 1.
STORE_BACKOFF_SECONDS: Final = 0.1
MAX_STORE_BACKOFF_SECONDS: Final = 1.0
# Consecutive failures after which the store counts as unavailable.
FAILURES_UNTIL_UNAVAILABLE: Final = 2

# Time after which an undecided proposal is sent again. The owner is passed over
# only if it has sent no other decisions meanwhile: otherwise a single lost
# message would make several entries append to the shard.
OWNER_TIMEOUT_SECONDS: Final = 0.25
# Time for which an owner that sent no decisions is passed over.
OWNER_SUSPECTED_SECONDS: Final = 5.0
# Time for which an owner is passed over that can't reach the store, although
# this entry can.
OWNER_WITHOUT_STORE_SECONDS: Final = 1.0
# Proposals of a claim after which this entry appends it itself.
MAX_OWNER_PROPOSALS: Final = 2
# Time since the store's last successful reply to this entry up to which the
# store counts as reachable from this entry.
STORE_REACHABLE_SECONDS: Final = 1.0
# Of the claims rejected because the owner can't reach the store, the share that
# this entry appends itself, to probe whether it can reach the store.
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
# Time for which keyed requests are refused after a pause.
PAUSE_REFUSAL_SECONDS: Final = 1.0
# Time for which a lease is used; its TTL is longer by the claim lifetime.
LEASE_USE_SECONDS: Final = 60.0

MAX_RECORDED_BODY_BYTES: Final = 1024
# Limit of the recorded bodies in a shard's index. Above it, the bodies of the
# oldest records are dropped until half of it is left.
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
