"""Constants of the detection of poisonous requests."""

from typing import Final

MAX_SUSPECTS: Final = 4096
MAX_LOST_CONNECTIONS: Final = 1024
SUSPECT_TTL_SECONDS: Final = 600.0

# A lost connection counts as a crash if its target refuses a connection within
# CONFIRM_SECONDS, or loses another one within CONCURRENT_LOSS_SECONDS.
CONFIRM_SECONDS: Final = 5.0
CONCURRENT_LOSS_SECONDS: Final = 0.5

# Limit on the messages sent to other entries.
MESSAGES_PER_SECOND: Final = 5.0
MESSAGE_BURST: Final = 20.0

REASON_POISONOUS: Final = "request-crashes-targets"
