"""Keys, paths and values of the platform's protocol."""

from typing import Final

KEY_ROUTES: Final = "op/config"
PREFIX_ROUTES: Final = "op/"
PREFIX_EVACUATIONS: Final = "op/evacuate/"
PREFIX_TARGETS: Final = "servers/"

PATH_KEY: Final = "/kv-key"
PATH_RANGE: Final = "/kv-range"
PATH_WATCH: Final = "/kv-watch"
PATH_CHANGE: Final = "/kv-txn"
PATH_LEASE: Final = "/kv-lease"
PATH_RENEW: Final = "/kv-keep/"

# Header of all answers of the store, in lower case.
HEADER_ERA: Final = b"store-era"

KIND_IDEMPOTENT: Final = "safe"
STATE_READY: Final = "ready"
STATE_DRAINING: Final = "draining"

# Slowness in a load report, in percent, when work takes as long as usual.
BASELINE_SLOWNESS_PERCENT: Final = 100.0
MILLISECONDS_PER_SECOND: Final = 1000.0
