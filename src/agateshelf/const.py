"""Constants shared by the daemon and the command-line tool."""

from typing import Final

PRODUCT: Final = "agateshelf"

# Name of this build, which operators see; it changes with each version that
# lands, like the version in pyproject.toml.
BUILD: Final = "0.2.0"

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE: Final = "AGATESHELF_NODE_FILE"

HEADER_IDEMPOTENCY_KEY: Final = "idempotency-key"
HEADER_NO_RETRY: Final = "agateshelf-no-retry"
HEADER_OUTCOME: Final = "agateshelf-outcome"
HEADER_SEND_AGAIN: Final = "agateshelf-send-again"
HEADER_REPLAYED: Final = "agateshelf-replayed"
HEADER_CALLER: Final = "agateshelf-caller"
HEADER_TIMEOUT_MS: Final = "request-timeout-ms"
HEADER_TARGET_LOAD: Final = "target-load"
HEADER_TARGET_STATE: Final = "target-state"
# Names the target of a request that another entry sends on.
HEADER_RELAY_TARGET: Final = "agateshelf-relay-target"
# Names the workspace of such a request; empty if it has none.
HEADER_RELAY_WORKSPACE: Final = "agateshelf-relay-workspace"
HEADER_TRACEPARENT: Final = "traceparent"

STATE_DRAINING: Final = "draining"

EXIT_BAD_INPUT: Final = 2
