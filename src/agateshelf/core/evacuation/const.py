"""Constants of evacuations."""

from typing import Final

GAUGE: Final = "domains.evacuated"
# After the store came back from an older copy, the operator repeats within this
# time what it has lost. Until then a failure domain stays evacuated that the
# store no longer names.
RESTORED_HOLD_SECONDS: Final = 2.0
