"""Refusal reason and bounds of home regions."""

from typing import Final

REASON_NO_ALLOWED_REGION: Final = "no-allowed-region"
# Regions change with the routes and registrations, not within seconds.
RETRY_AFTER_SECONDS: Final = 2.0
# Callers that were refused together don't come back together.
RETRY_AFTER_JITTER: Final = 0.5
# Names of regions in one log line.
MAX_LOGGED_REGIONS: Final = 10
