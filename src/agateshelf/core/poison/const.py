"""Limits and reasons of poisonous requests."""

from typing import Final

MAX_SUSPECTS: Final = 4096
MAX_CUTS: Final = 1024
FORGET_SECONDS: Final = 600.0
CONFIRM_SECONDS: Final = 5.0
TOGETHER_SECONDS: Final = 0.5
MESSAGES_PER_SECOND: Final = 5.0
MESSAGE_BURST: Final = 20.0

REASON_POISONOUS: Final = "request-crashes-targets"
