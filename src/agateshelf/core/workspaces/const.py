"""Statuses, reasons and times of refusals for want of a valid key."""

from typing import Final

STATUS_UNAUTHORIZED: Final = 401

REASON_MISSING_KEY: Final = "missing-key"
REASON_INVALID_KEY: Final = "invalid-key"
REASON_UNKNOWN_KEY: Final = "unknown-key"
REASON_NO_PROOF: Final = "no-key-proof"

# An entry that lost its proof asks for a new one at least once in this time.
NO_PROOF_RETRY_AFTER_SECONDS: Final = 1.0
# Callers that were refused together don't come back together.
NO_PROOF_JITTER: Final = 0.5
