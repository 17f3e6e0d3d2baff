"""State of a graceful stop."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class StopState:
    """Times of a graceful stop, in seconds of the loop.

    Attributes:
        late_from: Time from which a request begins only if its deadline passes
            before the end of the stop.
        ends_at: Time at which the remaining calls are refused.
    """

    late_from: float = math.inf
    ends_at: float = math.inf
