"""Constants of a graceful stop."""

from typing import Final

# A request that callers send later than 3 s after the signal must not be broken
# off while its target is at work; less the time that a signal may go unnoticed.
MAX_ACCEPT_SECONDS: Final = 2.75
# Part of a shorter stop after which requests count as late.
ACCEPT_SHARE: Final = 0.5
# Another entry can take the request at once.
RETRY_AFTER_SECONDS: Final = 0.05
