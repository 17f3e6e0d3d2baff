"""Limits, timings and store keys of the configuration."""

from typing import Final

KEY_HEAD: Final = "config/head"
KEY_PART_PREFIX: Final = "config/part/"
KEY_HISTORY_PREFIX: Final = "config/history/"

MAX_PART_BYTES: Final = 1_000_000
MAX_REMEMBERED_PATCHES: Final = 256
MAX_REMEMBERED_VERSIONS: Final = 16
MAX_HISTORY_RECORDS: Final = 1000
MAX_OPERATIONS: Final = 64
MAX_KNOWN_PEERS: Final = 4096

ANNOUNCE_FANOUT: Final = 3
PULL_TIMEOUT_SECONDS: Final = 0.3
CHUNK_BYTES: Final = 8 * 1024
MAX_CHUNKS: Final = 2048
MAX_CONTENT_BYTES: Final = 16 << 20
SERVED_CHUNKS_PER_SECOND: Final = 128
INVALID_RETRY_SECONDS: Final = 30.0

WATCHER_COUNT: Final = 4
WATCH_SECONDS: Final = 25.0
WATCH_GRACE_SECONDS: Final = 5.0
START_GRACE_SECONDS: Final = 1.5
WATCHER_CHECK_SECONDS: Final = 5.0
COLD_READ_ENTRIES_PER_SECOND: Final = 8.0
STORE_TIMEOUT_SECONDS: Final = 2.0
STORE_BACKOFF_SECONDS: Final = 0.5
STORE_BACKOFF_MAX_SECONDS: Final = 15.0
# Consecutive stale reads of the head after which it is trusted nevertheless.
MAX_STALE_READS: Final = 8
PARTS_IN_FLIGHT: Final = 4

PATCH_RETRY_SECONDS: Final = 0.2
PATCH_RETRY_MAX_SECONDS: Final = 5.0
# Retries of a head below the active version before a patch is refused.
MAX_LOWER_HEAD_RETRIES: Final = 4
PATCH_ANSWER_SECONDS: Final = 8.0
PATCH_SETTLE_SECONDS: Final = 600.0

SURVEY_SECONDS: Final = 2.0
SURVEY_STEP_SECONDS: Final = 0.1
SURVEY_ENTRIES_PER_STEP: Final = 64
