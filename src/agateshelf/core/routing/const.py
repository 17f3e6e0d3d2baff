"""Limits of the choice of targets."""

from typing import Final

# Targets whose calls in flight are known in one place.
GROUP_TARGETS: Final = 9
# Groups of a large service that one entry sends calls to, at the least.
SUBSET_GROUPS: Final = 4

# Asking the home of a group which target to take.
ASK_PATIENCE_SECONDS: Final = 0.006
SUSPICION_SECONDS: Final = 0.5
MOST_ASKS_PER_SECOND: Final = 1000.0
MOST_ASKS_AT_ONCE: Final = 100.0
GRANT_MARGIN_SECONDS: Final = 0.5

# Evidence of a target's speed.
EVIDENCE_SECONDS: Final = 0.05
EVIDENCE_PRIOR: Final = 2.0
FIRST_MEAN_SECONDS: Final = 0.01
TYPICAL_FIRST_ANSWERS: Final = 20.0
TYPICAL_MOST_ANSWERS: Final = 2000.0
FIRST_CROSSING_SECONDS: Final = 0.001
CROSSING_STEP: Final = 0.02
REPORT_SECONDS: Final = 0.02

# Evidence of a target's errors.
ERROR_SECONDS: Final = 1.0
ERROR_PRIOR: Final = 4.0
ERROR_MEANS: Final = 20.0
OPEN_AFTER_ERRORS: Final = 5
FIRST_OPEN_SECONDS: Final = 0.25
LONGEST_OPEN_SECONDS: Final = 8.0
OPEN_JITTER: Final = 0.2
DOUBTED_SHARE: Final = 0.5

# Cold starts.
RAMP_SECONDS: Final = 4.0
RAMP_FIRST_SHARE: Final = 0.1
