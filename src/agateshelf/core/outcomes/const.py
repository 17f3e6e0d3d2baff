"""Statuses and reasons of refusals that several packages use."""

from typing import Final

STATUS_NOT_FOUND: Final = 404
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_TIMEOUT: Final = 504

REASON_NOT_READY: Final = "not-ready"
REASON_NO_TARGET: Final = "no-target"
REASON_DEADLINE: Final = "deadline-passed"
REASON_TARGET_FAILED: Final = "target-failed"
REASON_STOPPING: Final = "stopping"
REASON_INTERNAL_ERROR: Final = "internal-error"
